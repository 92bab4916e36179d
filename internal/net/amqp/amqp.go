// Package amqp reads and writes AMQP 0-9-1: frames in place, methods by their signatures, content
// headers and bodies. Its faults carry the specification's reply codes.
package amqp

import (
	"bytes"
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
	out, at := beginFrame(out, kind, channel)
	if fill != nil {
		out = fill(out)
	}
	return endFrame(out, at)
}

func beginFrame(out []byte, kind byte, channel uint16) ([]byte, int) {
	return append(out, kind, byte(channel>>8), byte(channel), 0, 0, 0, 0), len(out)
}

func endFrame(out []byte, at int) []byte {
	binary.BigEndian.PutUint32(out[at+3:], uint32(len(out)-at-headSize))
	return append(out, frameEnd)
}

// AppendMessage writes a method with its content, in frames of at most frameMax bytes.
func AppendMessage(out []byte, channel uint16, k Key, p *Props, body []byte, frameMax uint32, args ...any) []byte {
	return appendContent(AppendMethod(out, channel, k, args...), channel, p, body, frameMax)
}

func appendContent(out []byte, channel uint16, p *Props, body []byte, frameMax uint32) []byte {
	out, at := beginFrame(out, FrameHeader, channel)
	out = endFrame(p.append(out, uint64(len(body))), at)
	for most := int(frameMax) - headSize - 1; len(body) > 0; {
		n := min(most, len(body))
		out, at = beginFrame(out, FrameBody, channel)
		out = endFrame(append(out, body[:n]...), at)
		body = body[n:]
	}
	return out
}

// Assembly puts the frames of one channel together: a method, and its content where it has one.
type Assembly struct {
	part *content
	size uint64 // of the body, once the header has come
}

// content is a message that has not come whole.
type content struct {
	Message
	props Props
}

// Message is a method, with its content where it has one. Without one its bytes are the frame's.
type Message struct {
	Method
	Props *Props
	Body  []byte
}

// Pending is how many bytes of a content that is not whole are held.
func (a *Assembly) Pending() int {
	if a.part == nil {
		return 0
	}
	return len(a.part.raw) + cap(a.part.Body)
}

// Add takes the next frame of the channel; the message is nil until it is whole.
func (a *Assembly) Add(f Frame) (*Message, error) {
	p := a.part
	switch f.Kind {
	case FrameMethod:
		if p != nil {
			return nil, Errorf(UnexpectedFrame, "a method inside a content")
		}
		m, err := ParseMethod(f.Payload)
		if err != nil {
			return nil, err
		}
		if !hasContent(m.Key) {
			return &Message{Method: m}, nil
		}
		m.raw = bytes.Clone(m.raw) // it outlives the frame
		a.part = &content{Message: Message{Method: m}}
		return nil, nil
	case FrameHeader:
		if p == nil || p.Props != nil {
			return nil, Errorf(UnexpectedFrame, "a content header out of place")
		}
		size, err := p.props.parse(f.Payload, p.Key)
		if err != nil {
			return nil, err
		}
		if size > MaxBody {
			*a = Assembly{}
			return nil, &Fault{ContentTooLarge, fmt.Sprintf("a body of %d bytes, above %d", size, MaxBody), p.Key}
		}
		p.Props, a.size = &p.props, size
	case FrameBody:
		if p == nil || p.Props == nil {
			return nil, Errorf(UnexpectedFrame, "a body out of place")
		}
		if uint64(len(p.Body)+len(f.Payload)) > a.size {
			return nil, Errorf(FrameError, "a body longer than its header says")
		}
		p.Body = append(p.Body, f.Payload...)
	default:
		return nil, Errorf(UnexpectedFrame, "a frame out of place")
	}
	if p.Props == nil || uint64(len(p.Body)) < a.size {
		return nil, nil
	}
	*a = Assembly{}
	return &p.Message, nil
}
