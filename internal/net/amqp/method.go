package amqp

import (
	"encoding/binary"
	"fmt"
	"math"
)

// The kinds of arguments, as the grammar writes them.
const (
	kindOctet       = 'o'
	kindShort       = 's' // 16 bits
	kindLong        = 'l' // 32 bits
	kindLongLong    = 'L' // 64 bits
	kindBit         = 'b' // adjacent bits share an octet
	kindShortString = 'S' // a length of 8 bits, then up to 255 bytes
	kindLongString  = 'X' // a length of 32 bits, then the bytes
	kindTable       = 'T' // a length of 32 bits, then the fields
)

const (
	octetBits  = 8
	lengthSize = 4 // size of the length of a long string, table or array, in bytes
	keySize    = 4 // size of a method's class ID and method ID, in bytes
)

// Method is one method. Each argument is decoded on access, because most are read once and some never. The index of an
// argument is its position in the grammar.
type Method struct {
	Key
	kinds string // the kinds of the arguments
	raw   []byte // the encoded arguments, validated by ParseMethod
}

// locate returns the kind of an argument, the encoded arguments from it on and, for a bit, its position in the first
// octet of these.
func (m *Method) locate(index int) (kind byte, data []byte, bit uint8) {
	data = m.raw
	bits := uint8(octetBits) // bits used in the current octet of bits
	for i := range len(m.kinds) {
		kind = m.kinds[i]
		if kind == kindBit {
			if bits == octetBits {
				bits = 0
			}
			if i == index {
				return kind, data, bits
			}
			if bits++; bits == octetBits || i+1 == len(m.kinds) || m.kinds[i+1] != kindBit {
				data, bits = data[1:], octetBits
			}
			continue
		}
		if i == index {
			return kind, data, 0
		}
		data = data[argSize(kind, data):]
	}
	return 0, nil, 0
}

// argSize returns the size of the argument at the start of data, in bytes. It exceeds len(data) if the argument is
// incomplete.
func argSize(kind byte, data []byte) int {
	switch kind {
	case kindOctet:
		return 1
	case kindShort:
		return 2
	case kindLong:
		return 4
	case kindLongLong:
		return 8
	case kindShortString:
		if len(data) > 0 {
			return 1 + int(data[0])
		}
		return 1
	}
	if len(data) >= lengthSize {
		return int(min(uint64(lengthSize)+uint64(binary.BigEndian.Uint32(data)), math.MaxInt32))
	}
	return lengthSize
}

// Int returns a numeric argument, or 0 for an argument of another kind.
func (m *Method) Int(index int) (number uint64) {
	kind, data, _ := m.locate(index)
	switch kind {
	case kindOctet, kindShort, kindLong, kindLongLong:
		for _, octet := range data[:argSize(kind, data)] {
			number = number<<octetBits | uint64(octet)
		}
	}
	return number
}

// Bool returns a bit argument, or false for an argument of another kind.
func (m *Method) Bool(index int) bool {
	kind, data, bit := m.locate(index)
	return kind == kindBit && data[0]>>bit&1 == 1
}

// Bytes returns the bytes of a string argument, without a copy, or nil for an argument of another kind.
func (m *Method) Bytes(index int) []byte {
	switch kind, data, _ := m.locate(index); kind {
	case kindShortString:
		return data[1:argSize(kind, data)]
	case kindLongString:
		return data[lengthSize:argSize(kind, data)]
	}
	return nil
}

// Str returns a copy of a string argument.
func (m *Method) Str(index int) string { return string(m.Bytes(index)) }

// Table returns a table argument, or nil for an argument of another kind.
func (m *Method) Table(index int) Table {
	if kind, data, _ := m.locate(index); kind == kindTable {
		return (&reader{data: data}).table(0)
	}
	return nil
}

// Arg returns an argument as the Go type of its kind: uint64, bool, string or Table.
func (m *Method) Arg(index int) any {
	switch kind, _, _ := m.locate(index); kind {
	case kindBit:
		return m.Bool(index)
	case kindShortString, kindLongString:
		return m.Str(index)
	case kindTable:
		return m.Table(index)
	}
	return m.Int(index)
}

