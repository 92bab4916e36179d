package amqp

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
)

// Key is a method's class and number.
type Key uint32

func key(class, method uint32) Key { return Key(class<<16 | method) }

// Class and ID are the two halves.
func (k Key) Class() uint16 { return uint16(k >> 16) }

// ID is the method's number in its class.
func (k Key) ID() uint16 { return uint16(k) }

// The methods that are known, by class and number.
const (
	ConnStart         = Key(10<<16 | 10)
	ConnStartOk       = Key(10<<16 | 11)
	ConnTune          = Key(10<<16 | 30)
	ConnTuneOk        = Key(10<<16 | 31)
	ConnOpen          = Key(10<<16 | 40)
	ConnOpenOk        = Key(10<<16 | 41)
	ConnClose         = Key(10<<16 | 50)
	ConnCloseOk       = Key(10<<16 | 51)
	ConnBlocked       = Key(10<<16 | 60)
	ConnUnblocked     = Key(10<<16 | 61)
	ConnSecure        = Key(10<<16 | 20)
	ConnSecureOk      = Key(10<<16 | 21)
	ConnSecret        = Key(10<<16 | 70)
	ConnSecretOk      = Key(10<<16 | 71)
	ChanOpen          = Key(20<<16 | 10)
	ChanOpenOk        = Key(20<<16 | 11)
	ChanFlow          = Key(20<<16 | 20)
	ChanFlowOk        = Key(20<<16 | 21)
	ChanClose         = Key(20<<16 | 40)
	ChanCloseOk       = Key(20<<16 | 41)
	ExchangeDeclare   = Key(40<<16 | 10)
	ExchangeDeclareOk = Key(40<<16 | 11)
	ExchangeDelete    = Key(40<<16 | 20)
	ExchangeDeleteOk  = Key(40<<16 | 21)
	ExchangeBind      = Key(40<<16 | 30)
	ExchangeBindOk    = Key(40<<16 | 31)
	ExchangeUnbind    = Key(40<<16 | 40)
	ExchangeUnbindOk  = Key(40<<16 | 51)
	QueueDeclare      = Key(50<<16 | 10)
	QueueOk           = Key(50<<16 | 11)
	QueueBind         = Key(50<<16 | 20)
	QueueBindOk       = Key(50<<16 | 21)
	QueuePurge        = Key(50<<16 | 30)
	QueuePurgeOk      = Key(50<<16 | 31)
	QueueDelete       = Key(50<<16 | 40)
	QueueDeleteOk     = Key(50<<16 | 41)
	QueueUnbind       = Key(50<<16 | 50)
	QueueUnbindOk     = Key(50<<16 | 51)
	Qos               = Key(60<<16 | 10)
	QosOk             = Key(60<<16 | 11)
	Consume           = Key(60<<16 | 20)
	ConsumeOk         = Key(60<<16 | 21)
	Cancel            = Key(60<<16 | 30)
	CancelOk          = Key(60<<16 | 31)
	Publish           = Key(60<<16 | 40)
	Return            = Key(60<<16 | 50)
	Deliver           = Key(60<<16 | 60)
	Get               = Key(60<<16 | 70)
	GetOk             = Key(60<<16 | 71)
	GetEmpty          = Key(60<<16 | 72)
	Ack               = Key(60<<16 | 80)
	Reject            = Key(60<<16 | 90)
	Nack              = Key(60<<16 | 120)
	ConfirmSelect     = Key(85<<16 | 10)
	ConfirmOk         = Key(85<<16 | 11)
	RecoverAsync      = Key(60<<16 | 100)
	Recover           = Key(60<<16 | 110)
	RecoverOk         = Key(60<<16 | 111)
	TxSelect          = Key(90<<16 | 10)
	TxSelectOk        = Key(90<<16 | 11)
	TxCommit          = Key(90<<16 | 20)
	TxCommitOk        = Key(90<<16 | 21)
	TxRollback        = Key(90<<16 | 30)
	TxRollbackOk      = Key(90<<16 | 31)
)

func hasContent(k Key) bool { s, ok := specs[k]; return ok && s.Content }

// Table is a field table.
type Table map[string]any

// Method is one method with its arguments: uint64, bool, string or Table, in their order.
type Method struct {
	Key
	args []any
}

// Int returns a numeric argument.
func (m *Method) Int(i int) uint64 { x, _ := m.args[i].(uint64); return x }

// Bool returns a bit.
func (m *Method) Bool(i int) bool { x, _ := m.args[i].(bool); return x }

