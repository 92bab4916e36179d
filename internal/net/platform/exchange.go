// Package platform implements the platform's protocol: RESP2 clients, HTTP/1.1 endpoints, the watch on
// the registry's agent, and the notices of final answers.
//
// All its types belong to the reactor's goroutine: their methods are called there, unless their
// documentation allows other goroutines.
package platform

import (
	"errors"
	"time"

	"brackendale/internal/eventlog"
	"brackendale/internal/failpoint"
	"brackendale/internal/net/correlation"
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

	// errNotAdmitted ends a request that may no longer be sent.
	errNotAdmitted = errors.New("platform: request may no longer be sent")

	// errUnread delays a request: data that has arrived and was not read yet may forbid it.
	errUnread = errors.New("platform: unread data may forbid the request")
)

// responseTimeout limits the time from a response's first byte to its last.
const responseTimeout = 500 * time.Millisecond

// The limits of an incomplete response, in bytes. Each call in flight has a connection to an endpoint, so the
// limit of an endpoint's response is small; the agent's responses contain whole endpoint lists.
const (
	maxEndpointResponse = 256 << 10
	maxAgentResponse    = http1.MaxBody + 64<<10
)

const (
	unreadRetryInterval = time.Millisecond      // until admission of a delayed request is checked again
	sentCheckInterval   = 20 * time.Millisecond // between checks whether a request was completely sent
)

// exchange is one request and its response, on an HTTP/1.1 connection of its own, to an endpoint or to the registry's
// agent. Nothing in a response names its request, so the connection never carries another one: what the peer
// writes behind the response, or twice, meets a closed connection.
type exchange struct {
	conn        *reactor.Conn       // the connection of the request; before it is connected, one that is being established
	dials       []*dialedConnection // the connections that have not ended, conn among them
	backupTimer timers.Timer        // runs until a further connection is opened, if none is established by then
	connected   bool
	correlation correlation.Single
	events      *eventlog.Recorder // nil: no events are recorded
	discards    bool               // bytes that the peer has not taken are discarded when the connection ends
	place       string             // in the record of events
	endpoint    string             // its name; empty: the agent
	number      uint64             // of conn, in the record of events
	closeReason string             // why this side closes the connections; empty: it does not

	// The state of the request.
	request   [][]byte     // the pieces of the pending request; nil once they were written
	admit     func() error // returns nil, errUnread or errNotAdmitted; if it is nil, all requests are admitted
	sendTimer timers.Timer // runs until the request is admitted, and then until it is completely sent
	onWritten func()       // called once bytes of the request were written; may be nil
	onSent    func()       // called once the request's last byte was sent; may be nil

	// The state of the response.
	onResponse    func(*http1.Response, error) // also with an error the response is set, for its status and headers
	buffer        partial.Buffer               // an incomplete response
	maxResponse   int                          // bytes
	responseTimer timers.Timer                 // runs while a response is incomplete
	trailingData  bool                         // more bytes followed the response
}

// dial starts to connect for an exchange with a limit of maxResponse bytes for an incomplete response.
func dial(
	eventLoop *reactor.Reactor, addr, place string, timeout time.Duration, maxResponse int, events *eventlog.Recorder,
) *exchange {
	x := &exchange{maxResponse: maxResponse, place: place, events: events}
	x.dial(&dialedConnection{}, eventLoop, addr, timeout)
	return x
}

// send writes the request once the connection is established and the request is admitted. onResponse is
// called once, with the response or an error.
func (x *exchange) send(onResponse func(*http1.Response, error), pieces ...[]byte) {
	x.onResponse, x.request = onResponse, pieces
	if x.connected {
		x.writeRequest()
	}
}

// writeRequest writes the pending request if it is admitted. Admission is checked just before the write
// and not earlier, since it may be withdrawn while the connection is being established.
func (x *exchange) writeRequest() {
	if x.onResponse == nil || x.conn.IsClosing() {
		return
	}
	if x.admit != nil {
		err := x.admit()
		if errors.Is(err, errUnread) {
			x.loop().Arm(&x.sendTimer, unreadRetryInterval, 0, timers.Func(x.writeRequest))
			return
		}
		if err != nil {
			x.fail(err)
			return
		}
		failpoint.Reach(failpoint.AttemptAdmitted)
	}
	if !x.correlation.Begin() {
		x.fail(errNotAdmitted)
		return
	}
	pieces := x.request
	x.request = nil
	if x.conn.Write(pieces...) != nil {
		x.close(closedWriteFailed)
	}
	if x.onWritten != nil {
		x.onWritten()
	}
	x.checkSent()
}

