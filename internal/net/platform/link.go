// Package platform speaks the platform's protocol: RESP2 clients, HTTP/1.1 endpoints, the watch on
// the registry's agent, and the notices of final answers.
//
// All its types belong to the reactor's goroutine: their methods are called there, unless a method
// says otherwise.
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
	// errAborted ends a request that timed out or that its owner no longer wants.
	errAborted = errors.New("platform: given up")

	// errStalled ends a response that began and was not complete in time.
	errStalled = errors.New("platform: half an answer")

	// errNotAdmitted ends a request that may no longer be sent. If nothing of it was, its
	// connection stays usable.
	errNotAdmitted = errors.New("platform: not admitted")

	// errUnread puts a request off: data that has arrived and was not read yet may forbid it.
	errUnread = errors.New("platform: something is unread")
)

// responseTimeout is how long a response may take from its first byte to its last.
const responseTimeout = 500 * time.Millisecond

// The limits of an unfinished response, in bytes. There is a link to an endpoint for each call in
// flight, so an endpoint's responses are kept small; the agent's hold whole endpoint lists.
const (
	maxEndpointResponse = 256 << 10
	maxAgentResponse    = http1.MaxBody + 64<<10
)

const (
	unreadRetryGap = time.Millisecond      // until a request that was put off is admitted again
	sentCheckGap   = 20 * time.Millisecond // between checks whether a request was sent whole
)

// link is one HTTP/1.1 connection, to an endpoint or to the registry's agent, with at most one
// request on it.
type link struct {
	conntable.Entry
	conn      *reactor.Conn
	addr      string
	connected bool

	// The request.
	request        [][]byte     // until it is written
	requestStarted bool         // the last request was handed to the connection
	admit          func() error // nil, errUnread or errNotAdmitted; without it all requests are admitted
	sendTimer      timers.Timer // until the request is admitted, and then until it is sent whole
	onSent         func()       // called once, when the request's last byte has left; may be nil

	// The response.
	onResponse    func(*http1.Response, error) // has a response with an error, too, for its status
	buffer        partial.Buffer               // the bytes of an incomplete response
	maxResponse   int                          // bytes
	responseTimer timers.Timer                 // runs while a response is incomplete
	lastResponse  time.Duration                // when the last one was complete, in the loop's time
	trailingData  bool                         // more bytes came behind that one

	// Between requests.
	idleTimer  timers.Timer
	onReusable func() // the response is complete and the connection may be used again
	onClosed   func() // the connection has ended
}

// dial opens a link whose responses have at most maxResponse bytes.
func dial(eventLoop *reactor.Reactor, addr string, timeout time.Duration, maxResponse int) *link {
	l := &link{maxResponse: maxResponse, addr: addr}
	l.open(eventLoop, timeout)
	return l
}

func (l *link) open(eventLoop *reactor.Reactor, timeout time.Duration) {
	l.conn = eventLoop.Dial(l.addr, timeout, l)
}

// Evict closes a link that was removed from its table; only idle ones are.
func (l *link) Evict(conntable.Reason) { l.conn.Close() }

// MarkArrived marks what the peer has sent until now.
func (l *link) MarkArrived() (known bool) { return l.conn.MarkArrived() }

// MarkHandled tells whether all before the mark was handled.
func (l *link) MarkHandled() bool { return l.conn.MarkHandled() }

// send writes a request once the connection is up and the request is admitted. onResponse is called
// once, with the response or an error.
func (l *link) send(onResponse func(*http1.Response, error), pieces ...[]byte) {
	l.onResponse, l.request, l.requestStarted = onResponse, pieces, false
	if l.connected {
		l.start()
	}
}

// start writes the pending request if it is admitted. Admission is asked for here, just before the
// write, and not earlier.
func (l *link) start() {
	if l.onResponse == nil || l.conn.IsClosing() {
		return
	}
	if l.admit != nil {
		err := l.admit()
		if errors.Is(err, errUnread) {
			l.loop().Arm(&l.sendTimer, unreadRetryGap, 0, timers.Func(l.start))
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

// checkSent calls onSent once the request was sent whole. Until then the request does not count,
// and it is cut off if it is no longer admitted.
func (l *link) checkSent() {
	switch {
	case l.sent():
		l.notifySent()
	case l.onResponse == nil || l.conn.IsClosing():
	case l.admit != nil && errors.Is(l.admit(), errNotAdmitted):
		l.fail(errNotAdmitted)
	default:
		l.loop().Arm(&l.sendTimer, sentCheckGap, 0, timers.Func(l.checkSent))
	}
}

func (l *link) notifySent() {
	if onSent := l.onSent; onSent != nil {
		l.onSent = nil
		onSent()
	}
}

// sent tells whether the request's last byte has left.
func (l *link) sent() bool { return l.requestStarted && l.conn.Sent(l.conn.StreamOffset()) }

// abort closes the link and ends the request on it, if there is one.
func (l *link) abort() { l.fail(errAborted) }

// fail closes the link and ends the request on it, if there is one, with what arrived of its
// response.
func (l *link) fail(err error) {
	l.conn.Close()
	var response http1.Response
	if l.buffer.Len() > 0 {
		_, _ = response.Parse(l.buffer.Bytes(), true) // for its status and headers
	}
	l.finish(&response, err)
}

// Up writes the request that waits for the connection.
func (l *link) Up(*reactor.Conn) {
	l.connected = true
	l.start()
}

// Data parses a response. Data without a request on the link belongs to none: the link is closed.
// So it is for data that comes before the request was sent whole; that may still be a refusal with
// a Retry-After.
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

// parse ends the request if the data holds its whole response, and keeps the data otherwise.
func (l *link) parse(data []byte, ended bool) {
	var response http1.Response
	size, err := response.Parse(data, ended)
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
	l.buffer.Reset() // not before: the response is part of it
	if !closing && !l.conn.IsClosing() && l.onReusable != nil {
		l.onReusable()
	}
}

// Down ends the request on the link. A response whose body lasts until the connection's end is
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

// finish ends the request on the link, if there is one.
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