// Str returns a string argument.
func (m *Method) Str(i int) string { x, _ := m.args[i].(string); return x }

// Table returns a table argument.
func (m *Method) Table(i int) Table { x, _ := m.args[i].(Table); return x }

// ParseMethod reads the payload of a method frame.
func ParseMethod(b []byte) (*Method, error) {
	r := &reader{b: b}
	m := &Method{Key: key(uint32(r.int(2)), uint32(r.int(2)))}
	if r.bad {
		return nil, Errorf(SyntaxError, "a method without its number")
	}
	spec, ok := specs[m.Key]
	if !ok {
		return nil, &Fault{NotImplemented, fmt.Sprintf("method %d.%d", m.Class(), m.ID()), m.Key}
	}
	bits, left := uint64(0), 0
	m.args = make([]any, 0, len(spec.Args))
	for _, k := range spec.kinds {
		if k == 'b' {
			if left == 0 {
				bits, left = r.int(1), 8
			}
			m.args = append(m.args, bits&1 == 1)
			bits, left = bits>>1, left-1
			continue
		}
		left = 0
		switch k {
		case 'o':
			m.args = append(m.args, r.int(1))
		case 's':
			m.args = append(m.args, r.int(2))
		case 'l':
			m.args = append(m.args, r.int(4))
		case 'L':
			m.args = append(m.args, r.int(8))
		case 'S':
			m.args = append(m.args, r.text(1))
		case 'X':
			m.args = append(m.args, r.text(4))
		case 'T':
			m.args = append(m.args, r.table(0))
		}
	}
	if r.bad || len(r.b) > 0 {
		return nil, &Fault{SyntaxError, "malformed arguments of " + m.Key.String(), m.Key}
	}
	return m, nil
}

// AppendMethod writes a method frame. Numbers may be of any whole type.
func AppendMethod(out []byte, channel uint16, k Key, args ...any) []byte {
	return AppendFrame(out, FrameMethod, channel, func(b []byte) []byte {
		b = binary.BigEndian.AppendUint32(b, uint32(k))
		bit := 8
		s, ok := specs[k]
		if !ok { // a method that nobody knows has no arguments either
			return b
		}
		for i, kind := range s.kinds {
			if kind == 'b' {
				if bit == 8 {
					b, bit = append(b, 0), 0
				}
				if args[i].(bool) {
					b[len(b)-1] |= 1 << bit
				}
				bit++
				continue
			}
			bit = 8
			switch kind {
			case 'o':
				b = append(b, byte(whole(args[i])))
			case 's':
				b = binary.BigEndian.AppendUint16(b, uint16(whole(args[i])))
			case 'l':
				b = binary.BigEndian.AppendUint32(b, uint32(whole(args[i])))
			case 'L':
				b = binary.BigEndian.AppendUint64(b, whole(args[i]))
			case 'S':
				b = appendShort(b, args[i].(string))
			case 'X':
				b = appendLong(b, args[i].(string))
			case 'T':
				b = appendTable(b, args[i].(Table))
			}
		}
		return b
	})
}

func whole(x any) uint64 {
	switch x := x.(type) {
	case int:
		return uint64(x)
	case uint16:
		return uint64(x)
	case uint32:
		return uint64(x)
	case uint64:
		return x
	}
	panic(fmt.Sprintf("amqp: %T is no whole number", x)) // a fault of the caller's own text
}

// Props are the properties of a basic content.
type Props struct {
	ContentType, ContentEncoding       string
	Headers                            Table
	DeliveryMode, Priority             byte
	CorrelationID, ReplyTo, Expiration string
	MessageID                          string
	Timestamp                          uint64
	Type, UserID, AppID, ClusterID     string
}

// fields lists the properties in the order of their flags.
func (p *Props) fields() []any {
	return []any{&p.ContentType, &p.ContentEncoding, &p.Headers, &p.DeliveryMode, &p.Priority, &p.CorrelationID,
		&p.ReplyTo, &p.Expiration, &p.MessageID, &p.Timestamp, &p.Type, &p.UserID, &p.AppID, &p.ClusterID}
}

