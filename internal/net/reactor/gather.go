package reactor

import (
	"net"
	"sync"
)

// writeBatch holds the bytes that are appended to one connection's output during one batch of the loop's tasks; they
// are sent in one write.
type writeBatch struct {
	conn *Conn
	buf  []byte
	tag  uint64 // the tag of the bytes that were appended last; 0: none
}

const (
	// maxBatchSize is the size at which a buffer is written before the end of the loop's batch, in bytes.
	maxBatchSize = 32 << 10
	// maxPooledSize is the largest buffer that returns to the pool, in bytes.
	maxPooledSize = 64 << 10
	// initialBatchSize is the size of a new buffer, in bytes.
	initialBatchSize = 1 << 10
)

var writeBatchPool = sync.Pool{New: func() any { return &writeBatch{buf: make([]byte, 0, initialBatchSize)} }}

// Buffer returns the bytes that are batched for writing, or nil if the connection is closing. The caller appends to
// them and passes the result to SetBuffer. They are written at the end of the loop's batch of tasks, or with the next
// Write, Flush or Close.
func (c *Conn) Buffer() []byte {
	if c.writeBatch == nil {
		if c.IsClosing() {
			return nil
		}
		batch, _ := writeBatchPool.Get().(*writeBatch)
		batch.conn, batch.buf, batch.tag = c, batch.buf[:0], 0
		c.writeBatch = batch
		c.reactor.Defer(batch)
	}
	return c.writeBatch.buf
}

// SetBuffer stores the result of appending to Buffer. As with Write, an error means that the peer does not read, or
// that the connection has ended.
func (c *Conn) SetBuffer(buf []byte) error {
	if c.IsClosing() || c.writeBatch == nil || c.socket.Load() == nil {
		return net.ErrClosed
	}
	c.writeBatch.buf, c.writeBatch.tag = buf, 0
	if len(buf) >= maxBatchSize {
		return c.Flush()
	}
	return nil
}

// SetBufferTag sets a tag for the bytes that were appended last. BufferTag returns it while they are at the end of the
// buffer, and 0 once other bytes were appended or the buffer was written.
func (c *Conn) SetBufferTag(tag uint64) {
	if c.writeBatch != nil && len(c.writeBatch.buf) > 0 {
		c.writeBatch.tag = tag
	}
}

// BufferTag returns the tag of the bytes at the end of the buffer; 0 if there is none.
func (c *Conn) BufferTag() uint64 {
	if c.writeBatch == nil {
		return 0
	}
	return c.writeBatch.tag
}

// batchedBytes returns the number of bytes in the buffer.
func (c *Conn) batchedBytes() int64 {
	if c.writeBatch == nil {
		return 0
	}
	return int64(len(c.writeBatch.buf))
}

// Flush writes the batched bytes.
func (c *Conn) Flush() error {
	batch := c.writeBatch
	if batch == nil || len(batch.buf) == 0 {
		return nil
	}
	buf := batch.buf
	batch.buf, batch.tag = batch.buf[:0], 0
	return c.send(buf)
}

// Do runs at the end of the loop's batch: it writes the bytes and returns the buffer to the pool.
func (b *writeBatch) Do() {
	c := b.conn
	if !c.IsClosing() && c.Flush() != nil {
		c.Close()
	}
	c.writeBatch, b.conn = nil, nil
	if cap(b.buf) <= maxPooledSize {
		writeBatchPool.Put(b)
	}
}

// dropBatch discards the batched bytes, because the connection has ended.
func (c *Conn) dropBatch() {
	if c.writeBatch != nil {
		c.writeBatch.buf, c.writeBatch.tag = c.writeBatch.buf[:0], 0
	}
}
