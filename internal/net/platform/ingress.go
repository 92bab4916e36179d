package platform

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/net/connlimit"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/partial"
	"brackendale/internal/net/reactor"
	"brackendale/scheduler"
	"brackendale/sender"
)

// Front is the name of this front in the journal.
const Front = "platform"

// sweepInterval is the interval between checks for connections that exceed a limit.
const sweepInterval = 250 * time.Millisecond

// The limits of a SUBMIT command.
const (
	maxIDBytes     = 64
	maxKeyBytes    = 64
	maxTenantBytes = 64
	maxDeadlineMs  = 1 << 40
)

// Limits returns the connection limits of the platform's clients, for at most maxConnections.
//
// A connection is closed if a command, also its first one, is not complete within commandTimeout. An
// idle connection may be evicted for a new one after a quarter of that time. If more than half of the
// connections are in use, it is closed after that time in any case, so that new clients find room.
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

// OverLimitReply is sent to a new connection that exceeds the limit: its client may retry after 500 ms.
var OverLimitReply = []byte("-BUSY 500\r\n")

var errCommandTimeout = errors.New("ERR no whole command in time")

// Ingress serves RESP2 clients.
type Ingress struct {
	core           *sender.Sender
	reactor        *reactor.Reactor
	notices        *notices
	table          *conntable.Table
	limiter        *connlimit.Limiter
	partialMemory  partial.Budget
	sendRetryAfter bool // rejected connections get OverLimitReply, and notices may have the field again

	// The state of the read that is being handled, which belongs to one client.
	elements [][]byte          // the elements of a command; the slice is reused
	batch    []*sender.Request // requests that are not submitted yet
}

// NewIngress returns an Ingress whose connections are in table. Final answers are notified to the agent
// at the address discovery. With sendRetryAfter, rejected connections are sent a time to retry after.
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

// SetNoticeRoom makes the connections for notices take their descriptors from room, except for the first one.
func (in *Ingress) SetNoticeRoom(room *conntable.SharedLimit) {
	in.notices.table = room.NewDialedTable()
}

// SetAgent changes the agent to which notices are sent.
func (in *Ingress) SetAgent(discovery string) { in.notices.setAgent(discovery) }

// Accept admits a client's connection, and evicts an idle one for it if the limit is reached. It
// returns nil if the connection is to be closed.
func (in *Ingress) Accept(conn *reactor.Conn) reactor.Handler {
	cl := &client{ingress: in, conn: conn}
	if in.limiter.Admit(&cl.Entry, cl, conn) {
		return cl
	}
	if in.sendRetryAfter {
		return in.reactor.RejectWith(OverLimitReply)
	}
	return nil
}

// parseSubmit parses the arguments of SUBMIT: the routing key (not used), the ID, the fields and the
// body. The second result is the text of an error, or "".
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

// parseFields parses the name=value pairs of SUBMIT into the request. The deadline is in milliseconds
// from now, and negative if it is missing or malformed.
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

// Answer replies to the client with the verdict on its request.
func (in *Ingress) Answer(request *sender.Request, verdict sender.Verdict, retryAfterMs int64) {
	pending, ok := request.IngressData.(*reply)
	if !ok {
		return
	}
	pending.text = verdictText(verdict, retryAfterMs)
	if verdict == sender.Failed && pending.withdrawnText != nil {
		pending.text = pending.withdrawnText
	}
	pending.client.flush()
}

// verdictText returns the reply for a verdict.
func verdictText(verdict sender.Verdict, retryAfterMs int64) []byte {
	switch {
	case verdict == sender.Rejected && retryAfterMs > 0:
		return []byte("-BUSY " + strconv.FormatInt(retryAfterMs, 10) + "\r\n")
	case verdict == sender.Rejected:
		return []byte("-BUSY\r\n")
	case verdict == sender.Failed:
		return []byte("-ERR failed\r\n")
	default:
		return []byte("+OK\r\n")
	}
}

// MustNotify reports that all final answers but delivered are notified. Any goroutine may call it.
func (in *Ingress) MustNotify(answer string) bool { return answer != sender.Delivered }

// Deduplicates reports false: the platform's clients submit each message with a new ID. Any goroutine
// may call it.
func (in *Ingress) Deduplicates() bool { return false }

// IsTransient reports false: the notices of all messages go to one reader. Any goroutine may call it.
func (in *Ingress) IsTransient(string) bool { return false }

// Notify queues the notice of a final answer.
func (in *Ingress) Notify(notice sender.Notice) {
	in.notices.add(notice.ID, notice.Answer, notice.RetryAfterMs, notice.Repeated && in.sendRetryAfter)
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

// newConnectionGrace is how long a new connection is not retired. Its first command may be in transit, and its client
// would count that command as lost if the new connection ended.
const newConnectionGrace = time.Second

// Retire closes the connections that have no pending reply and no unread or partial command, and
// returns the number of those that remain.
func (in *Ingress) Retire() int {
	now := in.reactor.Now()
	in.table.Each(func(entry *conntable.Entry) {
		isNew := entry.Class() == conntable.Fresh && now-entry.EnteredAt() < newConnectionGrace
		if cl, ok := entry.Owner().(*client); ok && !isNew && cl.isIdle() {
			cl.close()
		}
	})
	return in.table.Len()
}

// StopNotices stops sending notices, since another process sends them from here on.
func (in *Ingress) StopNotices() { in.notices.stop() }
