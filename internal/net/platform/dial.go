package platform

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"brackendale/internal/eventlog"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
)

// The delay after which a further connection is opened for a request whose connection is not established. It is a
// multiple of the usual time.
const (
	backupDelayMultiple = 3
	minBackupDelay      = 20 * time.Millisecond
	maxBackupDelay      = 400 * time.Millisecond
	maxBackups          = 2 // of one request
)

// connectTime estimates how long connects usually take. The zero value knows nothing.
type connectTime struct{ smoothed time.Duration }

// connectTimeGain is the weight of one connect in the estimate: one in connectTimeGain.
const connectTimeGain = 8

// observe adds the time that a connect took.
func (c *connectTime) observe(took time.Duration) {
	if c.smoothed == 0 {
		c.smoothed = took
		return
	}
	c.smoothed += (took - c.smoothed) / connectTimeGain
}

// backupDelay returns the delay after which a further connection is opened.
func (c *connectTime) backupDelay() time.Duration {
	if c.smoothed == 0 {
		return maxBackupDelay
	}
	return min(max(backupDelayMultiple*c.smoothed, minBackupDelay), maxBackupDelay)
}

// dialedConnection is a connection that was opened for an exchange. The first one to be established carries the
// request; the others are closed.
type dialedConnection struct {
	conntable.Entry
	exchange  *exchange
	conn      *reactor.Conn
	number    uint64
	startedAt time.Duration                 // in the loop's time
	onUp      func(connected time.Duration) // called with the time that the connect took; may be nil
}

// dial opens a connection for the exchange.
func (x *exchange) dial(opened *dialedConnection, eventLoop *reactor.Reactor, addr string, timeout time.Duration) {
	opened.exchange, opened.startedAt, opened.number = x, eventLoop.Now(), lastConnectionNumber.Add(1)
	x.events.Record(eventlog.Event{Kind: eventlog.Connecting, Endpoint: x.endpoint, Connection: opened.number})
	opened.conn = eventLoop.Dial(addr, timeout, opened)
	if x.discards {
		opened.conn.DiscardUnsentOnClose()
	}
	x.dials = append(x.dials, opened)
	if x.conn == nil {
		x.conn, x.number = opened.conn, opened.number
	}
}

// The reasons for which this side closes a connection, as they are in the record of events and in the metrics.
const (
	closedAnswered    = "answered"
	closedSurplus     = "data behind the answer"
	closedAborted     = "given up"
	closedStalled     = "the answer was not complete in time"
	closedNotAdmitted = "not admitted"
	closedMalformed   = "malformed answer"
	closedWriteFailed = "the write failed"
	closedSpare       = "another connection was established first"
	closedOther       = "failed"
)

// What ended a connection that this side did not close.
const (
	peerNotEstablished = "not established"
	peerEnded          = "end of the stream"
	peerBroke          = "broken"
)

// The sides that close a connection.
const (
	closedHere   = "sender"
	closedByPeer = "peer"
)

// The places at which an answer may come that belongs to no request.
const (
	endpointPlace = "endpoint"
	noticePlace   = "agent: notices"
	watchPlace    = "agent: watch"
)

// Places returns the places at which an answer may come that belongs to no request.
func Places() []string { return []string{endpointPlace, noticePlace, watchPlace} }

// CloseReasons returns the sides and reasons of the ends of connections, as they are recorded.
func CloseReasons() (reasons []string) {
	for _, reason := range []string{
		closedAnswered, closedSurplus, closedAborted, closedStalled, closedNotAdmitted, closedMalformed, closedWriteFailed,
		closedSpare, closedOther,
	} {
		reasons = append(reasons, eventlog.CloseReason(closedHere, reason))
	}
	for _, reason := range []string{peerNotEstablished, peerEnded, peerBroke} {
		reasons = append(reasons, eventlog.CloseReason(closedByPeer, reason))
	}
	return reasons
}

// closeReason returns the reason for which a request that fails with err closes its connection.
func closeReason(err error) string {
	switch {
	case errors.Is(err, errAborted):
		return closedAborted
	case errors.Is(err, errStalled):
		return closedStalled
	case errors.Is(err, errNotAdmitted):
		return closedNotAdmitted
	case errors.Is(err, http1.ErrHead), errors.Is(err, http1.ErrBody):
		return closedMalformed
	}
	return closedOther
}

// peerCloseReason returns what ended a connection that this side did not close.
func peerCloseReason(connected bool, err error) string {
	switch {
	case !connected:
		return peerNotEstablished
	case errors.Is(err, io.EOF):
		return peerEnded
	}
	return peerBroke
}

// lastConnectionNumber is the number of the connection that was opened last in this process.
var lastConnectionNumber atomic.Uint64

// isEnded reports whether the exchange needs no connection any more.
func (x *exchange) isEnded() bool { return x.onResponse == nil }

// close closes all connections of the exchange. The first reason is recorded.
func (x *exchange) close(reason string) {
	x.loop().Disarm(&x.backupTimer)
	x.closeReason = cmp.Or(x.closeReason, reason)
	if x.connected && x.closeReason == closedAnswered {
		x.conn.SendUnsentOnClose()
	}
	for _, opened := range slices.Clone(x.dials) {
		opened.conn.Close()
	}
}

// Up writes the pending request on the first connection that is established, and closes the others.
func (d *dialedConnection) Up(conn *reactor.Conn) {
	x := d.exchange
	if x.connected || x.isEnded() {
		conn.Close()
		return
	}
	x.conn, x.number, x.connected = conn, d.number, true
	x.loop().Disarm(&x.backupTimer)
	for _, other := range slices.Clone(x.dials) {
		if other != d {
			other.conn.Close()
		}
	}
	if d.onUp != nil {
		d.onUp(x.loop().Now() - d.startedAt)
	}
	x.writeRequest()
}

// Data passes what the peer sends on the request's connection to the exchange.
func (d *dialedConnection) Data(conn *reactor.Conn, data []byte) {
	if x := d.exchange; x.connected && conn == x.conn {
		x.data(data)
	}
}

// Down ends the exchange with its connection or, before one is established, with the last that fails.
func (d *dialedConnection) Down(conn *reactor.Conn, err error) {
	d.Remove()
	x := d.exchange
	d.recordClosed(conn == x.conn, err)
	x.dials = slices.DeleteFunc(x.dials, func(other *dialedConnection) bool { return other == d })
	if conn != x.conn {
		return
	}
	if !x.connected && !x.isEnded() && len(x.dials) > 0 {
		x.conn, x.number = x.dials[0].conn, x.dials[0].number
		return
	}
	x.ended(err)
}

// recordClosed records the end of the connection.
func (d *dialedConnection) recordClosed(carriesRequest bool, err error) {
	x := d.exchange
	event := eventlog.Event{Endpoint: x.endpoint, Connection: d.number}
	switch {
	case x.connected && !carriesRequest:
		x.events.RecordClosed(closedHere, closedSpare, event)
	case x.closeReason != "":
		x.events.RecordClosed(closedHere, x.closeReason, event)
	default:
		x.events.RecordClosed(closedByPeer, peerCloseReason(x.connected, err), event)
	}
}

// Evict closes the connection. Its table evicts no connection with a request.
func (d *dialedConnection) Evict(conntable.Reason) { d.conn.Close() }

// MarkArrived marks the end of the data that has arrived from the peer.
func (d *dialedConnection) MarkArrived() (known bool) { return d.conn.MarkArrived() }

// MarkHandled reports whether all data before the mark was handled.
func (d *dialedConnection) MarkHandled() bool { return d.conn.MarkHandled() }
