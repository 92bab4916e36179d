// Package fleet runs several processes of the program and injects faults into them: each process reaches
// each other one over a relay of its own, processes are killed, suspended and resumed by pid, folders are
// emptied, restored and corrupted, and all events are recorded in one timeline. Everything runs on loopback
// and needs no privileges. Faults come from a plan, which can be drawn from a seed.
package fleet

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkConditions are the impairments of a link in one direction. The zero value has none.
type LinkConditions struct {
	// Stream data is kept back until the cut ends, a datagram is lost.
	Cut   bool          `json:"cut,omitempty"`
	Delay time.Duration `json:"delay,omitempty"` // of stream data and datagrams
	// Maximum random delay on top of Delay. Datagrams may be reordered, a stream keeps its order.
	Jitter    time.Duration `json:"jitter,omitempty"`
	BytesPerS int           `json:"bytes_per_s,omitempty"` // of streams; 0: unlimited
	Drop      float64       `json:"drop,omitempty"`        // share of datagrams lost
	// Share of datagrams that arrive twice, the copy DuplicateDelay later.
	Duplicate      float64       `json:"double,omitempty"`
	DuplicateDelay time.Duration `json:"double_by,omitempty"`
}

// Link is a relay for TCP and UDP: a process that connects to Addr reaches the target under the link's conditions.
// A link serves one member as the caller and one as the target; outbound applies to what the caller sends, inbound
// to what it receives.
type Link struct {
	target string
	ln     *net.TCPListener
	udp    *net.UDPConn

	mu                sync.Mutex
	rng               *rand.Rand
	outbound, inbound LinkConditions
	changed           chan struct{} // closed when the conditions change
	conns             map[net.Conn]bool
	peers             map[string]*net.UDPConn // by the caller's address
	closed            bool

	bytes atomic.Int64
}

// Bytes returns the number of stream bytes that the link has forwarded, both ways.
func (l *Link) Bytes() int64 { return l.bytes.Load() }

// maxBuffered is the maximum number of bytes that a link buffers of one stream before it stops reading.
const maxBuffered = 256 << 10

// NewLink listens for TCP and UDP on one free port of 127.0.0.1. The seed determines all random choices.
func NewLink(target string, seed int64) (*Link, error) {
	for try := 0; ; try++ {
		ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, fmt.Errorf("fleet: link: %w", err)
		}
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: ln.Addr().(*net.TCPAddr).Port})
		if err != nil { // another process uses the UDP port
			_ = ln.Close()
			if try < 20 {
				continue
			}
			return nil, fmt.Errorf("fleet: link: %w", err)
		}
		l := &Link{
			target: target, ln: ln, udp: udp, rng: rand.New(rand.NewSource(seed)), changed: make(chan struct{}),
			conns: map[net.Conn]bool{}, peers: map[string]*net.UDPConn{},
		}
		go l.acceptStreams()
		go l.relayDatagrams()
		return l, nil
	}
}

// Addr returns the address to which the caller connects.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set changes the conditions from now on. Streams continue when a cut ends.
func (l *Link) Set(outbound, inbound LinkConditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outbound, l.inbound = outbound, inbound
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open streams, towards both sides.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		abort(conn)
	}
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close stops the link and resets all its streams.
func (l *Link) Close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.changed)
	l.changed = make(chan struct{})
	for _, socket := range l.peers {
		_ = socket.Close()
	}
	l.mu.Unlock()
	_ = l.ln.Close()
	_ = l.udp.Close()
	l.Reset()
}

// conditions returns the current conditions of one direction, and a channel that is closed at their next change.
func (l *Link) conditions(inbound bool) (current LinkConditions, changed <-chan struct{}, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current = l.outbound; inbound {
		current = l.inbound
	}
	return current, l.changed, l.closed
}

// drawDelay draws the delay of a chunk or of a datagram.
func (l *Link) drawDelay(conditions LinkConditions) time.Duration {
	if conditions.Jitter <= 0 {
		return conditions.Delay
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return conditions.Delay + time.Duration(l.rng.Int63n(int64(conditions.Jitter)))
}

// drawShare draws a number in [0, 1).
func (l *Link) drawShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// register adds a connection. It aborts it and returns false if the link is closed.
func (l *Link) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		abort(conn)
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Link) remove(conn net.Conn) {
	abort(conn)
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

func (l *Link) acceptStreams() {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.register(conn) {
			go l.relayStream(conn)
		}
	}
}

