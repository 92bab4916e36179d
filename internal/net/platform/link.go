// Package platform implements the platform's protocol: RESP2 clients, HTTP/1.1 endpoints, the watch on
// the registry's agent, and the notices of final answers.
//
// All its types belong to the reactor's goroutine: their methods are called there, unless their
// documentation allows other goroutines.
package platform

import (
	"errors"
	"time"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/partial"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
)

var (
	// errAborted ends a request that timed out or was canceled.
	errAborted = errors.New("platform: request aborted")

	// errStalled ends a request whose response began and was not complete within responseTimeout.
	errStalled = errors.New("platform: response was not complete in time")

	// errNotAdmitted ends a request that may no longer be sent. If no byte of it was written, its
	// connection stays usable.
	errNotAdmitted = errors.New("platform: request may no longer be sent")

	// errUnread delays a request: data that has arrived and was not read yet may forbid it.
	errUnread = errors.New("platform: unread data may forbid the request")
)

// responseTimeout limits the time from a response's first byte to its last.
const responseTimeout = 500 * time.Millisecond

// The limits of an incomplete response, in bytes. Each call in flight has a link to an endpoint, so the
// limit of an endpoint's response is small; the agent's responses contain whole endpoint lists.
const (
	maxEndpointResponse = 256 << 10
	maxAgentResponse    = http1.MaxBody + 64<<10
)

const (
	unreadRetryInterval = time.Millisecond      // until admission of a delayed request is checked again
	sentCheckInterval   = 20 * time.Millisecond // between checks whether a request was completely sent
)

// link is one HTTP/1.1 connection, to an endpoint or to the registry's agent, with at most one request
// at a time.
type link struct {
	conntable.Entry
	conn      *reactor.Conn
	addr      string
	connected bool

	// The state of the request.
	request        [][]byte     // the pieces of the pending request; nil once they were written
	requestStarted bool         // the last request was written to the connection, at least in part
	admit          func() error // returns nil, errUnread or errNotAdmitted; if it is nil, all requests are admitted
	sendTimer      timers.Timer // runs until the request is admitted, and then until it is completely sent
	onSent         func()       // called once the request's last byte was sent; may be nil

	// The state of the response.
	onResponse    func(*http1.Response, error) // also with an error the response is set, for its status and headers
	buffer        partial.Buffer               // an incomplete response
	maxResponse   int                          // bytes
	responseTimer timers.Timer                 // runs while a response is incomplete
	lastResponse  time.Duration                // when the last response was complete, in the loop's time
	trailingData  bool                         // more bytes followed the last response

	// The state between requests.
	idleTimer  timers.Timer
	onReusable func() // called when the response is complete and the connection may be reused
	onClosed   func() // called when the connection has ended
}

// dial opens a link with a limit of maxResponse bytes for an incomplete response.
func dial(eventLoop *reactor.Reactor, addr string, timeout time.Duration, maxResponse int) *link {
	l := &link{maxResponse: maxResponse, addr: addr}
	l.open(eventLoop, timeout)
	return l
}

// open starts to connect.
func (l *link) open(eventLoop *reactor.Reactor, timeout time.Duration) {
	l.conn = eventLoop.Dial(l.addr, timeout, l)
}

// Evict closes a link that was removed from its table, which happens only to idle links.
func (l *link) Evict(conntable.Reason) { l.conn.Close() }

// MarkArrived marks the end of the data that has arrived from the peer.
func (l *link) MarkArrived() (known bool) { return l.conn.MarkArrived() }

// MarkHandled reports whether all data before the mark was handled.
func (l *link) MarkHandled() bool { return l.conn.MarkHandled() }

// send writes a request once the connection is established and the request is admitted. onResponse is
// called once, with the response or an error.
func (l *link) send(onResponse func(*http1.Response, error), pieces ...[]byte) {
	l.onResponse, l.request, l.requestStarted = onResponse, pieces, false
	if l.connected {
		l.writeRequest()
	}
}

