package amqp

import "encoding/binary"

// Props are the properties of a content of the basic class. A property with its zero value is absent.
type Props struct {
	ContentType     string
	ContentEncoding string
	Headers         Table
	DeliveryMode    byte
	Priority        byte
	CorrelationID   string
	ReplyTo         string
	Expiration      string // milliseconds, as a decimal number
	MessageID       string
	Timestamp       uint64 // seconds since the Unix epoch
	Type            string
	UserID          string
	AppID           string
	ClusterID       string
}

// The bits of the properties in the property flags of a content header, counted from the highest bit.
const (
	flagContentType = iota
	flagContentEncoding
	flagHeaders
	flagDeliveryMode
	flagPriority
	flagCorrelationID
	flagReplyTo
	flagExpiration
	flagMessageID
	flagTimestamp
	flagType
	flagUserID
	flagAppID
	flagClusterID

	highestFlag  = 15
	unknownFlags = 3 // mask of the bits that belong to no property
)

// maxSharedHeader is the largest content header whose string properties share one copy of it, in bytes. A larger copy
// is not shared, because it would stay in memory as long as any one of them is in use.
const maxSharedHeader = 1 << 10

// parse decodes the content header of a method into p, and returns the size of the body in bytes.
func (p *Props) parse(payload []byte, method Key) (uint64, error) {
	r := &reader{data: payload}
	class, _, size, flags := r.number(2), r.number(2), r.number(8), r.number(2)
	if r.failed {
		return 0, Errorf(SyntaxError, "a content header that is too short")
	}
	if uint16(class) != method.Class() {
		return 0, Errorf(UnexpectedFrame, "a content header of class %d", class)
	}
	sharedText := ""
	if len(r.data) <= maxSharedHeader {
		sharedText = string(r.data)
	}
	propsSize := len(r.data)
	has := func(bit uint) bool { return flags>>(highestFlag-bit)&1 != 0 }
	str := func(bit uint, field *string) {
		if !has(bit) {
			return
		}
		value := r.take(r.number(1))
		if end := propsSize - len(r.data); sharedText != "" && !r.failed {
			*field = sharedText[end-len(value) : end]
		} else {
			*field = string(value)
		}
	}
	str(flagContentType, &p.ContentType)
	str(flagContentEncoding, &p.ContentEncoding)
	if has(flagHeaders) {
		p.Headers = r.table(0)
	}
	if has(flagDeliveryMode) {
		p.DeliveryMode = byte(r.number(1))
	}
	if has(flagPriority) {
		p.Priority = byte(r.number(1))
	}
	str(flagCorrelationID, &p.CorrelationID)
	str(flagReplyTo, &p.ReplyTo)
	str(flagExpiration, &p.Expiration)
	str(flagMessageID, &p.MessageID)
	if has(flagTimestamp) {
		p.Timestamp = r.number(8)
	}
	str(flagType, &p.Type)
	str(flagUserID, &p.UserID)
	str(flagAppID, &p.AppID)
	str(flagClusterID, &p.ClusterID)
	if r.failed || len(r.data) > 0 || flags&unknownFlags != 0 {
		return 0, Errorf(SyntaxError, "malformed properties")
	}
	return size, nil
}

// append appends a content header that announces a body of bodySize bytes.
func (p *Props) append(out []byte, bodySize uint64) []byte {
	out = binary.BigEndian.AppendUint16(out, Publish.Class())
	out = binary.BigEndian.AppendUint16(out, 0)
	out = binary.BigEndian.AppendUint64(out, bodySize)
	flagsOffset, flags := len(out), uint16(0)
	out = append(out, 0, 0)
	str := func(bit int, value string) {
		if value != "" {
			flags |= 1 << (highestFlag - bit)
			out = appendShort(out, value)
		}
	}
	str(flagContentType, p.ContentType)
	str(flagContentEncoding, p.ContentEncoding)
	if len(p.Headers) > 0 {
		flags |= 1 << (highestFlag - flagHeaders)
		out = appendTable(out, p.Headers)
	}
	if p.DeliveryMode != 0 {
		flags |= 1 << (highestFlag - flagDeliveryMode)
		out = append(out, p.DeliveryMode)
	}
	if p.Priority != 0 {
		flags |= 1 << (highestFlag - flagPriority)
		out = append(out, p.Priority)
	}
	str(flagCorrelationID, p.CorrelationID)
	str(flagReplyTo, p.ReplyTo)
	str(flagExpiration, p.Expiration)
	str(flagMessageID, p.MessageID)
	if p.Timestamp != 0 {
		flags |= 1 << (highestFlag - flagTimestamp)
		out = binary.BigEndian.AppendUint64(out, p.Timestamp)
	}
	str(flagType, p.Type)
	str(flagUserID, p.UserID)
	str(flagAppID, p.AppID)
	str(flagClusterID, p.ClusterID)
	binary.BigEndian.PutUint16(out[flagsOffset:], flags)
	return out
}
