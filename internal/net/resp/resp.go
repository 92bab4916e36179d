// Package resp parses RESP2 commands in place. It has no state; any goroutine may call it.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxBulk limits a bulk string, in bytes. It is the largest body of a message.
const MaxBulk = 64 << 10

const (
	// maxElements limits the elements of a command.
	maxElements = 16
	// maxLengthChars limits the digits and the sign of a length.
	maxLengthChars = 8
	// maxCommand limits a command, in bytes. It has room for a body and a few short elements.
	maxCommand = MaxBulk + 8<<10
)

// crlfSize is the size of a line ending, in bytes.
const crlfSize = 2

// The errors of a malformed command. Their texts are the error replies, after which the connection is closed.
var (
	ErrProtocol = errors.New("ERR Protocol error: expected an array of bulk strings")
	ErrLength   = errors.New("ERR Protocol error: invalid length")
	ErrTooLong  = errors.New("ERR Protocol error: too long")
)

// Parse parses one command, which is an array of bulk strings, from the start of data. It returns its elements, which
// refer to data and are stored in the passed slice, and the number of bytes read, which is 0 if more are needed.
func Parse(data []byte, elements [][]byte) ([][]byte, int, error) {
	elements = elements[:0]
	count, offset, err := readLength(data, 0, '*')
	if err != nil || offset == 0 {
		return elements, 0, err
	}
	if count < 1 || count > maxElements {
		return elements, 0, ErrLength
	}
	for range count {
		size, start, err := readLength(data, offset, '$')
		if err != nil || start == 0 {
			return elements, 0, err
		}
		if size < 0 {
			return elements, 0, ErrLength
		}
		end := start + size
		if size > MaxBulk || end > maxCommand {
			return elements, 0, ErrTooLong
		}
		if len(data) < end+crlfSize {
			return elements, 0, nil
		}
		if data[end] != '\r' || data[end+1] != '\n' {
			return elements, 0, ErrProtocol
		}
		elements = append(elements, data[start:end])
		offset = end + crlfSize
	}
	return elements, offset, nil
}

// readLength reads a type marker and a number that ends in CRLF. next is the offset behind them, or 0 if more bytes are
// needed.
func readLength(data []byte, offset int, marker byte) (number, next int, err error) {
	if offset >= len(data) {
		return 0, 0, nil
	}
	if data[offset] != marker {
		return 0, 0, ErrProtocol
	}
	line := data[offset+1:]
	end := bytes.IndexByte(line[:min(len(line), maxLengthChars+crlfSize)], '\n')
	if end < 0 {
		if len(line) >= maxLengthChars+crlfSize {
			return 0, 0, ErrLength
		}
		return 0, 0, nil
	}
	if end < crlfSize || line[end-1] != '\r' {
		return 0, 0, ErrLength
	}
	number, err = strconv.Atoi(string(line[:end-1]))
	if err != nil || line[0] == '+' {
		return 0, 0, ErrLength
	}
	return number, offset + 1 + end + 1, nil
}