// writeRequest writes the pending request if it is admitted. Admission is checked just before the write
// and not earlier, since it may be withdrawn while the connection is being established.
func (l *link) writeRequest() {
	if l.onResponse == nil || l.conn.IsClosing() {
		return
	}
	if l.admit != nil {
		err := l.admit()
		if errors.Is(err, errUnread) {
			l.loop().Arm(&l.sendTimer, unreadRetryInterval, 0, timers.Func(l.writeRequest))
			return
		}
		if err != nil {
			l.finish(&http1.Response{}, err)
			if l.onReusable != nil {
				l.onReusable()
			}
			return
		}
	}
	pieces := l.request
	l.request, l.requestStarted = nil, true
	if l.conn.Write(pieces...) != nil {
		l.conn.Close()
	}
	l.checkSent()
}

// checkSent calls onSent once the request was completely sent. Until then the request does not count as
// an attempt, and it is aborted if it is no longer admitted.
func (l *link) checkSent() {
	switch {
	case l.sent():
		l.notifySent()
	case l.onResponse == nil || l.conn.IsClosing():
	case l.admit != nil && errors.Is(l.admit(), errNotAdmitted):
		l.fail(errNotAdmitted)
	default:
		l.loop().Arm(&l.sendTimer, sentCheckInterval, 0, timers.Func(l.checkSent))
	}
}

// notifySent calls onSent unless that was done before.
func (l *link) notifySent() {
	if onSent := l.onSent; onSent != nil {
		l.onSent = nil
		onSent()
	}
}

// sent reports whether the request's last byte was sent.
func (l *link) sent() bool { return l.requestStarted && l.conn.Sent(l.conn.StreamOffset()) }

// abort closes the link and ends its request, if any, with errAborted.
func (l *link) abort() { l.fail(errAborted) }

// fail closes the link and ends its request, if any, with err and the part of the response that has
// arrived.
func (l *link) fail(err error) {
	l.conn.Close()
	var response http1.Response
	if l.buffer.Len() > 0 {
		_, _ = response.Parse(l.buffer.Bytes(), true) // for its status and headers
	}
	l.finish(&response, err)
}

// Up writes the pending request.
func (l *link) Up(*reactor.Conn) {
	l.connected = true
	l.writeRequest()
}

// Data parses a response. The link is closed if data arrives without a request, or before the request
// was completely sent; in the second case the data may be a rejection with a Retry-After and is parsed
// for that.
func (l *link) Data(_ *reactor.Conn, data []byte) {
	if l.onResponse == nil || !l.sent() {
		l.buffer.Reset()
		if l.onResponse != nil {
			l.buffer.Store(data)
		}
		l.fail(http1.ErrHead)
		l.buffer.Reset()
		return
	}
	if !l.responseTimer.IsSet() {
		l.loop().Arm(&l.responseTimer, responseTimeout, 0, timers.Func(func() { l.fail(errStalled) }))
	}
	l.parse(l.buffer.Append(data), false)
}

func (l *link) loop() *loop.Loop { return l.conn.Loop() }

// parse ends the request if data contains its complete response, and buffers data otherwise. eof reports
// that no more data follows.
func (l *link) parse(data []byte, eof bool) {
	var response http1.Response
	size, err := response.Parse(data, eof)
	if err == nil && size == 0 && len(data) > l.maxResponse {
		err = http1.ErrBody
	}
	if err != nil || size == 0 {
		l.buffer.Store(data)
		if err != nil {
			l.fail(err)
		}
		return
	}
	l.trailingData = size < len(data)
	l.lastResponse = l.loop().Now()
	closing := response.Close || l.trailingData
	if closing {
		l.conn.Close()
	}
	l.finish(&response, nil)
	l.buffer.Reset() // only now, since response refers to it
	if !closing && !l.conn.IsClosing() && l.onReusable != nil {
		l.onReusable()
	}
}

// Down ends the link's request, if any. A response whose body is delimited by the connection's end is
// complete now.
func (l *link) Down(_ *reactor.Conn, err error) {
	if l.onResponse != nil && l.buffer.Len() > 0 {
		l.parse(l.buffer.Bytes(), true)
	}
	l.fail(err)
	l.buffer.Reset()
	l.Remove()
	if l.onClosed != nil {
		l.onClosed()
	}
}

// finish ends the link's request, if any.
func (l *link) finish(response *http1.Response, err error) {
	l.loop().Disarm(&l.responseTimer)
	l.loop().Disarm(&l.sendTimer)
	if l.onSent != nil {
		if l.sent() {
			l.onSent()
		}
		l.onSent = nil
	}
	if onResponse := l.onResponse; onResponse != nil {
		l.onResponse, l.request = nil, nil
		onResponse(response, err)
	}
}