func parseHeader(b []byte, of Key) (*Props, uint64, error) {
	r := &reader{b: b}
	class, _, size, flags := r.int(2), r.int(2), r.int(8), r.int(2)
	if r.bad {
		return nil, 0, Errorf(SyntaxError, "a content header that is too short")
	}
	if uint16(class) != of.Class() {
		return nil, 0, Errorf(UnexpectedFrame, "a content header of class %d", class)
	}
	p := &Props{}
	for i, f := range p.fields() {
		if flags>>(15-i)&1 == 0 {
			continue
		}
		switch f := f.(type) {
		case *string:
			*f = r.text(1)
		case *byte:
			*f = byte(r.int(1))
		case *uint64:
			*f = r.int(8)
		case *Table:
			*f = r.table(0)
		}
	}
	if r.bad || len(r.b) > 0 || flags&3 != 0 {
		return nil, 0, Errorf(SyntaxError, "malformed properties")
	}
	return p, size, nil
}

func (p *Props) append(b []byte, size uint64) []byte {
	b = binary.BigEndian.AppendUint16(b, Publish.Class())
	b = binary.BigEndian.AppendUint16(b, 0)
	b = binary.BigEndian.AppendUint64(b, size)
	at, flags := len(b), uint16(0)
	b = append(b, 0, 0)
	for i, f := range p.fields() {
		n := len(b)
		switch f := f.(type) {
		case *string:
			if *f != "" {
				b = appendShort(b, *f)
			}
		case *byte:
			if *f != 0 {
				b = append(b, *f)
			}
		case *uint64:
			if *f != 0 {
				b = binary.BigEndian.AppendUint64(b, *f)
			}
		case *Table:
			if len(*f) > 0 {
				b = appendTable(b, *f)
			}
		}
		if len(b) > n {
			flags |= 1 << (15 - i)
		}
	}
	binary.BigEndian.PutUint16(b[at:], flags)
	return b
}

func appendShort(b []byte, s string) []byte {
	s = s[:min(len(s), 255)]
	return append(append(b, byte(len(s))), s...)
}

func appendLong(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func appendTable(b []byte, t Table) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	var names []string
	for n := range t {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		b = appendShort(b, n)
		switch x := t[n].(type) {
		case bool:
			b = append(b, 't', 0)
			if x {
				b[len(b)-1] = 1
			}
		case int64:
			b = binary.BigEndian.AppendUint64(append(b, 'l'), uint64(x))
		case string:
			b = appendLong(append(b, 'S'), x)
		case Table:
			b = appendTable(append(b, 'F'), x)
		default:
			b = append(b, 'V')
		}
	}
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// ParseTable reads the fields of a table that comes without its length, as AMQPLAIN's response does.
func ParseTable(b []byte) (Table, error) {
	r := &reader{b: append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)}
	t := r.table(0)
	if r.bad {
		return nil, Errorf(SyntaxError, "malformed table")
	}
	return t, nil
}

// reader takes a payload apart; bad is set once it does not hold what is asked of it.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	x := r.b[:n]
	r.b = r.b[n:]
	return x
}

func (r *reader) int(size uint64) (n uint64) {
	for _, x := range r.take(size) {
		n = n<<8 | uint64(x)
	}
	return n
}

func (r *reader) text(size uint64) string { return string(r.take(r.int(size))) }

// maxDepth bounds tables and arrays inside one another.
const maxDepth = 8

func (r *reader) table(depth int) Table {
	in := &reader{b: r.take(r.int(4)), bad: depth > maxDepth}
	t := Table{}
	for len(in.b) > 0 && !in.bad {
		name := in.text(1)
		t[name] = in.value(depth)
	}
	r.bad = r.bad || in.bad
	return t
}

func (r *reader) value(depth int) any {
	switch kind := r.int(1); kind {
	case 't':
		return r.int(1) != 0
	case 'b':
		return int64(int8(r.int(1)))
	case 'B':
		return int64(r.int(1))
	case 's', 'U':
		return int64(int16(r.int(2)))
	case 'u':
		return int64(r.int(2))
	case 'I':
		return int64(int32(r.int(4)))
	case 'i':
		return int64(r.int(4))
	case 'l', 'L':
		return int64(r.int(8))
	case 'T':
		return r.int(8)
	case 'f':
		return float64(math.Float32frombits(uint32(r.int(4))))
	case 'd':
		return math.Float64frombits(r.int(8))
	case 'D':
		return [2]uint64{r.int(1), r.int(4)}
	case 'S', 'x':
		return r.text(4)
	case 'F':
		return r.table(depth + 1)
	case 'A':
		in := &reader{b: r.take(r.int(4)), bad: depth >= maxDepth}
		var list []any
		for len(in.b) > 0 && !in.bad {
			list = append(list, in.value(depth+1))
		}
		r.bad = r.bad || in.bad
		return list
	case 'V':
		return nil
	}
	r.bad = true
	return nil
}
