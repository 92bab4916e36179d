package amqp

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// Table is a field table. A decoded table has values of the types that reader.value returns. A table to be encoded may
// have values of the types bool, int64, string and Table.
type Table map[string]any

// maxShort is the maximum length of a short string, in bytes.
const maxShort = 255

// appendShort appends a short string, truncated to maxShort bytes.
func appendShort(out []byte, text string) []byte {
	text = text[:min(len(text), maxShort)]
	return append(append(out, byte(len(text))), text...)
}

// appendLong appends a long string.
func appendLong(out []byte, text string) []byte {
	return append(binary.BigEndian.AppendUint32(out, uint32(len(text))), text...)
}

// appendTable appends a table with its length, its fields sorted by name. A value of an unsupported type is encoded as
// void.
func appendTable(out []byte, table Table) []byte {
	start := len(out)
	out = append(out, 0, 0, 0, 0)
	for _, name := range slices.Sorted(maps.Keys(table)) {
		out = appendShort(out, name)
		switch value := table[name].(type) {
		case bool:
			out = append(out, 't', 0)
			if value {
				out[len(out)-1] = 1
			}
		case int64:
			out = binary.BigEndian.AppendUint64(append(out, 'l'), uint64(value))
		case string:
			out = appendLong(append(out, 'S'), value)
		case Table:
			out = appendTable(append(out, 'F'), value)
		default:
			out = append(out, 'V')
		}
	}
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-lengthSize))
	return out
}

// ParseTable decodes the fields of a table that has no length before it, as in the response of the AMQPLAIN mechanism.
func ParseTable(fields []byte) (Table, error) {
	r := &reader{data: append(binary.BigEndian.AppendUint32(nil, uint32(len(fields))), fields...)}
	table := r.table(0)
	if r.failed {
		return nil, Errorf(SyntaxError, "malformed table")
	}
	return table, nil
}

// reader decodes a payload from its start. Errors are sticky: the caller checks failed once, at the end.
type reader struct {
	data   []byte // the remaining bytes
	failed bool   // the payload was too short or malformed; the decoded values are invalid
}

// take consumes and returns the next size bytes, or nil if fewer remain.
func (r *reader) take(size uint64) []byte {
	if size > uint64(len(r.data)) {
		r.failed, r.data = true, nil
		return nil
	}
	taken := r.data[:size]
	r.data = r.data[size:]
	return taken
}

// number decodes an unsigned number of size bytes.
func (r *reader) number(size uint64) (number uint64) {
	for _, octet := range r.take(size) {
		number = number<<octetBits | uint64(octet)
	}
	return number
}

// text decodes a string that follows its length, which is a number of size bytes.
func (r *reader) text(size uint64) string { return string(r.take(r.number(size))) }

// maxTableDepth is the maximum nesting depth of tables and arrays.
const maxTableDepth = 8

// table decodes a table at a nesting depth; the outermost has depth 0.
func (r *reader) table(depth int) Table {
	nested := &reader{data: r.take(r.number(4)), failed: depth > maxTableDepth}
	table := Table{}
	for len(nested.data) > 0 && !nested.failed {
		name := nested.text(1)
		table[name] = nested.value(depth)
	}
	r.failed = r.failed || nested.failed
	return table
}

// value decodes a field value of a table or array: an octet with its type, then the value.
func (r *reader) value(depth int) any {
	switch kind := r.number(1); kind {
	case 't':
		return r.number(1) != 0
	case 'b':
		return int64(int8(r.number(1)))
	case 'B':
		return int64(r.number(1))
	case 's', 'U':
		return int64(int16(r.number(2)))
	case 'u':
		return int64(r.number(2))
	case 'I':
		return int64(int32(r.number(4)))
	case 'i':
		return int64(r.number(4))
	case 'l', 'L':
		return int64(r.number(8))
	case 'T':
		return r.number(8)
	case 'f':
		return float64(math.Float32frombits(uint32(r.number(4))))
	case 'd':
		return math.Float64frombits(r.number(8))
	case 'D':
		return [2]uint64{r.number(1), r.number(4)}
	case 'S', 'x':
		return r.text(4)
	case 'F':
		return r.table(depth + 1)
	case 'A':
		nested := &reader{data: r.take(r.number(4)), failed: depth >= maxTableDepth}
		var list []any
		for len(nested.data) > 0 && !nested.failed {
			list = append(list, nested.value(depth+1))
		}
		r.failed = r.failed || nested.failed
		return list
	case 'V':
		return nil
	}
	r.failed = true
	return nil
}
