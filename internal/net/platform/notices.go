package platform

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"brackendale/internal/eventlog"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/internal/notice"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// notices sends the platform the final answers of messages that were accepted and not delivered. Each
// notice is sent until the agent responds with 204, and only then acknowledged to the core.
type notices struct {
	core      *sender.Sender
	reactor   *reactor.Reactor
	addr      string // of the agent
	queue     notice.Queue
	exchanges map[*notice.Request]*exchange // without an answer
	table     *conntable.Table              // of the connections beside the first one; nil: they have no limit
	timer     timers.Timer                  // runs until a request may be due
	stopped   bool
	stats     noticeStats
}

func newNotices(core *sender.Sender, eventLoop *reactor.Reactor, addr string) *notices {
	return &notices{core: core, reactor: eventLoop, addr: addr, exchanges: map[*notice.Request]*exchange{}}
}

// add queues the notice of a final answer. retryAfterMs, in milliseconds, and repeated are added to the
// notice unless they are zero; repeated is this appliance's extension of the platform's notices.
func (n *notices) add(id, answer string, retryAfterMs int64, repeated bool) {
	body := struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		AfterMs int64  `json:"after_ms,omitempty"`
		Again   bool   `json:"again,omitempty"`
	}{id, answer, retryAfterMs, repeated}
	line, err := json.Marshal(body)
	if err != nil { // impossible for strings, a number and a bool
		panic(err)
	}
	if n.stopped {
		return // the process that sends notices from here on has this one from the journal
	}
	n.queue.Add(&notice.Notice{ID: id, Line: append(line, '\n'), Since: n.core.Now()})
	n.updateStats()
	n.reactor.Post(n.send) // deferred, so that notices of one step share a request
}

// setAgent changes to another agent. Notices that the old one has not acknowledged are sent to the new
// one.
func (n *notices) setAgent(addr string) {
	if addr == n.addr {
		return
	}
	n.addr = addr
	n.queue.Restart()
	n.abortAll()
	n.send()
}

// stop stops sending notices, since another process sends them from here on.
func (n *notices) stop() {
	n.stopped = true
	n.queue.Clear()
	n.updateStats()
	n.reactor.Disarm(&n.timer)
	n.abortAll()
}

// abortAll ends the requests without an answer.
func (n *notices) abortAll() {
	ended := n.exchanges
	n.exchanges = map[*notice.Request]*exchange{}
	for _, exchange := range ended {
		exchange.abort()
	}
}

// send sends the notices that are due.
func (n *notices) send() {
	for !n.stopped {
		step := n.queue.Next(n.reactor.Now(), n.maxRequests())
		if step.GiveUp != nil {
			n.exchanges[step.GiveUp].abort()
		}
		if step.Start == nil {
			n.arm(step)
			return
		}
		n.start(step.Start)
	}
}

// arm sets the timer for the next request, or stops it if none is needed.
func (n *notices) arm(step notice.Step) {
	if step.Idle {
		n.reactor.Disarm(&n.timer)
		return
	}
	n.reactor.Arm(&n.timer, step.Wait, 0, timers.Func(n.send))
}

// maxRequests returns how many requests may be open at once: one, and others while there are descriptors for them.
func (n *notices) maxRequests() int {
	if n.table == nil || n.table.HasRoom() {
		return notice.MaxRequests
	}
	return min(notice.MaxRequests, max(1, len(n.exchanges)))
}

// connect starts to connect to the agent.
func (n *notices) connect() *exchange {
	opened := &exchange{maxResponse: maxAgentResponse, place: noticePlace, events: n.core.Events()}
	connection := &dialedConnection{}
	if n.table != nil && len(n.exchanges) > 0 {
		n.table.Admit(&connection.Entry, connection, netip.Addr{}, n.reactor.Now())
		connection.Move(conntable.Busy, n.reactor.Now())
	}
	opened.dial(connection, n.reactor, n.addr, agentTimeout)
	return opened
}

// start sends a request on a connection of its own.
func (n *notices) start(request *notice.Request) {
	opened := n.connect()
	n.exchanges[request] = opened
	var timeout timers.Timer
	n.reactor.Arm(&timeout, agentTimeout, 0, timers.Func(opened.abort))
	opened.onSent = func() { n.recordSent(request, opened.number) }
	opened.send(func(response *http1.Response, err error) {
		n.reactor.Disarm(&timeout)
		acknowledged := err == nil && response.Status == statusNoContent
		if !acknowledged {
			n.recordUnacknowledged(len(request.Notices), opened.number, err)
		}
		n.finish(request, acknowledged)
	}, n.encode(request)...)
}

// recordSent records that the last byte of a request was written.
func (n *notices) recordSent(request *notice.Request, connection uint64) {
	for _, sent := range request.Notices {
		n.core.Events().Record(eventlog.Event{Kind: eventlog.Notified, Message: sent.ID, Connection: connection})
	}
}

// encode returns the HTTP request with the notices, in pieces.
func (n *notices) encode(request *notice.Request) [][]byte {
	pieces, size := [][]byte{nil}, 0
	for _, sent := range request.Notices {
		pieces = append(pieces, sent.Line)
		size += len(sent.Line)
	}
	pieces[0] = []byte("POST /v2/finals HTTP/1.1\r\nHost: " + n.addr + "\r\nContent-Length: " +
		strconv.Itoa(size) + "\r\nConnection: close\r\n\r\n")
	return pieces
}

// finish ends a request. Its notices are acknowledged to the core, or will be sent again.
func (n *notices) finish(request *notice.Request, acknowledged bool) {
	if n.exchanges[request] == nil {
		return // another agent has been set, or the notices were stopped
	}
	delete(n.exchanges, request)
	if !acknowledged {
		n.queue.Fail(request)
		n.reactor.Post(n.send)
		return
	}
	ids := n.queue.Acknowledge(request)
	for _, id := range ids {
		n.core.Events().Record(eventlog.Event{Kind: eventlog.Acknowledged, Message: id})
	}
	n.core.Acknowledge(ids...)
	n.updateStats()
	n.reactor.Post(n.send)
}
