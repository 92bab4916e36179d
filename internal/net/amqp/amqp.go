// Package amqp encodes and decodes AMQP 0-9-1: frames, methods, content headers and bodies. Frames are decoded in
// place, without a copy of their payload. Protocol errors carry the reply codes of the specification. The types are for
// one goroutine at a time; the functions keep no state.
package amqp

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Fault is a protocol error with its reply code. A soft one closes the channel, any other closes the connection.
type Fault struct {
	Code   uint16
	Text   string
	Method Key // the method that caused it; 0: unknown
}

// Error returns the reply code and the text.
func (f *Fault) Error() string { return fmt.Sprintf("amqp: %d %s", f.Code, f.Text) }

// Soft reports whether the code is one that closes only the channel, by the specification.
func (f *Fault) Soft() bool {
	switch f.Code {
	case ContentTooLarge, NoRoute, NoConsumers, AccessRefused, NotFound, ResourceLocked, PreconditionFailed:
		return true
	}
	return false
}

// The reply codes of the specification.
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

// Errorf returns a fault with a formatted text.
func Errorf(code uint16, format string, args ...any) *Fault {
	return &Fault{Code: code, Text: fmt.Sprintf(format, args...)}
}

// The frame types.
const (
	FrameMethod    = 1
	FrameHeader    = 2
	FrameBody      = 3
	FrameHeartbeat = 8
)

// The layout of a frame: a header of type, channel and payload size, the payload, and the end octet.
const (
	frameEnd          = 0xCE
	frameHeaderSize   = 7 // in bytes
	frameEndSize      = 1 // in bytes
	payloadSizeOffset = 3 // in bytes, from the start of the frame
)

const (
	// FrameMin is the smallest frame-max that a peer may set, in bytes.
	FrameMin = 4096
	// FrameMax is the largest frame that is accepted, in bytes, with its header and end octet.
	FrameMax = 128 << 10
	// MaxBody is the largest body of a content that is accepted, in bytes.
	MaxBody = 64 << 10
)

// ProtocolHeader is the header that a client sends first on a connection.
const ProtocolHeader = "AMQP\x00\x00\x09\x01"

// Frame is one frame. Its payload is a slice of the buffer from which it was decoded.
type Frame struct {
	Kind    byte
	Channel uint16
	Payload []byte
}

// ParseFrame decodes one frame of at most frameMax bytes from the start of data. It returns the number of bytes
// consumed; 0 means that the frame is incomplete.
func ParseFrame(data []byte, frameMax uint32) (Frame, int, error) {
	if len(data) == 0 {
		return Frame{}, 0, nil
	}
	switch kind := data[0]; kind {
	case FrameMethod, FrameHeader, FrameBody, FrameHeartbeat:
	default:
		return Frame{}, 0, Errorf(FrameError, "unknown kind of frame %d", kind)
	}
	if len(data) < frameHeaderSize {
		return Frame{}, 0, nil
	}
	size := binary.BigEndian.Uint32(data[payloadSizeOffset:])
	if size > frameMax-frameHeaderSize-frameEndSize {
		return Frame{}, 0, Errorf(FrameError, "a frame of %d bytes, above frame-max", size)
	}
	end := frameHeaderSize + int(size)
	if len(data) <= end {
		return Frame{}, 0, nil
	}
	if data[end] != frameEnd {
		return Frame{}, 0, Errorf(FrameError, "a frame without its end")
	}
	frame := Frame{Kind: data[0], Channel: binary.BigEndian.Uint16(data[1:]), Payload: data[frameHeaderSize:end]}
	if frame.Kind == FrameHeartbeat && (frame.Channel != 0 || size != 0) {
		return Frame{}, 0, Errorf(FrameError, "malformed heartbeat")
	}
	return frame, end + frameEndSize, nil
}

// AppendFrame appends a frame. appendPayload appends its payload; nil means an empty payload.
func AppendFrame(out []byte, kind byte, channel uint16, appendPayload func([]byte) []byte) []byte {
	out, start := beginFrame(out, kind, channel)
	if appendPayload != nil {
		out = appendPayload(out)
	}
	return endFrame(out, start)
}

// beginFrame appends a frame header whose payload size is still 0, and returns the offset of the frame.
func beginFrame(out []byte, kind byte, channel uint16) ([]byte, int) {
	return append(out, kind, byte(channel>>8), byte(channel), 0, 0, 0, 0), len(out)
}

