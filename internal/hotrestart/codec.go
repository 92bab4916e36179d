package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxMessageBytes is the size limit of one message. It fits the state of a sender with as many messages as its limits
// allow.
const maxMessageBytes = 16 << 20

// ErrMalformed reports bytes that are not a message of this protocol, or a message out of sequence.
var ErrMalformed = errors.New("hot restart: malformed message")

// Reader reads messages from a connection. It is not safe for concurrent use.
type Reader struct {
	decoder *json.Decoder
	limited *io.LimitedReader
}

// NewReader returns a reader of the messages in in.
func NewReader(in io.Reader) *Reader {
	limited := &io.LimitedReader{R: in, N: maxMessageBytes}
	return &Reader{decoder: json.NewDecoder(limited), limited: limited}
}

// Next reads one message. The error wraps ErrMalformed or the error of the connection.
func (r *Reader) Next() (msg Message, err error) {
	r.limited.N = maxMessageBytes
	if err := r.decoder.Decode(&msg); err != nil {
		return msg, fmt.Errorf("hot restart: read message: %w", r.classify(err))
	}
	if !msg.valid() {
		return msg, ErrMalformed
	}
	return msg, nil
}

// classify adds ErrMalformed to an error that is caused by the bytes read and not by the connection.
func (r *Reader) classify(err error) error {
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &syntax) || errors.As(err, &wrongType) || r.limited.N == 0 {
		return errors.Join(ErrMalformed, err)
	}
	return err
}
