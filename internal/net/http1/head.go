package http1

import "bytes"

// The status line up to its status code. Both x and 0 stand for any digit, except that the status code does not start
// with 0.
const (
	statusLinePattern  = "HTTP/1.x 000"
	minorVersionOffset = 7 // the minor version's digit
	statusCodeOffset   = 9 // the status code's first digit
)

// readHead reads the status line and the headers. It returns the number of bytes read, or 0 if more are needed. The
// headers whose lines are complete are kept in any case.
func (r *Response) readHead(data []byte) (int, error) {
	lineStart, headersStart := 0, 0
	inName := true // a header's name is being read, and not its value
	defer func() {
		if headersStart > 0 && r.headers == nil {
			r.headers = data[headersStart:lineStart]
		}
	}()
	for i, char := range data[:min(len(data), maxHead)] {
		offset := i - lineStart
		switch {
		case i > 0 && data[i-1] == '\r':
			if char != '\n' {
				return 0, ErrHead
			}
			if offset == 1 { // an empty line ends the head
				r.headers = data[headersStart : i-1]
				r.Close = data[minorVersionOffset] == '0' || bytes.EqualFold(r.Get("Connection"), []byte("close"))
				return i + 1, nil
			}
			if lineStart == 0 {
				r.Status = parseStatusCode(data)
				headersStart = i + 1
			}
			lineStart, inName = i+1, true
		case lineStart == 0 && offset <= len(statusLinePattern):
			if !matchesStatusLine(offset, char) {
				return 0, ErrHead
			}
		case lineStart > 0 && inName && (offset > 0 || char != '\r'):
			if char == ':' && offset > 0 {
				inName = false
			} else if !isTokenChar(char) {
				return 0, ErrHead
			}
		case isControl(char):
			return 0, ErrHead
		}
	}
	if len(data) >= maxHead {
		return 0, ErrHead
	}
	return 0, nil
}

// parseStatusCode returns the status code of a complete status line.
func parseStatusCode(line []byte) int {
	code := 0
	for _, char := range line[statusCodeOffset:len(statusLinePattern)] {
		code = code*10 + int(char-'0')
	}
	return code
}

// matchesStatusLine reports whether char is allowed at an offset of the status line, up to the byte behind the status
// code.
func matchesStatusLine(offset int, char byte) bool {
	if offset == len(statusLinePattern) {
		return char == ' ' || char == '\r'
	}
	if offset == statusCodeOffset && char == '0' {
		return false
	}
	expected := statusLinePattern[offset]
	return char == expected || char >= '0' && char <= '9' && (expected == '0' || expected == 'x')
}

// isControl reports whether char is a control character that is not allowed in a line.
func isControl(char byte) bool { return char < ' ' && char != '\t' && char != '\r' || char == 0x7f }

// isTokenChar reports whether char is allowed in a header's name.
func isTokenChar(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' ||
		bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), char) >= 0
}
