package soak

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"
)

// strayKind is a way in which a peer writes bytes that answer no request of the connection.
type strayKind uint8

const (
	strayNone           strayKind = iota
	strayCopyAtRequest            // the last answer again, with the first byte of the next request
	strayCopyLate                 // the last answer again, some time after it
	strayCopyAtOnce               // the last answer again, right behind it
	strayCopySplit                // a half of the last answer right behind it, the other half with the next request
	strayOtherAtRequest           // an answer that was never given to anybody, with the first byte of the next request
	strayOtherLate                // the same, some time after an answer
	strayInterim                  // interim answers before the answer, and one more behind it
	strayEarlierAnswer            // the answer before the last one, some time after the last one: out of turn
	strayKindCount
)

// The delay of a late stray after the answer before it.
const (
	minStrayDelay = 12 * time.Millisecond
	maxStrayDelay = 90 * time.Millisecond
)

// strayShare is the share of answers that are followed by stray bytes: one in strayShare.
const strayShare = 8

const interimAnswers = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"

// strayAnswers are answers that nobody asked for, by an endpoint or by the agent.
var strayAnswers = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 429 Wait\r\nX-Backoff-Ms: 50\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 504 Used Up\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"seq\":1,\"whole\":false,\"hosts\":[]}\r\n",
}

// strayPlan decides which answers are followed by stray bytes. It is safe for concurrent use.
type strayPlan struct {
	judge *Judge
	peer  string

	mu    sync.Mutex
	rng   *rand.Rand
	kinds []strayKind // the kinds to draw from
}

// allStrays returns every kind of stray answer.
func allStrays() (kinds []strayKind) {
	for kind := strayNone + 1; kind < strayKindCount; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

func newStrayPlan(judge *Judge, peer string, seed int64, kinds []strayKind) *strayPlan {
	return &strayPlan{judge: judge, peer: peer, rng: rand.New(rand.NewSource(seed)), kinds: kinds}
}

// draw returns what follows the next answer: its kind, its delay if it is late, and an answer for nobody.
func (p *strayPlan) draw() (kind strayKind, delay time.Duration, other string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := p.rng.Intn(len(p.kinds) * strayShare)
	delay = minStrayDelay + time.Duration(p.rng.Int63n(int64(maxStrayDelay-minStrayDelay)))
	other = strayAnswers[p.rng.Intn(len(strayAnswers))]
	if chosen >= len(p.kinds) {
		return strayNone, delay, other
	}
	return p.kinds[chosen], delay, other
}

// listen returns a listener whose connections carry stray answers by the plan; a nil plan changes nothing.
func (p *strayPlan) listen(ln net.Listener) net.Listener {
	if p == nil {
		return ln
	}
	return &strayListener{Listener: ln, plan: p}
}

type strayListener struct {
	net.Listener
	plan   *strayPlan
	mu     sync.Mutex
	opened int
}

// Accept returns the next connection.
func (l *strayListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	return &strayConn{Conn: conn, plan: l.plan, number: l.opened}, nil
}

// strayConn is the peer's side of a connection. What is written between two requests counts as one answer.
type strayConn struct {
	net.Conn
	plan   *strayPlan
	number int // of the connection at its peer

	mu        sync.Mutex
	answer    []byte // written since the last request
	earlier   []byte // the answer before that
	atRequest []byte // stray bytes that are due with the next request
}

// Read reads a request, or a part of it, and writes the stray bytes that are due with its first byte.
func (c *strayConn) Read(data []byte) (int, error) {
	size, err := c.Conn.Read(data)
	if size == 0 {
		return size, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer) > 0 {
		c.earlier, c.answer = c.answer, nil
	}
	if len(c.atRequest) > 0 {
		c.writeStray(c.atRequest)
		c.atRequest = nil
	}
	return size, err
}

// Write writes an answer, or a part of it, with the stray bytes that the plan adds.
func (c *strayConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kind, delay, other := strayNone, time.Duration(0), ""
	if len(c.answer) == 0 {
		kind, delay, other = c.plan.draw()
	}
	if kind == strayInterim {
		_, _ = c.Conn.Write([]byte(interimAnswers))
	}
	size, err := c.Conn.Write(data)
	c.answer = append(c.answer, data[:size]...)
	if err == nil {
		c.follow(kind, delay, other)
	}
	return size, err
}

// follow writes or schedules the stray bytes behind an answer. The caller must hold mu.
func (c *strayConn) follow(kind strayKind, delay time.Duration, other string) {
	answer := append([]byte(nil), c.answer...)
	switch kind {
	case strayCopyAtRequest:
		c.atRequest = answer
	case strayCopyLate:
		c.writeAfter(delay, answer)
	case strayCopyAtOnce:
		c.writeStray(answer)
	case strayCopySplit:
		c.writeStray(answer[:len(answer)/2])
		c.atRequest = answer[len(answer)/2:]
	case strayOtherAtRequest:
		c.atRequest = []byte(other)
	case strayOtherLate:
		c.writeAfter(delay, []byte(other))
	case strayInterim:
		c.writeStray([]byte(interimAnswers))
	case strayEarlierAnswer:
		c.writeAfter(delay, append([]byte(nil), c.earlier...))
	}
}

func (c *strayConn) writeAfter(delay time.Duration, stray []byte) {
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeStray(stray)
	})
}

// writeStray writes stray bytes and records them with the judge, unless the connection has ended. The caller must
// hold mu.
func (c *strayConn) writeStray(stray []byte) {
	if len(stray) == 0 {
		return
	}
	if _, err := c.Conn.Write(stray); err == nil {
		c.plan.judge.recordStray(c.name(), statusOf(string(stray)))
	}
}

// name names the connection in reports.
func (c *strayConn) name() string { return fmt.Sprintf("%s/%d", c.plan.peer, c.number) }
