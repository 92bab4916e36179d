package platform

import (
	"slices"
	"time"

	"brackendale/internal/net/conntable"
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
	startedAt time.Duration                 // in the loop's time
	onUp      func(connected time.Duration) // called with the time that the connect took; may be nil
}

// dial opens a connection for the exchange.
func (x *exchange) dial(opened *dialedConnection, eventLoop *reactor.Reactor, addr string, timeout time.Duration) {
	opened.exchange, opened.startedAt = x, eventLoop.Now()
	opened.conn = eventLoop.Dial(addr, timeout, opened)
	x.dials = append(x.dials, opened)
	if x.conn == nil {
		x.conn = opened.conn
	}
}

// isEnded reports whether the exchange needs no connection any more.
func (x *exchange) isEnded() bool { return x.onResponse == nil }

// close closes all connections of the exchange.
func (x *exchange) close() {
	x.loop().Disarm(&x.backupTimer)
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
	x.conn, x.connected = conn, true
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
	x.dials = slices.DeleteFunc(x.dials, func(other *dialedConnection) bool { return other == d })
	if conn != x.conn {
		return
	}
	if !x.connected && !x.isEnded() && len(x.dials) > 0 {
		x.conn = x.dials[0].conn
		return
	}
	x.ended(err)
}

// Evict closes the connection. Its table evicts no connection with a request.
func (d *dialedConnection) Evict(conntable.Reason) { d.conn.Close() }

// MarkArrived marks the end of the data that has arrived from the peer.
func (d *dialedConnection) MarkArrived() (known bool) { return d.conn.MarkArrived() }

// MarkHandled reports whether all data before the mark was handled.
func (d *dialedConnection) MarkHandled() bool { return d.conn.MarkHandled() }
