package platform

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/net/connlimit"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/scheduler"
	"brackendale/sender"
)

// Front is the name of this front in the journal.
const Front = "platform"

// sweepInterval is the time between checks for connections that are over a limit.
const sweepInterval = 250 * time.Millisecond

// The limits of a SUBMIT command.
const (
	maxIDBytes     = 64
	maxKeyBytes    = 64
	maxTenantBytes = 64
	maxDeadlineMs  = 1 << 40
)

// Limits are the connection limits of the platform's clients, for at most maxConnections.
//
// A connection without a whole command, or with a partial one, is closed after commandTimeout. An
// idle one may be evicted after a quarter of that, and is closed by itself if more than half of the
// connections are in use, so that idle clients leave room for new ones.
func Limits(maxConnections int) conntable.Limits {
	const commandTimeout = 2 * time.Second
	return conntable.Limits{
		MaxConns:          maxConnections,
		PressureShare:     0.5,
		IdleGrace:         commandTimeout / 4,
		FirstFrameGrace:   100 * time.Millisecond,
		FirstFrameTimeout: commandTimeout,
		FrameTimeout:      commandTimeout,
	}
}

// TurnedAway is sent to a new connection for which there is no room: it may come again in 500 ms.
var TurnedAway = []byte("-BUSY 500\r\n")

var errCommandTimeout = errors.New("ERR no whole command in time")

// Ingress serves RESP2 clients.
type Ingress struct {
	core           *sender.Sender
	reactor        *reactor.Reactor
	notices        *notices
	table          *conntable.Table
	limiter        *connlimit.Limiter
	sendRetryAfter bool // new connections without room, and notices, say when to come again

	// Of the read that is being handled, which is one client's.
	words [][]byte          // of the command; reused
	batch []*sender.Request // not submitted yet
}

// NewIngress makes the clients' side on a connection table. Final answers are notified to the agent
// at discovery. With sendRetryAfter, rejected connections hear when to come again.
func NewIngress(
	core *sender.Sender, eventLoop *reactor.Reactor, discovery string, table *conntable.Table,
	sendRetryAfter bool,
) *Ingress {
	return &Ingress{
		core:           core,
		reactor:        eventLoop,
		notices:        newNotices(core, eventLoop, discovery),
		table:          table,
		limiter:        connlimit.New(eventLoop, table, sweepInterval),
		sendRetryAfter: sendRetryAfter,
	}
}

// Move sends notices to another agent from here on.
func (in *Ingress) Move(discovery string) { in.notices.move(discovery) }

// Accept admits a client's connection, if need be in place of an idle one. It returns nil if the
// connection is to be closed.
func (in *Ingress) Accept(conn *reactor.Conn) reactor.Handler {
	cl := &client{ingress: in, conn: conn}
	if in.limiter.Admit(&cl.Entry, cl, conn) {
		return cl
	}
	if in.sendRetryAfter {
		return in.reactor.RejectWith(TurnedAway)
	}
	return nil
}

// parseSubmit reads the arguments of SUBMIT: the routing key (not used), the ID, the fields and the
// body. It returns the text of an error, or "".
func (in *Ingress) parseSubmit(args [][]byte) (*sender.Request, string) {
	if len(args) != 4 {
		return nil, "wrong number of arguments for SUBMIT"
	}
	id := string(args[1])
	if id == "" || len(id) > maxIDBytes || bytes.ContainsAny(args[1], " \r\n\"\\") {
		return nil, "bad id"
	}
	request := &sender.Request{ID: id, Front: Front, Body: bytes.Clone(args[3])}
	deadlineMs, hasDestination := parseFields(request, args[2])
	switch {
	case !in.core.HasClass(request.Class):
		return nil, "unknown class c"
	case deadlineMs < 0:
		return nil, "bad or missing d"
	case !hasDestination || !in.core.HasDestination(request.Destination):
		return nil, "unknown destination dest"
	}
	class := in.core.Class(request.Class)
	switch {
	case class.Idempotency == scheduler.IdempotentByKey && request.Key == "":
		return nil, "missing key k"
	case len(request.Key) > maxKeyBytes || len(request.Tenant) > maxTenantBytes ||
		bytes.ContainsAny([]byte(request.Key), " \r\n"):
		return nil, "bad key k or tenant t"
	}
	request.Deadline = in.core.Now().Add(clock.Microseconds(min(deadlineMs*1000, class.DeadlineUs)))
	return request, ""
}

