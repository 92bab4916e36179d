// Package load opens idle and active connections to a running sender and measures its latency, memory and
// CPU time.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/net/partial"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
)

// Proto is the protocol that a client speaks to the sender.
type Proto string

// The protocols of idle and active clients.
const (
	RESP Proto = "resp"
	AMQP Proto = "amqp"
)

// idlePool is the state that idle clients share. Only the event loop uses it.
type idlePool struct {
	reactor      *reactor.Reactor
	proto        Proto
	addr         string
	sources      []string
	heartbeat    time.Duration // AMQP heartbeat interval requested from the sender; 0: no heartbeats
	pingInterval time.Duration // interval of PINGs of an idle RESP client; 0: only the first is sent

	target     int // connections
	opening    int
	open       map[*idleClient]bool // handshake complete
	lost       int                  // connections that ended unexpectedly
	errors     map[string]int       // lost connections by error
	sent       int                  // heartbeats and PINGs
	changed    func()
	maxOpening int
	nextSource int
	closing    bool
}

// idleClient is one idle connection. Only the event loop uses it.
type idleClient struct {
	pool         *idlePool
	conn         *reactor.Conn
	partialInput partial.Buffer
	timer        timers.Timer
	isOpen       bool
	closed       bool
	reset        bool   // reset by this side
	lastError    string // the error that the sender reported before it closed the connection
}

// fill opens connections until the target is reached, with at most maxOpening handshakes at a time.
func (c *idlePool) fill() {
	for !c.closing && c.opening < c.maxOpening && len(c.open)+c.opening < c.target {
		c.opening++
		m := &idleClient{pool: c}
		source := c.sources[c.nextSource%len(c.sources)]
		c.nextSource++
		m.conn = c.reactor.DialFrom(source, c.addr, 10*time.Second, m)
	}
}

// Up starts the protocol handshake.
func (m *idleClient) Up(*reactor.Conn) {
	if m.pool.proto == RESP {
		m.write([]byte("*1\r\n$4\r\nPING\r\n"))
		return
	}
	m.write([]byte(amqp.ProtocolHeader))
}

func (m *idleClient) write(b []byte) {
	if m.conn.Write(b) != nil {
		m.conn.Close()
	}
}

// markOpen counts the connection as open once its handshake is complete.
func (m *idleClient) markOpen() {
	if m.isOpen {
		return
	}
	m.isOpen = true
	m.pool.opening--
	m.pool.open[m] = true
	m.pool.fill()
	m.pool.changed()
	m.rearm()
}

func (m *idleClient) rearm() {
	interval := m.pool.pingInterval
	if m.pool.proto == AMQP {
		interval = m.pool.heartbeat / 2
	}
	if interval > 0 {
		m.pool.reactor.Arm(&m.timer, interval, timers.TickSlack, m)
	}
}

// Due sends a heartbeat or a PING, so that the sender does not close the connection as unresponsive.
func (m *idleClient) Due(*timers.Timer) {
	m.pool.sent++
	if m.pool.proto == RESP {
		m.write([]byte("*1\r\n$4\r\nPING\r\n"))
	} else {
		m.write(amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil))
	}
	m.rearm()
}

// Data continues the handshake and ignores input that arrives after it.
func (m *idleClient) Data(_ *reactor.Conn, data []byte) {
	if m.pool.proto == RESP {
		if bytes.HasPrefix(data, []byte{'-'}) {
			m.lastError = string(bytes.TrimSpace(data))
		}
		if bytes.HasPrefix(data, []byte("+PONG")) {
			m.markOpen()
		}
		return
	}
	data = m.partialInput.Append(data)
	for {
		frame, n, err := amqp.ParseFrame(data, amqp.FrameMax)
		if err != nil {
			m.lastError = err.Error()
			m.conn.Close()
			m.partialInput.Reset()
			return
		}
		if n == 0 {
			m.partialInput.Store(data)
			return
		}
		if data = data[n:]; frame.Kind == amqp.FrameMethod {
			if err := m.handleMethod(frame); err != nil {
				m.lastError = err.Error()
				m.conn.Close()
				m.partialInput.Reset()
				return
			}
		}
	}
}

