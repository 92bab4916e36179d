package reactor

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// SocketCall is a family of system calls on sockets.
type SocketCall string

// The system calls that a test can make fail.
const (
	CallConnect SocketCall = "connect" // with socket and bind
	CallListen  SocketCall = "listen"  // with socket and bind
	CallAccept  SocketCall = "accept"
	CallRead    SocketCall = "read"
	CallWrite   SocketCall = "write"
	CallPoll    SocketCall = "poll" // adding a connection to the engine's poller
)

// SocketFault describes how a call fails.
type SocketFault struct {
	Errno syscall.Errno // 0: the call succeeds, but a write is split into two
	After int           // bytes that a write or a read transfers before it fails
}

// FaultHook returns the fault of a call, given the address of the peer or of the listener; nil: it does not fail.
type FaultHook func(call SocketCall, addr string) *SocketFault

var faultHook atomic.Pointer[FaultHook]

// SetFaultHook sets the hook that decides which calls fail, until undo is called. The hook must be safe for concurrent
// use. Only for tests, one at a time.
func SetFaultHook(hook FaultHook) (undo func()) {
	faultHook.Store(&hook)
	return func() { faultHook.Store(nil) }
}

// fault returns the fault of a call; nil: it does not fail. Without a hook it costs one atomic load and does not call
// addr.
func fault(call SocketCall, addr func() string) *SocketFault {
	if hook := faultHook.Load(); hook != nil {
		return (*hook)(call, addr())
	}
	return nil
}

// faultError returns the error with which a call fails; nil: it does not fail.
func faultError(call SocketCall, addr string) error {
	if injected := fault(call, func() string { return addr }); injected != nil && injected.Errno != 0 {
		return injected.Errno
	}
	return nil
}

// writeFaulty writes the first bytes of the pieces, and then fails or writes the rest in a second write. It runs only
// in tests.
func (c *Conn) writeFaulty(socket *nbio.Conn, injected *SocketFault, pieces [][]byte) error {
	all := bytes.Join(pieces, nil)
	first := min(injected.After, len(all))
	c.queued += int64(len(all))
	c.reactor.unsent.Add(int64(len(all)))
	if _, err := socket.Write(all[:first]); err != nil {
		return err
	}
	if injected.Errno != 0 {
		_ = socket.CloseWithError(injected.Errno)
		return fmt.Errorf("writing: %w", injected.Errno)
	}
	_, err := socket.Write(all[first:])
	return err
}
