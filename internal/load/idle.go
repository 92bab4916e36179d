// Package load opens idle and active connections against a running sender and measures its latency,
// memory and processor time.
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

// Proto is a client's protocol.
type Proto string

// The protocols that idle and active clients speak.
const (
	RESP Proto = "resp"
	AMQP Proto = "amqp"
)

// idlePool is what idle clients share. Only the event loop uses it.
type idlePool struct {
	reactor *reactor.Reactor
	proto   Proto
	addr    string
	sources []string
	beat    time.Duration // asked of the sender on AMQP; 0: none
	ping    time.Duration // between two PINGs of an idle RESP client; 0: it says nothing after the first

	want       int // connections
	opening    int
	open       map[*idleClient]bool // handshake complete
	lost       int                  // connections that ended by themselves
	errors     map[string]int       // lost, by error
	sent       int                  // heartbeats and PINGs
	changed    func()
	atOnce     int
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
	reset        bool   // by this side
	lastError    string // the sender's last word, when it closes
}

// fill opens connections until there are as many as wanted, some at a time.
func (c *idlePool) fill() {
	for !c.closing && c.opening < c.atOnce && len(c.open)+c.opening < c.want {
		c.opening++
		m := &idleClient{pool: c}
		from := c.sources[c.nextSource%len(c.sources)]
		c.nextSource++
		m.conn = c.reactor.DialFrom(from, c.addr, 10*time.Second, m)
	}
}

// Up begins the protocol.
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

// opened counts the connection among the open ones, once its handshake is complete.
func (m *idleClient) opened() {
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
	gap := m.pool.ping
	if m.pool.proto == AMQP {
		gap = m.pool.beat / 2
	}
	if gap > 0 {
		m.pool.reactor.Arm(&m.timer, gap, timers.TickSlack, m)
	}
}

// Due sends a heartbeat or a PING, so that the sender does not close the connection as silent.
func (m *idleClient) Due(*timers.Timer) {
	m.pool.sent++
	if m.pool.proto == RESP {
		m.write([]byte("*1\r\n$4\r\nPING\r\n"))
	} else {
		m.write(amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil))
	}
	m.rearm()
}

// Data continues the handshake; what arrives after it is ignored.
func (m *idleClient) Data(_ *reactor.Conn, data []byte) {
	if m.pool.proto == RESP {
		if bytes.HasPrefix(data, []byte{'-'}) {
			m.lastError = string(bytes.TrimSpace(data))
		}
		if bytes.HasPrefix(data, []byte("+PONG")) {
			m.opened()
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
			if err := m.method(frame); err != nil {
				m.lastError = err.Error()
				m.conn.Close()
				m.partialInput.Reset()
				return
			}
		}
	}
}

func (m *idleClient) method(frame amqp.Frame) error {
	x, err := amqp.ParseMethod(frame.Payload)
	if err != nil {
		return fmt.Errorf("reading a method: %w", err)
	}
	switch x.Key {
	case amqp.ConnStart:
		m.write(amqp.AppendMethod(nil, 0, amqp.ConnStartOk, amqp.Table{"product": "brackendale load"}, "PLAIN",
			"\x00guest\x00guest", "en_US"))
	case amqp.ConnTune:
		out := amqp.AppendMethod(nil, 0, amqp.ConnTuneOk, int(x.Int(0)), int(x.Int(1)), int(m.pool.beat/time.Second))
		m.write(amqp.AppendMethod(out, 0, amqp.ConnOpen, "/", "", false))
	case amqp.ConnOpenOk:
		m.write(amqp.AppendMethod(nil, 1, amqp.ChanOpen, ""))
	case amqp.ChanOpenOk:
		m.opened()
	case amqp.ConnClose:
		m.write(amqp.AppendMethod(nil, 0, amqp.ConnCloseOk))
		return fmt.Errorf("%d %s", x.Int(0), x.Str(1))
	}
	return nil
}

// Down counts the connection by how it ended.
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
	m.pool.reactor.After(20*time.Millisecond, m.pool.fill) // not at once: rejected connections must not spin
	m.pool.changed()
}

var errShort = errors.New("the sender did not take so many connections")

// idleClients is the pool as other goroutines use it: each method passes its work to the event loop.
type idleClients struct {
	*idlePool
	signal chan struct{}
}

func newIdle(react *reactor.Reactor, proto Proto, addr string, sources []string, beat, ping time.Duration,
	atOnce int,
) *idleClients {
	i := &idleClients{signal: make(chan struct{}, 1)}
	i.idlePool = &idlePool{
		reactor: react, proto: proto, addr: addr, sources: sources, beat: beat, ping: ping, open: map[*idleClient]bool{},
		errors: map[string]int{}, atOnce: atOnce, changed: func() {
			select {
			case i.signal <- struct{}{}:
			default:
			}
		},
	}
	return i
}

// Counts is the state of the idle connections.
type Counts struct {
	Open int // now
	Lost int // ended by themselves so far
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

// grow opens connections until there are want of them. It fails with errShort when limit passes without
// one more.
func (i *idleClients) grow(want int, limit time.Duration, progress func(int)) error {
	i.reactor.Post(func() { i.want = want; i.fill() })
	best, since := -1, time.Now()
	for {
		counts, byError := i.counts()
		progress(counts.Open)
		if counts.Open >= want {
			return nil
		}
		if counts.Open > best {
			best, since = counts.Open, time.Now()
		} else if time.Since(since) > limit {
			return fmt.Errorf("%w: %d of %d; %v", errShort, counts.Open, want, byError)
		}
		select {
		case <-i.signal:
		case <-time.After(100 * time.Millisecond):
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// resetHalf resets half of the connections at once; grow opens as many again.
func (i *idleClients) resetHalf() {
	done := make(chan bool)
	i.reactor.Post(func() {
		n := len(i.open) / 2
		i.want = len(i.open) - n
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

// pingAll makes every client send a heartbeat or a PING at once.
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