// checkSent calls onSent once the request was completely sent. Until then the request does not count as
// an attempt, and it is aborted if it is no longer admitted.
func (x *exchange) checkSent() {
	switch {
	case x.sent():
		x.notifySent()
	case x.onResponse == nil || x.conn.IsClosing():
	case x.admit != nil && errors.Is(x.admit(), errNotAdmitted):
		x.fail(errNotAdmitted)
	default:
		x.loop().Arm(&x.sendTimer, sentCheckInterval, 0, timers.Func(x.checkSent))
	}
}

// notifySent calls onSent unless that was done before.
func (x *exchange) notifySent() {
	if onSent := x.onSent; onSent != nil {
		x.onSent = nil
		onSent()
	}
}

// sent reports whether the request's last byte was sent.
func (x *exchange) sent() bool { return x.begun() && x.conn.Sent(x.conn.StreamOffset()) }

// begun reports whether any byte of the request may have been written.
func (x *exchange) begun() bool { return x.correlation.Begun() }

// abort closes the connection and ends its request, if any, with errAborted.
func (x *exchange) abort() { x.fail(errAborted) }

// fail closes the connection and ends its request, if any, with err and the part of the response that has
// arrived.
func (x *exchange) fail(err error) {
	x.close(closeReason(err))
	var response http1.Response
	if x.buffer.Len() > 0 {
		_, _ = response.Parse(x.buffer.Bytes(), true) // for its status and headers
	}
	x.finish(&response, err)
}

// data parses the response. The connection is closed if data arrives before the request was completely sent; if the
// request was begun, the data may be a rejection with a Retry-After and is parsed for that.
func (x *exchange) data(data []byte) {
	switch verdict := x.correlation.Classify(x.sent()); verdict {
	case correlation.Answer:
	case correlation.Surplus:
		x.recordUnexpected(verdict, len(data))
		x.close(closedSurplus)
		return
	default:
		x.recordUnexpected(verdict, len(data))
		x.buffer.Reset()
		x.buffer.Store(data)
		x.fail(http1.ErrHead)
		x.buffer.Reset()
		return
	}
	if !x.responseTimer.IsSet() {
		x.loop().Arm(&x.responseTimer, responseTimeout, 0, timers.Func(func() { x.fail(errStalled) }))
	}
	x.parse(x.buffer.Append(data), false)
}

// recordUnexpected records bytes that belong to no request.
func (x *exchange) recordUnexpected(verdict correlation.Verdict, size int) {
	x.events.RecordUnexpected(x.place, eventlog.Event{
		Endpoint: x.endpoint, Connection: x.number, Bytes: size, Reason: verdict.String(),
	})
}

func (x *exchange) loop() *loop.Loop { return x.conn.Loop() }

// parse ends the request if data contains its complete response, and buffers data otherwise. eof reports
// that no more data follows.
func (x *exchange) parse(data []byte, eof bool) {
	var response http1.Response
	size, err := response.Parse(data, eof)
	if err == nil && size == 0 && len(data) > x.maxResponse {
		err = http1.ErrBody
	}
	if err != nil || size == 0 {
		x.buffer.Store(data)
		if err != nil {
			x.fail(err)
		}
		return
	}
	x.trailingData = size < len(data)
	if x.trailingData {
		x.recordUnexpected(correlation.Surplus, len(data)-size)
	}
	x.close(closedAnswered)
	x.finish(&response, nil)
	x.buffer.Reset() // only now, since response refers to it
}

// ended ends the request, if it has not ended, once its connection has. A response whose body is delimited by the
// connection's end is complete now.
func (x *exchange) ended(err error) {
	if x.onResponse != nil && x.buffer.Len() > 0 {
		x.parse(x.buffer.Bytes(), true)
	}
	x.fail(err)
	x.buffer.Reset()
}

// finish ends the request, if it has not ended.
func (x *exchange) finish(response *http1.Response, err error) {
	x.loop().Disarm(&x.responseTimer)
	x.loop().Disarm(&x.sendTimer)
	if x.onSent != nil {
		if x.sent() {
			x.onSent()
		}
		x.onSent = nil
	}
	if onResponse := x.onResponse; onResponse != nil {
		x.onResponse, x.request = nil, nil
		x.correlation.End()
		onResponse(response, err)
	}
}