// parseFields reads the name=value pairs of SUBMIT into the request. The deadline is in
// milliseconds from now, and under 0 if it is missing or malformed.
func parseFields(request *sender.Request, fields []byte) (deadlineMs int64, hasDestination bool) {
	deadlineMs = -1
	for len(fields) > 0 {
		var pair []byte
		pair, fields, _ = bytes.Cut(fields, []byte{','})
		name, rawValue, _ := bytes.Cut(pair, []byte{'='})
		value := string(rawValue)
		switch string(name) {
		case "c":
			request.Class = value
		case "t":
			request.Tenant = value
		case "k":
			request.Key = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err == nil && ms >= 0 && ms < maxDeadlineMs {
				deadlineMs = ms
			}
		case "dest":
			destination, err := strconv.ParseInt(value, 10, 64)
			request.Destination, hasDestination = destination, err == nil
		}
	}
	return deadlineMs, hasDestination
}

// Answer tells the client whether its request was accepted.
func (in *Ingress) Answer(request *sender.Request, verdict sender.Verdict, waitMs int64) {
	pending, ok := request.IngressData.(*reply)
	if !ok {
		return
	}
	pending.text = verdictText(verdict, waitMs)
	if verdict == sender.Failed && pending.withdrawnText != nil {
		pending.text = pending.withdrawnText
	}
	pending.client.flush()
}

func verdictText(verdict sender.Verdict, waitMs int64) []byte {
	switch {
	case verdict == sender.Rejected && waitMs > 0:
		return []byte("-BUSY " + strconv.FormatInt(waitMs, 10) + "\r\n")
	case verdict == sender.Rejected:
		return []byte("-BUSY\r\n")
	case verdict == sender.Failed:
		return []byte("-ERR failed\r\n")
	default:
		return []byte("+OK\r\n")
	}
}

// MustNotify tells that all final answers but delivery are notified. Any goroutine may call it.
func (in *Ingress) MustNotify(end string) bool { return end != sender.Delivered }

// Deduplicates is false: the platform's clients give each message that they hand in a new ID. Any
// goroutine may call it.
func (in *Ingress) Deduplicates() bool { return false }

// Notify queues a notice.
func (in *Ingress) Notify(id, _, end string, waitMs int64, again bool) {
	in.notices.add(id, end, waitMs, again && in.sendRetryAfter)
}

// CloseIdle closes the connections without pending replies, and the others after their replies.
func (in *Ingress) CloseIdle() {
	in.table.Each(func(entry *conntable.Entry) {
		if cl, ok := entry.Owner().(*client); ok {
			cl.closing = true
			cl.flush()
		}
	})
}

// firstCommandTime is how long a new connection is not retired: its first command may be on its way, and its client
// would take the end of a new connection for a lost command.
const firstCommandTime = time.Second

// Retire closes the connections that have no pending reply and no unread or partial command, and
// returns how many are left.
func (in *Ingress) Retire() int {
	now := in.reactor.Now()
	in.table.Each(func(entry *conntable.Entry) {
		isNew := entry.Class() == conntable.Fresh && now-entry.EnteredAt() < firstCommandTime
		if cl, ok := entry.Owner().(*client); ok && !isNew && cl.isIdle() {
			cl.close()
		}
	})
	return in.table.Len()
}

// StopNotices sends no more notices: another process does.
func (in *Ingress) StopNotices() { in.notices.stop() }