// ParseMethod decodes the payload of a method frame and validates the encoding of its arguments. The method refers to
// the payload's bytes and does not copy them.
func ParseMethod(payload []byte) (Method, error) {
	if len(payload) < keySize {
		return Method{}, Errorf(SyntaxError, "a method without its number")
	}
	m := Method{Key: Key(binary.BigEndian.Uint32(payload)), raw: payload[keySize:]}
	spec, ok := specs[m.Key]
	if !ok {
		return m, &Fault{
			Code:   NotImplemented,
			Text:   fmt.Sprintf("method %d.%d", m.Class(), m.ID()),
			Method: m.Key,
		}
	}
	m.kinds = spec.kinds
	if !wellFormed(spec.kinds, m.raw) {
		return m, malformedArgs(m.Key)
	}
	return m, nil
}

// wellFormed reports whether data is exactly the encoding of arguments of these kinds.
func wellFormed(kinds string, data []byte) bool {
	bits := 0
	for i := range len(kinds) {
		kind := kinds[i]
		if kind == kindBit {
			if bits++; bits < octetBits && i+1 < len(kinds) && kinds[i+1] == kindBit {
				continue
			}
			kind, bits = kindOctet, 0 // the last bit of the octet: skip the octet
		}
		size := argSize(kind, data)
		if size > len(data) {
			return false
		}
		if kind == kindTable && size > lengthSize {
			if r := (&reader{data: data[:size]}); r.table(0) == nil || r.failed {
				return false
			}
		}
		data = data[size:]
	}
	return len(data) == 0
}

// malformedArgs returns the fault for a method whose arguments are not encoded as the grammar requires.
func malformedArgs(k Key) error {
	return &Fault{Code: SyntaxError, Text: "malformed arguments of " + k.String(), Method: k}
}

// AppendMethod appends a method frame. Numeric arguments may be int, uint16, uint32 or uint64; an argument of a wrong
// type causes a panic.
func AppendMethod(out []byte, channel uint16, method Key, args ...any) []byte {
	return AppendFrame(out, FrameMethod, channel, func(payload []byte) []byte {
		payload = binary.BigEndian.AppendUint32(payload, uint32(method))
		spec, ok := specs[method]
		if !ok { // the arguments of an unknown method are unknown
			return payload
		}
		bits := octetBits // bits used in the current octet of bits
		for i, kind := range spec.kinds {
			if kind != kindBit {
				bits = octetBits
				payload = appendArg(payload, kind, args[i])
				continue
			}
			if bits == octetBits {
				payload, bits = append(payload, 0), 0
			}
			if args[i].(bool) {
				payload[len(payload)-1] |= 1 << bits
			}
			bits++
		}
		return payload
	})
}

// appendArg appends an argument of any kind but a bit.
func appendArg(out []byte, kind rune, arg any) []byte {
	switch kind {
	case kindOctet:
		return append(out, byte(toUint64(arg)))
	case kindShort:
		return binary.BigEndian.AppendUint16(out, uint16(toUint64(arg)))
	case kindLong:
		return binary.BigEndian.AppendUint32(out, uint32(toUint64(arg)))
	case kindLongLong:
		return binary.BigEndian.AppendUint64(out, toUint64(arg))
	case kindShortString:
		return appendShort(out, arg.(string))
	case kindLongString:
		return appendLong(out, arg.(string))
	case kindTable:
		return appendTable(out, arg.(Table))
	}
	return out
}

// WidenAck rewrites the basic.ack at the end of out so that it acknowledges all deliveries up to a tag.
func WidenAck(out []byte, tag uint64) {
	const tagSize, bitsSize = 8, 1
	tagOffset := len(out) - tagSize - bitsSize - frameEndSize
	binary.BigEndian.PutUint64(out[tagOffset:], tag)
	out[tagOffset+tagSize] = 1
}

// toUint64 converts an argument of a numeric kind.
func toUint64(arg any) uint64 {
	switch number := arg.(type) {
	case int:
		return uint64(number)
	case uint16:
		return uint64(number)
	case uint32:
		return uint64(number)
	case uint64:
		return number
	}
	// A mistake in the calling code. Printing the argument would make every argument escape to the heap.
	panic("amqp: argument is not an integer")
}
