package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// RelayedConn is one connection through a relay.
type RelayedConn struct {
	relay  *Relay
	plan   relayPlan
	caller *net.TCPConn
	target *net.TCPConn
	reader arrivalReader

	callerAddr, targetPeerAddr string // under which the connection can be looked up

	acceptedAt time.Time

	endOnce sync.Once
	ended   chan struct{}

	mu        sync.Mutex
	endedAt   time.Time // the caller has ended the connection, or its sending on it, not before that; zero: it has not
	first     time.Time // arrival of the request's first byte from the caller
	last      time.Time // arrival of its last byte so far
	forwarded int       // bytes of the response that were written to the caller
	waiting   []forwardWait
}

// forwardWait is a function to be called once a number of bytes was written to the caller.
type forwardWait struct {
	size int
	call func()
}

// Fault returns the connection's fault.
func (c *RelayedConn) Fault() RelayFault { return c.plan.fault }

// Arrival returns when the first and the last byte of what the caller has sent so far arrived at this machine's kernel.
func (c *RelayedConn) Arrival() (first, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first, c.last
}

// CallerEnded reports whether the caller has ended the connection, or its sending on it.
func (c *RelayedConn) CallerEnded() bool { return c.reader.peerEnded() }

// CallerEndedAt returns a time before which the caller had not ended the connection, or its sending on it: at most
// hangupInterval before it did, unless this program was held up. It returns the zero time if it has not.
func (c *RelayedConn) CallerEndedAt() time.Time {
	ended := c.CallerEnded()
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended && c.endedAt.IsZero() {
		c.endedAt = sharedHangups().lastLook()
	}
	return c.endedAt
}

// setCallerEnded records the end of the caller's sending, the first time that it is called.
func (c *RelayedConn) setCallerEnded(notBefore time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedAt.IsZero() {
		c.endedAt = notBefore
	}
}

// WhenForwarded calls f once size bytes of the response were written to the caller. It is not called if the
// connection ends before.
func (c *RelayedConn) WhenForwarded(size int, f func()) {
	c.mu.Lock()
	if c.forwarded < size {
		c.waiting = append(c.waiting, forwardWait{size, f})
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	f()
}

// Forwarded returns the number of bytes of the response that were written to the caller.
func (c *RelayedConn) Forwarded() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.forwarded
}

func (c *RelayedConn) reset() {
	c.endOnce.Do(func() { close(c.ended) })
	c.setCallerEnded(sharedHangups().lastLook())
	abort(c.caller)
	c.mu.Lock()
	target := c.target
	c.mu.Unlock()
	if target != nil {
		abort(target)
	}
}

func (c *RelayedConn) run() {
	defer c.remove()
	reader, err := newArrivalReader(c.caller)
	if err != nil {
		abort(c.caller)
		return
	}
	c.reader = reader
	stopWatch, err := sharedHangups().watch(c.caller, c.setCallerEnded)
	if err != nil { // the connection has ended
		c.reset()
		return
	}
	defer stopWatch()
	if !c.relay.awaitCutEnd() || !c.begin() || !c.dial() {
		c.reset()
		return
	}
	done := make(chan struct{}, 2)
	go func() { c.copyRequest(); done <- struct{}{} }()
	go func() { c.copyResponse(); done <- struct{}{} }()
	<-done
	<-done
	c.setCallerEnded(sharedHangups().lastLook())
	_ = c.caller.Close()
	_ = c.target.Close()
}

// lookupGrace is how long a connection can be looked up after its end: its target may read its last bytes only then.
const lookupGrace = 5 * time.Second

func (c *RelayedConn) remove() {
	c.relay.mu.Lock()
	delete(c.relay.conns, c)
	c.relay.mu.Unlock()
	time.AfterFunc(lookupGrace, func() {
		c.relay.mu.Lock()
		defer c.relay.mu.Unlock()
		removeAddress(c.relay.byCaller, c.callerAddr, c)
		removeAddress(c.relay.byTargetPeer, c.targetPeerAddr, c)
	})
}

// removeAddress removes a connection from a map by address, unless a newer one has the address.
func removeAddress(conns map[string]*RelayedConn, addr string, ended *RelayedConn) {
	if conns[addr] == ended {
		delete(conns, addr)
	}
}

// begin plays the faults that come before the target is called. It returns false if the connection has ended.
func (c *RelayedConn) begin() bool {
	switch c.plan.fault {
	case RelayRefused:
		return false
	case RelayUnread:
		c.relay.sleep(c.plan.delay / 10)
		_ = c.caller.Close()
		return false
	case RelayNeverRead:
		c.hold()
		return false
	case RelayStopped:
		c.relay.sleep(c.plan.delay)
	}
	return true
}

// hold keeps the connection open until it ends, for at most relayHold.
func (c *RelayedConn) hold() {
	select {
	case <-c.ended:
	case <-c.relay.closed:
	case <-time.After(relayHold):
	}
}

func (c *RelayedConn) dial() bool {
	c.relay.mu.Lock()
	addr := c.relay.target
	c.relay.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	target, _ := conn.(*net.TCPConn)
	c.mu.Lock()
	c.target = target
	c.mu.Unlock()
	c.relay.mu.Lock()
	c.targetPeerAddr = target.LocalAddr().String()
	c.relay.byTargetPeer[c.targetPeerAddr] = c
	c.relay.mu.Unlock()
	return true
}