// endFrame completes the frame that starts at an offset: it sets the payload size and appends the end octet.
func endFrame(out []byte, start int) []byte {
	binary.BigEndian.PutUint32(out[start+payloadSizeOffset:], uint32(len(out)-start-frameHeaderSize))
	return append(out, frameEnd)
}

// AppendMessage appends a method with its content, in frames of at most frameMax bytes.
func AppendMessage(
	out []byte, channel uint16, method Key, props *Props, body []byte, frameMax uint32, args ...any,
) []byte {
	return appendContent(AppendMethod(out, channel, method, args...), channel, props, body, frameMax)
}

// appendContent appends the header frame and the body frames of a content.
func appendContent(out []byte, channel uint16, props *Props, body []byte, frameMax uint32) []byte {
	out, start := beginFrame(out, FrameHeader, channel)
	out = endFrame(props.append(out, uint64(len(body))), start)
	for maxPayload := int(frameMax) - frameHeaderSize - frameEndSize; len(body) > 0; {
		size := min(maxPayload, len(body))
		out, start = beginFrame(out, FrameBody, channel)
		out = endFrame(append(out, body[:size]...), start)
		body = body[size:]
	}
	return out
}

// Assembly joins the frames of one channel to messages. Its zero value is ready to use.
type Assembly struct {
	content  *content // nil while no content is incomplete
	bodySize uint64   // as announced by the content header, in bytes
}

// content is a message whose content is incomplete.
type content struct {
	Message
	props Props
}

// Message is a method, with its content if it has one. Without a content, its arguments are slices of the frame's
// payload.
type Message struct {
	Method
	Props *Props // nil for a method without content
	Body  []byte
}

// Pending returns the number of bytes of memory that an incomplete content occupies.
func (a *Assembly) Pending() int {
	if a.content == nil {
		return 0
	}
	return len(a.content.raw) + cap(a.content.Body)
}

// Add adds the next frame of the channel. It returns the message that the frame completes, or nil.
func (a *Assembly) Add(frame Frame) (*Message, error) {
	switch frame.Kind {
	case FrameMethod:
		return a.addMethod(frame.Payload)
	case FrameHeader:
		if err := a.addHeader(frame.Payload); err != nil {
			return nil, err
		}
	case FrameBody:
		if err := a.addBody(frame.Payload); err != nil {
			return nil, err
		}
	default:
		return nil, Errorf(UnexpectedFrame, "a frame out of place")
	}
	pending := a.content
	if uint64(len(pending.Body)) < a.bodySize {
		return nil, nil
	}
	*a = Assembly{}
	return &pending.Message, nil
}

// addMethod returns a method that has no content. For one with content it starts the content and returns nil.
func (a *Assembly) addMethod(payload []byte) (*Message, error) {
	if a.content != nil {
		return nil, Errorf(UnexpectedFrame, "a method inside a content")
	}
	method, err := ParseMethod(payload)
	if err != nil {
		return nil, err
	}
	if !hasContent(method.Key) {
		return &Message{Method: method}, nil
	}
	method.raw = bytes.Clone(method.raw) // it is used after the frame's buffer is reused
	a.content = &content{Message: Message{Method: method}}
	return nil, nil
}

// addHeader decodes the content header, which must follow the method.
func (a *Assembly) addHeader(payload []byte) error {
	pending := a.content
	if pending == nil || pending.Props != nil {
		return Errorf(UnexpectedFrame, "a content header out of place")
	}
	size, err := pending.props.parse(payload, pending.Key)
	if err != nil {
		return err
	}
	if size > MaxBody {
		*a = Assembly{}
		return &Fault{
			Code:   ContentTooLarge,
			Text:   fmt.Sprintf("a body of %d bytes, above %d", size, MaxBody),
			Method: pending.Key,
		}
	}
	pending.Props, a.bodySize = &pending.props, size
	return nil
}

// addBody appends a body frame to the content, whose header must have arrived.
func (a *Assembly) addBody(payload []byte) error {
	pending := a.content
	if pending == nil || pending.Props == nil {
		return Errorf(UnexpectedFrame, "a body out of place")
	}
	if uint64(len(pending.Body)+len(payload)) > a.bodySize {
		return Errorf(FrameError, "a body longer than its header says")
	}
	pending.Body = append(pending.Body, payload...)
	return nil
}
