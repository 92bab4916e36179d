package fleet

import (
	"errors"
	"math/rand"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Relay is a TCP relay to one target, each of whose connections may have a fault of its own. The whole relay can be cut
// off for a while: then nothing passes, and what was sent is delivered when the cut ends.
type Relay struct {
	ln      *net.TCPListener
	percent int
	faults  []RelayFault

	mu     sync.Mutex
	target string
	rng    *rand.Rand
	cut    chan struct{} // closed when the cut ends; nil: there is none
	conns  map[*RelayedConn]bool
	// The open connections, by the address of the caller and by the address from which the target sees them.
	byCaller, byTargetPeer map[string]*RelayedConn
	counts                 map[RelayFault]int
	closed                 chan struct{}
}

// RelayOptions are the parameters of NewRelay.
type RelayOptions struct {
	Target  string
	Seed    int64
	Percent int          // of the connections that have a fault
	Faults  []RelayFault // the faults to draw from
	Ports   *Ports       // it listens on one of them; nil: on an ephemeral port
	// SmallBuffers makes the relay advertise a small window to its callers.
	SmallBuffers bool
}

// smallBuffer is the size of a small receive buffer, in bytes; the kernel doubles it.
const smallBuffer = 4 << 10

// NewRelay starts a relay.
func NewRelay(options RelayOptions) (*Relay, error) {
	ln, err := options.Ports.Listen()
	if err != nil {
		return nil, err
	}
	err = stampArrivals(ln)
	if options.SmallBuffers {
		err = errors.Join(err, setSmallBuffer(ln))
	}
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	r := &Relay{
		ln: ln, percent: options.Percent, faults: options.Faults, target: options.Target,
		rng: rand.New(rand.NewSource(options.Seed)), conns: map[*RelayedConn]bool{},
		byCaller: map[string]*RelayedConn{}, byTargetPeer: map[string]*RelayedConn{},
		counts: map[RelayFault]int{}, closed: make(chan struct{}),
	}
	go r.accept()
	return r, nil
}

func setSmallBuffer(ln *net.TCPListener) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallBuffer)
	})
	return errors.Join(err, setErr)
}

// Addr returns the address to which callers connect.
func (r *Relay) Addr() string { return r.ln.Addr().String() }

// SetTarget changes the target of new connections.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Faults returns the number of connections with each fault so far.
func (r *Relay) Faults() map[RelayFault]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[RelayFault]int{}
	for fault, count := range r.counts {
		counts[fault] = count
	}
	return counts
}

// StopFaults makes new connections have no fault, and ends the current ones that have.
func (r *Relay) StopFaults() {
	r.Cut(false)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.percent = 0
	for conn := range r.conns {
		if conn.plan.fault != RelayFaultNone {
			conn.reset()
		}
	}
}

// Cut cuts the relay off, or ends the cut.
func (r *Relay) Cut(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case on && r.cut == nil:
		r.cut = make(chan struct{})
	case !on && r.cut != nil:
		close(r.cut)
		r.cut = nil
	}
}

// awaitCutEnd waits while the relay is cut off. It returns false if the relay is closed.
func (r *Relay) awaitCutEnd() bool {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut == nil {
		return true
	}
	select {
	case <-cut:
		return true
	case <-r.closed:
		return false
	}
}

// ByTargetPeer returns the open connection that the target sees from an address, or nil.
func (r *Relay) ByTargetPeer(addr string) *RelayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byTargetPeer[addr]
}

// ByCaller returns the open connection that the caller has opened from an address, or nil.
func (r *Relay) ByCaller(addr string) *RelayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byCaller[addr]
}

// IsCut reports whether the relay is cut off.
func (r *Relay) IsCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut != nil
}

// Close ends the relay and resets its connections.
func (r *Relay) Close() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.closed:
	default:
		close(r.closed)
	}
	for conn := range r.conns {
		conn.reset()
	}
}

func (r *Relay) accept() {
	for {
		caller, err := r.ln.AcceptTCP()
		if err != nil {
			return
		}
		r.mu.Lock()
		plan := drawRelayPlan(r.rng, r.percent, r.faults)
		r.counts[plan.fault]++
		conn := &RelayedConn{relay: r, plan: plan, caller: caller, ended: make(chan struct{})}
		conn.callerAddr, conn.acceptedAt = caller.RemoteAddr().String(), time.Now()
		r.conns[conn] = true
		r.byCaller[conn.callerAddr] = conn
		r.mu.Unlock()
		go conn.run()
	}
}

// sleep waits for a duration, or until the relay is closed.
func (r *Relay) sleep(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-r.closed:
	}
}
