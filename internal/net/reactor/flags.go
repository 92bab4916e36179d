package reactor

import "sync/atomic"

// connFlag is a state of a connection that several goroutines share.
type connFlag uint32

const (
	flagAwaitsDrain  connFlag = 1 << iota // drained is to be called when the engine has written bytes
	flagReading                           // a read is in progress
	flagAwaitsOutput                      // see SetAwaitsOutput
)

// connFlags holds the flags of a connection in four bytes, since every idle client has them.
type connFlags struct{ bits atomic.Uint32 }

func (f *connFlags) has(flag connFlag) bool { return f.bits.Load()&uint32(flag) != 0 }

func (f *connFlags) set(flag connFlag) { f.bits.Or(uint32(flag)) }

// clear clears a flag and reports whether it was set.
func (f *connFlags) clear(flag connFlag) (wasSet bool) {
	return f.bits.And(^uint32(flag))&uint32(flag) != 0
}
