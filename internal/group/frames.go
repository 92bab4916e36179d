package group

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
)

// The limits of the group's port.
const (
	maxFrame      = 256 << 10 // bytes of a line between members
	maxHelloFrame = 4 << 10   // bytes of a hello or of its reply
	maxConns      = 1200      // a group has up to 1,024 members
)

// readLine reads one line, byte by byte and without buffering: the bytes after the line end belong
// to another reader of the connection.
func readLine(conn net.Conn, limit int) ([]byte, error) {
	line := make([]byte, 0, 256)
	var next [1]byte
	for len(line) < limit {
		if _, err := io.ReadFull(conn, next[:]); err != nil {
			return nil, err
		}
		if next[0] == '\n' {
			return line, nil
		}
		line = append(line, next[0])
	}
	return nil, errFrameTooLong
}

// writeLine writes a message as one line of JSON.
func writeLine(conn net.Conn, message any) error {
	raw, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = conn.Write(append(raw, '\n'))
	return err
}

// lineReader reads lines of a limited length through a buffer.
type lineReader struct {
	buffered *bufio.Reader
	limit    int // bytes
}

func newLineReader(conn net.Conn, limit int) lineReader {
	return lineReader{buffered: bufio.NewReader(conn), limit: limit}
}

// next returns the next line, including its line end.
func (r lineReader) next() ([]byte, error) {
	var line []byte
	for {
		part, err := r.buffered.ReadSlice('\n')
		if len(line)+len(part) > r.limit {
			return nil, errFrameTooLong
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
