// Package platform is the thin front for the platform's protocol: RESP2 clients, HTTP/1.1 endpoints,
// the registry's watch and the notices of ends.
package platform

import (
	"errors"
	"time"

	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
)

// errGivenUp ends a request that took too long, or that its owner no longer wants.
var errGivenUp = errors.New("platform: given up")

// link is one HTTP/1.1 connection to a peer, with one request on it at most. It is the near side of
// endpoints and of the registry's agent alike.
type link struct {
	conn *reactor.Conn
	buf  []byte
	most int
	up   bool
	used bool // a request has been written to it
	want func(*http1.Response, error)
	idle *time.Timer
	free func() // the answer has come and the connection may be used again
	gone func() // it has ended with no request on it
	out  [][]byte
}

// The most that may lie unread of one answer: an endpoint's says little, the agent's holds a list.
// There are as many links to endpoints as there are slots, so all of them stay far below the memory limit.
const (
	endpointMost = 256 << 10
	agentMost    = http1.MaxBody + 64<<10
)

// dial opens a link whose answers take most bytes at the most.
func dial(r *reactor.Reactor, addr string, limit time.Duration, most int) *link {
	l := &link{most: most}
	l.conn = r.Dial(addr, limit, l)
	return l
}

// do writes a request, at once or when the connection is up, and gives its answer to want.
func (l *link) do(want func(*http1.Response, error), pieces ...[]byte) {
	l.want = want
	if !l.up {
		l.out = pieces
		return
	}
	l.used = true
	if l.conn.Write(pieces...) != nil {
		l.conn.Close()
	}
}

// written tells whether the request's last byte has left.
func (l *link) written() bool { return l.used && l.conn.Sent(l.conn.Mark()) }

// drop gives up a request, if one is out, and closes.
func (l *link) drop() {
	l.conn.Close()
	l.finish(nil, errGivenUp)
}

// Up writes the request that waits for the connection.
func (l *link) Up(*reactor.Conn) {
	l.up = true
	if l.want != nil {
		out := l.out
		l.out = nil
		l.do(l.want, out...)
	}
}

// Data looks for a whole answer.
func (l *link) Data(c *reactor.Conn, b []byte) {
	if len(l.buf) > 0 {
		b = append(l.buf, b...)
	}
	l.buf = b
	if l.want == nil { // nobody asked
		c.Close()
		return
	}
	l.parse(false)
}

func (l *link) parse(ended bool) {
	var a http1.Response
	n, err := a.Parse(l.buf, ended)
	if err == nil && n == 0 && len(l.buf) > l.most {
		err = http1.ErrBody
	}
	if err != nil {
		l.conn.Close()
		l.finish(nil, err)
		return
	}
	if n == 0 {
		return
	}
	more := n < len(l.buf)
	l.buf = nil
	if a.Close || more {
		l.conn.Close()
	}
	l.finish(&a, nil)
	if !a.Close && !more && !l.conn.Dead() && l.free != nil {
		l.free()
	}
}

// Down ends what is out; an answer whose length is the connection's end is whole now.
func (l *link) Down(_ *reactor.Conn, err error) {
	if l.want != nil && len(l.buf) > 0 {
		l.parse(true)
	}
	l.finish(nil, err)
	if l.gone != nil {
		l.gone()
	}
}

func (l *link) finish(a *http1.Response, err error) {
	if want := l.want; want != nil {
		l.want, l.out = nil, nil
		want(a, err)
	}
}