func (m *idleClient) handleMethod(frame amqp.Frame) error {
	method, err := amqp.ParseMethod(frame.Payload)
	if err != nil {
		return fmt.Errorf("reading a method: %w", err)
	}
	switch method.Key {
	case amqp.ConnStart:
		m.write(amqp.AppendMethod(nil, 0, amqp.ConnStartOk, amqp.Table{"product": "brackendale load"}, "PLAIN",
			"\x00guest\x00guest", "en_US"))
	case amqp.ConnTune:
		out := amqp.AppendMethod(nil, 0, amqp.ConnTuneOk, int(method.Int(0)), int(method.Int(1)),
			int(m.pool.heartbeat/time.Second))
		m.write(amqp.AppendMethod(out, 0, amqp.ConnOpen, "/", "", false))
	case amqp.ConnOpenOk:
		m.write(amqp.AppendMethod(nil, 1, amqp.ChanOpen, ""))
	case amqp.ChanOpenOk:
		m.markOpen()
	case amqp.ConnClose:
		m.write(amqp.AppendMethod(nil, 0, amqp.ConnCloseOk))
		return fmt.Errorf("%d %s", method.Int(0), method.Str(1))
	}
	return nil
}

// Down removes the connection from the pool and counts it as lost unless resetHalf or close ended it.
func (m *idleClient) Down(_ *reactor.Conn, err error) {
	if m.closed {
		return
	}
	m.closed = true
	m.pool.reactor.Disarm(&m.timer)
	m.partialInput.Reset()
	if m.isOpen {
		delete(m.pool.open, m)
	} else {
		m.pool.opening--
	}
	if m.pool.closing || m.reset {
		m.pool.changed()
		return
	}
	m.pool.lost++
	if m.lastError == "" && err != nil {
		m.lastError = err.Error()
	}
	m.pool.errors[m.lastError]++
	m.pool.reactor.After(20*time.Millisecond, m.pool.fill) // delayed: rejections must not cause a busy loop
	m.pool.changed()
}

var errTooFewConnections = errors.New("the sender did not accept the requested number of connections")

// idleClients gives other goroutines access to the pool: each method posts its work to the event loop.
type idleClients struct {
	*idlePool
	signal chan struct{}
}

func newIdleClients(react *reactor.Reactor, proto Proto, addr string, sources []string,
	heartbeat, pingInterval time.Duration, maxOpening int,
) *idleClients {
	i := &idleClients{signal: make(chan struct{}, 1)}
	i.idlePool = &idlePool{
		reactor: react, proto: proto, addr: addr, sources: sources,
		heartbeat: heartbeat, pingInterval: pingInterval, open: map[*idleClient]bool{},
		errors: map[string]int{}, maxOpening: maxOpening, changed: func() {
			select {
			case i.signal <- struct{}{}:
			default:
			}
		},
	}
	return i
}

// Counts holds the counters of the idle connections.
type Counts struct {
	Open int // currently open
	Lost int // ended unexpectedly so far
	Sent int // heartbeats and PINGs so far
}

func (i *idleClients) counts() (counts Counts, byError map[string]int) {
	done := make(chan bool)
	i.reactor.Post(func() {
		counts = Counts{len(i.open), i.lost, i.sent}
		byError = maps.Clone(i.errors)
		close(done)
	})
	<-done
	return counts, byError
}

// grow opens connections until target of them are open. It fails with errTooFewConnections when stallTimeout
// passes without an additional one.
func (i *idleClients) grow(target int, stallTimeout time.Duration, progress func(int)) error {
	i.reactor.Post(func() { i.target = target; i.fill() })
	best, lastProgress := -1, time.Now()
	for {
		counts, byError := i.counts()
		progress(counts.Open)
		if counts.Open >= target {
			return nil
		}
		if counts.Open > best {
			best, lastProgress = counts.Open, time.Now()
		} else if time.Since(lastProgress) > stallTimeout {
			return fmt.Errorf("%w: %d of %d; %v", errTooFewConnections, counts.Open, target, byError)
		}
		select {
		case <-i.signal:
		case <-time.After(100 * time.Millisecond):
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// resetHalf resets half of the connections at the same time; grow then opens replacements.
func (i *idleClients) resetHalf() {
	done := make(chan bool)
	i.reactor.Post(func() {
		n := len(i.open) / 2
		i.target = len(i.open) - n
		for m := range i.open {
			if n--; n < 0 {
				break
			}
			m.reset = true
			m.conn.Reset()
		}
		close(done)
	})
	<-done
}

// pingAll makes every client send a heartbeat or a PING immediately.
func (i *idleClients) pingAll() {
	i.reactor.Post(func() {
		for m := range i.open {
			m.Due(nil)
		}
	})
}

func (i *idleClients) close() {
	i.reactor.Post(func() {
		i.closing = true
		for m := range i.open {
			m.conn.Close()
		}
	})
}