// relayStream relays one stream until either side closes it. It resets the stream if the target refuses.
func (l *Link) relayStream(caller net.Conn) {
	defer l.remove(caller)
	server, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil || !l.register(server) {
		return
	}
	defer l.remove(server)
	done := make(chan struct{}, 2)
	go func() { l.copyStream(caller, server, false); done <- struct{}{} }()
	go func() { l.copyStream(server, caller, true); done <- struct{}{} }()
	<-done
}

// chunk is the data of one read and the time at which it may be forwarded.
type chunk struct {
	due  time.Time
	data []byte
}

// copyStream forwards one direction until the source ends it. Data read before that is still forwarded.
func (l *Link) copyStream(from, to net.Conn, inbound bool) {
	queue := make(chan chunk, maxBuffered/(16<<10))
	stopped := make(chan struct{})
	defer close(stopped)
	go func() {
		defer close(queue)
		buf := make([]byte, 16<<10)
		var last time.Time
		for {
			n, err := from.Read(buf)
			current, _, _ := l.conditions(inbound)
			due := time.Now().Add(l.drawDelay(current))
			if due.Before(last) {
				due = last // a stream keeps its order
			}
			last = due
			if n > 0 {
				select {
				case queue <- chunk{due, append([]byte(nil), buf[:n]...)}:
				case <-stopped:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range queue {
		if !l.waitDue(next, inbound) {
			return
		}
		l.bytes.Add(int64(len(next.data)))
		if _, err := to.Write(next.data); err != nil {
			return
		}
	}
}

// waitDue waits until a chunk may be forwarded. It returns false if the link is closed.
func (l *Link) waitDue(next chunk, inbound bool) bool {
	due := next.due
	if current, _, _ := l.conditions(inbound); current.BytesPerS > 0 {
		due = due.Add(time.Duration(len(next.data)) * time.Second / time.Duration(current.BytesPerS))
	}
	for {
		current, changed, closed := l.conditions(inbound)
		if closed {
			return false
		}
		wait := time.Until(due)
		if !current.Cut && wait <= 0 {
			return true
		}
		var timer <-chan time.Time
		if !current.Cut {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-changed:
		}
	}
}

// relayDatagrams forwards the datagrams of all callers. Each caller has a socket of its own towards the target, so
// that replies find their way back.
func (l *Link) relayDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, caller, err := l.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		socket := l.peerSocket(caller)
		if socket == nil {
			continue
		}
		l.forward(append([]byte(nil), buf[:n]...), false, func(b []byte) { _, _ = socket.Write(b) })
	}
}

// maxPeers is the maximum number of callers per link; datagrams of further ones are dropped.
const maxPeers = 256

// peerSocket returns the caller's socket towards the target, and opens it for a new caller. It returns nil if
// there are too many callers or the link is closed.
func (l *Link) peerSocket(caller *net.UDPAddr) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if socket := l.peers[caller.String()]; socket != nil || l.closed || len(l.peers) >= maxPeers {
		return socket
	}
	addr, err := net.ResolveUDPAddr("udp4", l.target)
	if err != nil {
		return nil
	}
	socket, err := net.DialUDP("udp4", nil, addr)
	if err != nil {
		return nil
	}
	l.peers[caller.String()] = socket
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := socket.Read(buf)
			if err != nil {
				if _, _, closed := l.conditions(true); closed {
					return
				}
				time.Sleep(time.Millisecond) // the target is not listening at present
				continue
			}
			l.forward(append([]byte(nil), buf[:n]...), true, func(b []byte) { _, _ = l.udp.WriteToUDP(b, caller) })
		}
	}()
	return socket
}

// forward forwards one datagram under the conditions at the time of the call.
func (l *Link) forward(datagram []byte, inbound bool, arrive func([]byte)) {
	current, _, closed := l.conditions(inbound)
	if closed || current.Cut || current.Drop > 0 && l.drawShare() < current.Drop {
		return
	}
	deliver := func(after time.Duration) {
		if after <= 0 {
			arrive(datagram)
			return
		}
		time.AfterFunc(after, func() { arrive(datagram) })
	}
	if current.Duplicate > 0 && l.drawShare() < current.Duplicate {
		deliver(l.drawDelay(current) + current.DuplicateDelay)
	}
	deliver(l.drawDelay(current))
}
