// Package partial stores the bytes of a partial frame between two reads. It uses pooled buffers of a few sizes, and
// returns a buffer to its pool as soon as the frame is complete, so that an idle connection holds none.
package partial

import "sync"

// sizes are the capacities of pooled buffers, in bytes. A larger buffer is left to the garbage collector.
var sizes = [...]int{512, 4 << 10, 32 << 10, 72 << 10, 160 << 10}

var pools [len(sizes)]sync.Pool

// Get returns an empty buffer with a capacity of at least the given number of bytes. It is safe for concurrent use.
func Get(size int) []byte {
	for i, poolSize := range sizes {
		if size <= poolSize {
			if buf, ok := pools[i].Get().(*[]byte); ok {
				return (*buf)[:0]
			}
			return make([]byte, 0, poolSize)
		}
	}
	return make([]byte, 0, size)
}

// Put returns a buffer from Get to its pool; no part of it may be used afterwards. It is safe for concurrent use.
func Put(buf []byte) {
	for i, poolSize := range sizes {
		if cap(buf) == poolSize {
			pools[i].Put(&buf)
			return
		}
	}
}

// Buffer holds the bytes that were read and not yet parsed. Its zero value is empty and holds no memory. It is not safe
// for concurrent use.
type Buffer struct{ data []byte }

// Len returns the number of stored bytes.
func (b *Buffer) Len() int { return len(b.data) }

// Capacity returns the memory that the buffer holds, in bytes.
func (b *Buffer) Capacity() int { return cap(b.data) }

// Append returns the stored bytes followed by those of read. The result is valid until the next call of Append, Store
// or Reset. read is not changed; if nothing is stored, the result is read itself.
func (b *Buffer) Append(read []byte) []byte {
	if len(b.data) == 0 {
		return read
	}
	if needed := len(b.data) + len(read); needed > cap(b.data) {
		larger := append(Get(max(needed, 2*cap(b.data))), b.data...)
		Put(b.data)
		b.data = larger
	}
	b.data = append(b.data, read...)
	return b.data
}

// Store stores tail, which is the end of the last result of Append. If it is empty, the memory returns to its pool.
func (b *Buffer) Store(tail []byte) {
	switch {
	case len(tail) == 0:
		b.Reset()
	case len(b.data) == 0:
		b.data = append(Get(len(tail)), tail...)
	default:
		b.data = b.data[:copy(b.data, tail)]
	}
}

// Bytes returns the stored bytes; they are valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.data }

// Reset discards the stored bytes.
func (b *Buffer) Reset() {
	if b.data != nil {
		Put(b.data)
		b.data = nil
	}
}
