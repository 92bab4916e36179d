// Package resp reads RESP2 commands in place and writes simple answers.
package resp

import (
	"bytes"
	"errors"
	"strconv"
)

// The bounds of a command: a body of 64 KiB and a few short words.
const (
	MaxBulk  = 64 << 10
	maxArgs  = 16
	maxCount = 8 // digits and sign of a length
	maxWhole = MaxBulk + 8<<10
)

// What a malformed command is answered with before its connection is closed.
var (
	ErrProtocol = errors.New("ERR Protocol error: expected an array of bulk strings")
	ErrLength   = errors.New("ERR Protocol error: invalid length")
	ErrTooLong  = errors.New("ERR Protocol error: too long")
)

// Parse reads one command from the start of b. It returns the words, as parts of b, and the bytes used;
// 0 used means that more must come first.
func Parse(b []byte, words [][]byte) ([][]byte, int, error) {
	words = words[:0]
	n, at, err := length(b, 0, '*')
	if err != nil || at == 0 {
		return words, 0, err
	}
	if n < 1 || n > maxArgs {
		return words, 0, ErrLength
	}
	for range n {
		size, next, err := length(b, at, '$')
		if err != nil || next == 0 {
			return words, 0, err
		}
		if size < 0 {
			return words, 0, ErrLength
		}
		if size > MaxBulk || next+size > maxWhole {
			return words, 0, ErrTooLong
		}
		if len(b) < next+size+2 {
			return words, 0, nil
		}
		if b[next+size] != '\r' || b[next+size+1] != '\n' {
			return words, 0, ErrProtocol
		}
		words = append(words, b[next:next+size])
		at = next + size + 2
	}
	return words, at, nil
}

// length reads a marker and a number that ends in CRLF; a next of 0 means that more must come.
func length(b []byte, at int, mark byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != mark {
		return 0, 0, ErrProtocol
	}
	line := b[at+1:]
	end := bytes.IndexByte(line[:min(len(line), maxCount+2)], '\n')
	if end < 0 {
		if len(line) >= maxCount+2 {
			return 0, 0, ErrLength
		}
		return 0, 0, nil
	}
	if end < 2 || line[end-1] != '\r' {
		return 0, 0, ErrLength
	}
	n, err = strconv.Atoi(string(line[:end-1]))
	if err != nil || line[0] == '+' {
		return 0, 0, ErrLength
	}
	return n, at + 1 + end + 1, nil
}
