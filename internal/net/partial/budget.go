package partial

// Budget bounds the memory of several buffers together. It is not safe for concurrent use.
type Budget struct {
	Limit int // bytes; 0: none
	used  int
}

// Charge changes the memory in use by a number of bytes.
func (b *Budget) Charge(bytes int) { b.used += bytes }

// Exceeded reports whether the buffers hold more than the limit.
func (b *Budget) Exceeded() bool { return b.Limit > 0 && b.used > b.Limit }