// relayBuffer is the size of a relay's reads, in bytes.
const relayBuffer = 16 << 10

// copyRequest forwards what the caller sends, under the fault of the connection.
func (c *RelayedConn) copyRequest() {
	buffer := make([]byte, relayBuffer)
	if c.plan.fault == RelayThrottled {
		buffer = buffer[:throttledChunk]
	}
	read := 0
	for {
		size, at, err := c.reader.read(buffer)
		if err != nil {
			c.endRequest(err)
			return
		}
		c.arrived(at)
		if c.plan.fault == RelayLateRequest && read == 0 {
			c.relay.sleep(c.plan.delay)
		}
		if !c.relay.awaitCutEnd() || !c.forwardRequest(buffer[:size], read) {
			return
		}
		if read += size; c.plan.fault == RelayThrottled {
			c.relay.sleep(throttleInterval)
		}
	}
}

// endRequest passes on the end of what the caller sends.
func (c *RelayedConn) endRequest(err error) {
	if !c.relay.awaitCutEnd() || !errors.Is(err, io.EOF) {
		c.reset()
		return
	}
	_ = c.target.CloseWrite()
}

// arrived records that bytes arrived at a time; zero: before the kernel gave times, which is about that of the accept.
func (c *RelayedConn) arrived(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.IsZero() {
		at = c.acceptedAt
	}
	if c.first.IsZero() {
		c.first = at
	}
	c.last = at
}

// forwardRequest writes bytes to the target; before is the number of those read before. It returns false if the
// connection has ended.
func (c *RelayedConn) forwardRequest(data []byte, before int) bool {
	within := data[:min(len(data), max(0, c.plan.middle-before))]
	switch c.plan.fault {
	case RelaySwallowed:
		return true
	case RelaySilentInRequest:
		_, err := c.target.Write(within)
		return err == nil
	case RelayResetInRequest:
		_, _ = c.target.Write(within)
		c.reset()
		return false
	case RelayResetBehind:
		_, _ = c.target.Write(data)
		c.relay.sleep(c.plan.delay / 10)
		c.reset()
		return false
	case RelaySingleBytes:
		return writeSingleBytes(data, func(part []byte) bool {
			_, err := c.target.Write(part)
			return err == nil
		})
	}
	_, err := c.target.Write(data)
	return err == nil
}

// singleByteLimit is the number of bytes of a write that arrive one by one; the rest arrives at once.
const singleByteLimit = 64

// singleByteInterval is the interval between two of them.
const singleByteInterval = 200 * time.Microsecond

func writeSingleBytes(data []byte, write func([]byte) (ok bool)) (ok bool) {
	single := min(len(data), singleByteLimit)
	for i := range single {
		if !write(data[i : i+1]) {
			return false
		}
		time.Sleep(singleByteInterval)
	}
	return single == len(data) || write(data[single:])
}

// copyResponse forwards what the target sends, under the fault of the connection.
func (c *RelayedConn) copyResponse() {
	buffer := make([]byte, relayBuffer)
	read := 0
	for {
		size, err := c.target.Read(buffer)
		if size > 0 {
			if c.plan.fault == RelayLateResponse && read == 0 {
				c.relay.sleep(c.plan.delay)
			}
			if !c.relay.awaitCutEnd() || !c.forwardResponse(buffer[:size], read) {
				return
			}
			read += size
		}
		if err != nil {
			c.endResponse(err)
			return
		}
	}
}

// endResponse passes on the end of what the target sends, unless the connection is silent.
func (c *RelayedConn) endResponse(err error) {
	switch c.plan.fault {
	case RelaySwallowed, RelaySilent, RelaySilentInRequest, RelaySilentInResponse:
		c.hold()
	}
	if !c.relay.awaitCutEnd() || !errors.Is(err, io.EOF) {
		c.reset()
		return
	}
	_ = c.caller.CloseWrite()
}

// forwardResponse writes bytes to the caller. It returns false if the connection has ended.
func (c *RelayedConn) forwardResponse(data []byte, before int) bool {
	within := data[:min(len(data), max(0, c.plan.middle-before))]
	switch c.plan.fault {
	case RelaySilent:
		return true
	case RelaySilentInResponse:
		return c.writeCaller(within)
	case RelayResetInResponse:
		c.writeCaller(within)
		c.reset()
		return false
	case RelayResponseHalfClosed:
		c.writeCaller(within)
		_ = c.caller.CloseWrite()
		return false
	case RelaySingleBytes:
		return writeSingleBytes(data, c.writeCaller)
	}
	return c.writeCaller(data)
}

func (c *RelayedConn) writeCaller(data []byte) bool {
	size, err := c.caller.Write(data)
	c.countForwarded(size)
	return err == nil
}

func (c *RelayedConn) countForwarded(size int) {
	c.mu.Lock()
	c.forwarded += size
	var due []func()
	kept := c.waiting[:0]
	for _, wait := range c.waiting {
		if c.forwarded >= wait.size {
			due = append(due, wait.call)
		} else {
			kept = append(kept, wait)
		}
	}
	c.waiting = kept
	c.mu.Unlock()
	for _, call := range due {
		call()
	}
}
