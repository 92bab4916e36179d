// Package amqp reads and writes AMQP 0-9-1: frames in place, methods by their signatures, content
// headers and bodies. Its faults carry the specification's reply codes.
package amqp

import (
	"encoding/binary"
	"fmt"
)

// Fault is a protocol error with its reply code. Soft ones end a channel, the others the connection.
type Fault struct {
	Code   uint16
	Text   string
	Method Key // what caused it, if known
}

func (f *Fault) Error() string { return fmt.Sprintf("amqp: %d %s", f.Code, f.Text) }

// Soft tells whether the specification ends a channel, and not the connection, with this code.
func (f *Fault) Soft() bool {
	switch f.Code {
	case ContentTooLarge, NoRoute, NoConsumers, AccessRefused, NotFound, ResourceLocked, PreconditionFailed:
		return true
	}
	return false
}

// The specification's reply codes.
const (
	ReplySuccess       = 200
	ContentTooLarge    = 311
	NoRoute            = 312
	NoConsumers        = 313
	ConnectionForced   = 320
	AccessRefused      = 403
	NotFound           = 404
	ResourceLocked     = 405
	PreconditionFailed = 406
	FrameError         = 501
	SyntaxError        = 502
	CommandInvalid     = 503
	ChannelError       = 504
	UnexpectedFrame    = 505
	ResourceError      = 506
	NotAllowed         = 530
	NotImplemented     = 540
	InternalError      = 541
)

// Errorf makes a fault.
func Errorf(code uint16, format string, args ...any) *Fault {
	return &Fault{Code: code, Text: fmt.Sprintf(format, args...)}
}

// The kinds of frame, and their bounds.
const (
	FrameMethod = 1
	FrameHeader = 2
	FrameBody   = 3
	FrameBeat   = 8

	frameEnd = 0xCE
	headSize = 7
	// FrameMin is the least that a peer may set as the largest frame.
	FrameMin = 4096
	// FrameMax is the largest frame that is taken.
	FrameMax = 128 << 10
	// MaxBody bounds a content's body.
	MaxBody = 64 << 10
)

// Preamble opens a connection.
const Preamble = "AMQP\x00\x00\x09\x01"

// Frame is one frame; its payload is a part of the buffer it was read from.
type Frame struct {
	Kind    byte
	Channel uint16
	Payload []byte
}

// ParseFrame reads one frame from the start of b. It returns the bytes used; 0 means that more must come.
func ParseFrame(b []byte, most uint32) (Frame, int, error) {
	if len(b) == 0 {
		return Frame{}, 0, nil
	}
	if k := b[0]; k != FrameMethod && k != FrameHeader && k != FrameBody && k != FrameBeat {
		return Frame{}, 0, Errorf(FrameError, "unknown kind of frame %d", k)
	}
	if len(b) < headSize {
		return Frame{}, 0, nil
	}
	size := binary.BigEndian.Uint32(b[3:])
	if size > most-headSize-1 {
		return Frame{}, 0, Errorf(FrameError, "a frame of %d bytes, above frame-max", size)
	}
	end := headSize + int(size)
	if len(b) <= end {
		return Frame{}, 0, nil
	}
	if b[end] != frameEnd {
		return Frame{}, 0, Errorf(FrameError, "a frame without its end")
	}
	f := Frame{b[0], binary.BigEndian.Uint16(b[1:]), b[headSize:end]}
	if f.Kind == FrameBeat && (f.Channel != 0 || size != 0) {
		return Frame{}, 0, Errorf(FrameError, "malformed heartbeat")
	}
	return f, end + 1, nil
}

// AppendFrame writes a frame whose payload fill appends.
func AppendFrame(out []byte, kind byte, channel uint16, fill func([]byte) []byte) []byte {
	at := len(out)
	out = append(out, kind, byte(channel>>8), byte(channel), 0, 0, 0, 0)
	if fill != nil {
		out = fill(out)
	}
	binary.BigEndian.PutUint32(out[at+3:], uint32(len(out)-at-headSize))
	return append(out, frameEnd)
}

// Content gives the pieces of a publish-like method with its header and body, for one gathered write.
// The body is not copied.
func Content(channel uint16, method Key, args []any, p *Props, body []byte, frameMax uint32) [][]byte {
	head := AppendMethod(nil, channel, method, args...)
	head = AppendFrame(head, FrameHeader, channel, func(b []byte) []byte { return p.append(b, uint64(len(body))) })
	pieces := [][]byte{head}
	for most := int(frameMax) - headSize - 1; len(body) > 0; {
		n := min(most, len(body))
		lead := []byte{FrameBody, byte(channel >> 8), byte(channel), 0, 0, 0, 0}
		binary.BigEndian.PutUint32(lead[3:], uint32(n))
		pieces = append(pieces, lead, body[:n], []byte{frameEnd})
		body = body[n:]
	}
	return pieces
}

// Assembly puts the frames of one channel together: a method, and its content where it has one.
type Assembly struct {
	method *Method
	props  *Props
	size   uint64
	body   []byte
}

// Message is a method, with its content where it has one.
type Message struct {
	*Method
	Props *Props
	Body  []byte
}

// Add takes the next frame of the channel; the message is nil until it is whole.
func (a *Assembly) Add(f Frame) (*Message, error) {
	switch f.Kind {
	case FrameMethod:
		if a.method != nil {
			return nil, Errorf(UnexpectedFrame, "a method inside a content")
		}
		m, err := ParseMethod(f.Payload)
		if err != nil {
			return nil, err
		}
		if !hasContent(m.Key) {
			return &Message{Method: m}, nil
		}
		a.method = m
		return nil, nil
	case FrameHeader:
		if a.method == nil || a.props != nil {
			return nil, Errorf(UnexpectedFrame, "a content header out of place")
		}
		p, size, err := parseHeader(f.Payload, a.method.Key)
		if err != nil {
			return nil, err
		}
		if size > MaxBody {
			m := a.method.Key
			*a = Assembly{}
			return nil, &Fault{ContentTooLarge, fmt.Sprintf("a body of %d bytes, above %d", size, MaxBody), m}
		}
		a.props, a.size = p, size
	case FrameBody:
		if a.props == nil {
			return nil, Errorf(UnexpectedFrame, "a body out of place")
		}
		if uint64(len(a.body)+len(f.Payload)) > a.size {
			return nil, Errorf(FrameError, "a body longer than its header says")
		}
		a.body = append(a.body, f.Payload...)
	default:
		return nil, Errorf(UnexpectedFrame, "a frame out of place")
	}
	if a.props == nil || uint64(len(a.body)) < a.size {
		return nil, nil
	}
	m := &Message{a.method, a.props, a.body}
	*a = Assembly{}
	return m, nil
}
