package http1

import (
	"bytes"
	"strconv"
)

// readBody reads the body that starts at offset. It returns the offset of the response's end, or 0 if more bytes are
// needed. eof reports that no more will follow.
func (r *Response) readBody(data []byte, offset int, eof bool) (int, error) {
	if bytes.EqualFold(r.Get("Transfer-Encoding"), []byte("chunked")) {
		return r.readChunks(data, offset)
	}
	size := 0
	if length := r.Get("Content-Length"); length != nil {
		declared, err := strconv.ParseUint(string(length), 10, 32)
		if err != nil || declared > MaxBody {
			return 0, ErrBody
		}
		size = int(declared)
	} else if r.Status != statusNoContent && r.Status != statusNotModified {
		if r.Close = true; len(data)-offset > MaxBody {
			return 0, ErrBody
		}
		if !eof {
			return 0, nil
		}
		size, r.EndedByClose = len(data)-offset, true
	}
	if len(data) < offset+size {
		return 0, nil
	}
	r.Body = data[offset : offset+size]
	return offset + size, nil
}

// readChunks reads a chunked body and its trailers. It returns the same as readBody.
func (r *Response) readChunks(data []byte, offset int) (int, error) {
	var body []byte
	for {
		size, start, err := readChunkSize(data, offset)
		if start == 0 || err != nil {
			return 0, err
		}
		if len(body)+size > MaxBody {
			return 0, ErrBody
		}
		if size == 0 {
			end, err := skipTrailers(data, start)
			if end > 0 {
				r.Body = body
			}
			return end, err
		}
		end := start + size
		if len(data) < end+len(crlf) {
			return 0, nil
		}
		if !bytes.Equal(data[end:end+len(crlf)], crlf) {
			return 0, ErrBody
		}
		body = append(body, data[start:end]...)
		offset = end + len(crlf)
	}
}

// readChunkSize reads the line that starts a chunk. start is the offset of the chunk's data, or 0 if more bytes are
// needed.
func readChunkSize(data []byte, offset int) (size, start int, err error) {
	line, _, ok := bytes.Cut(data[offset:min(len(data), offset+maxChunkLine)], crlf)
	if !ok {
		if len(data)-offset >= maxChunkLine {
			return 0, 0, ErrBody
		}
		return 0, 0, nil
	}
	digits, _, _ := bytes.Cut(line, []byte{';'})
	declared, err := strconv.ParseUint(string(digits), 16, 32)
	if err != nil {
		return 0, 0, ErrBody
	}
	return int(declared), offset + len(line) + len(crlf), nil
}

// skipTrailers returns the offset behind the empty line that ends a chunked body's trailers, or 0 if more bytes are
// needed.
func skipTrailers(data []byte, offset int) (int, error) {
	for {
		length := bytes.Index(data[offset:], crlf)
		if length < 0 {
			if len(data)-offset > maxHead {
				return 0, ErrBody
			}
			return 0, nil
		}
		if offset += length + len(crlf); length == 0 {
			return offset, nil
		}
	}
}
