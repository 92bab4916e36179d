// Package http1 parses HTTP/1.1 responses in place, as far as a client needs it. A Response must be used by one
// goroutine at a time.
package http1

import (
	"bytes"
	"errors"
	"iter"
	"strconv"
)

const (
	// maxHead limits a response's head, and a chunked body's trailers, in bytes.
	maxHead = 16 << 10
	// maxInterim limits the number of 1xx responses before the final one.
	maxInterim = 8
	// MaxBody limits a response's body, in bytes. The longest endpoint list is far shorter.
	MaxBody = 4 << 20
	// maxChunkLine limits the line with a chunk's size and extensions, in bytes.
	maxChunkLine = 64
	// maxHeaderDigits limits the digits of a number in a header.
	maxHeaderDigits = 9
	// maxHeaderNumber is the largest number with maxHeaderDigits digits.
	maxHeaderNumber = 999_999_999
)

// The status codes that determine how a response ends.
const (
	firstFinalStatus  = 200 // responses with a lower status are interim
	statusNoContent   = 204
	statusNotModified = 304
)

// The errors of a malformed response, after which the connection must not be reused.
var (
	ErrHead = errors.New("http1: malformed response head")
	ErrBody = errors.New("http1: malformed or oversize response body")
)

// Response is one parsed response. Its slices refer to the buffer that was passed to Parse, except for the
// body of a chunked response.
type Response struct {
	Status       int
	Close        bool // the connection ends with this response
	EndedByClose bool // the body is delimited by the connection's end: it may be incomplete
	Body         []byte

	headers []byte // the lines between the status line and the empty line
}

// Get returns the value of the first header with that name, without white space around it, or nil if there is none.
func (r *Response) Get(name string) []byte {
	for value := range r.Values(name) {
		return value
	}
	return nil
}

// Values yields the values of the headers with that name, in order. For an incomplete or malformed response, these are
// the headers whose lines were complete.
func (r *Response) Values(name string) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for remaining := r.headers; len(remaining) > 0; {
			var line []byte
			line, remaining, _ = bytes.Cut(remaining, crlf)
			key, value, ok := bytes.Cut(line, []byte{':'})
			if ok && bytes.EqualFold(key, []byte(name)) && !yield(bytes.Trim(value, " \t")) {
				return
			}
		}
	}
}

// MaxNumber returns the largest number among the headers with that name, rounded up, or 0 if there is none. A value is
// a decimal number with or without a fraction; one of more than maxHeaderDigits digits counts as maxHeaderNumber.
func (r *Response) MaxNumber(name string) (largest int64) {
	for value := range r.Values(name) {
		whole, decimals, hasFraction := bytes.Cut(value, []byte{'.'})
		if len(whole) == 0 || !isDigits(whole) || hasFraction && (len(decimals) == 0 || !isDigits(decimals)) {
			continue
		}
		units := int64(maxHeaderNumber)
		if whole = bytes.TrimLeft(whole, "0"); len(whole) <= maxHeaderDigits {
			units, _ = strconv.ParseInt("0"+string(whole), 10, 64)
			if len(bytes.Trim(decimals, "0")) > 0 {
				units++
			}
		}
		largest = max(largest, units)
	}
	return largest
}

// isDigits reports whether a text consists only of decimal digits.
func isDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// Int returns the first header with that name if it is a whole number of at most maxHeaderDigits digits, and 0
// otherwise.
func (r *Response) Int(name string) int64 {
	value := r.Get(name)
	number, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil || len(value) > maxHeaderDigits || number < 0 {
		return 0
	}
	return number
}

var crlf = []byte("\r\n")

// Parse parses one response from the start of data. It returns the number of bytes read, or 0 if more are needed. eof
// reports that no more will follow, which delimits a body without a declared length. A malformed head is an error at
// its first invalid byte, not only when maxHead is reached. Status is set as soon as the status line is complete, even
// if the data after it is malformed.
func (r *Response) Parse(data []byte, eof bool) (int, error) {
	offset, interim := 0, 0
	for ; ; interim++ {
		*r = Response{}
		used, err := r.readHead(data[offset:])
		if used == 0 && err == nil && eof && len(data) > 0 || interim > maxInterim {
			err = ErrHead
		}
		if used == 0 || err != nil {
			return 0, err
		}
		if offset += used; r.Status >= firstFinalStatus {
			break
		}
	}
	end, err := r.readBody(data, offset, eof)
	if err != nil {
		return 0, err
	}
	return end, nil
}
