package platform

import (
	"encoding/json"
	"strconv"

	"brackendale/internal/clock"
	"brackendale/internal/eventlog"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// maxNoticesPerRequest limits the notices in one request.
const maxNoticesPerRequest = 256

// notices sends the platform the final answers of messages that were accepted and not delivered. Each
// notice is sent until the agent responds with 204, and only then acknowledged to the core.
type notices struct {
	core     *sender.Sender
	reactor  *reactor.Reactor
	addr     string    // of the agent
	exchange *exchange // with the front of the queue; nil: none is in flight
	queue    []notice  // not acknowledged, the oldest first
	stopped  bool
	stats    noticeStats
}

// notice is the notice of one message's final answer.
type notice struct {
	id   string // of the message
	line []byte // the notice as it is sent

	since clock.Instant // when it became due
}

func newNotices(core *sender.Sender, eventLoop *reactor.Reactor, addr string) *notices {
	return &notices{core: core, reactor: eventLoop, addr: addr}
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
	n.queue = append(n.queue, notice{id: id, line: append(line, '\n'), since: n.core.Now()})
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
	if n.exchange != nil {
		n.exchange.abort() // its batch stays queued
	}
	n.send()
}

// stop stops sending notices, since another process sends them from here on.
func (n *notices) stop() {
	n.stopped, n.queue = true, nil
	n.updateStats()
	if n.exchange != nil {
		n.exchange.abort()
	}
}

// send sends the front of the queue, unless a request is in flight.
func (n *notices) send() {
	if n.stopped || n.exchange != nil || len(n.queue) == 0 {
		return
	}
	batch := n.queue[:min(len(n.queue), maxNoticesPerRequest)]
	n.exchange = dial(n.reactor, n.addr, noticePlace, agentTimeout, maxAgentResponse, n.core.Events())
	var timer timers.Timer
	n.reactor.Arm(&timer, agentTimeout, 0, timers.Func(n.exchange.abort))
	number := n.exchange.number
	for _, sent := range batch {
		n.core.Events().Record(eventlog.Event{Kind: eventlog.Notified, Message: sent.id, Connection: number})
	}
	n.exchange.send(func(response *http1.Response, err error) {
		n.reactor.Disarm(&timer)
		acknowledged := err == nil && response.Status == statusNoContent
		if !acknowledged {
			n.recordUnacknowledged(len(batch), number, err)
		}
		n.finish(batch, acknowledged)
	}, n.request(batch)...)
}

// request returns the HTTP request with a batch of notices, in pieces.
func (n *notices) request(batch []notice) [][]byte {
	pieces, size := [][]byte{nil}, 0
	for _, queued := range batch {
		pieces = append(pieces, queued.line)
		size += len(queued.line)
	}
	pieces[0] = []byte("POST /v2/finals HTTP/1.1\r\nHost: " + n.addr + "\r\nContent-Length: " +
		strconv.Itoa(size) + "\r\nConnection: close\r\n\r\n")
	return pieces
}

// finish ends the request in flight. A batch that was not acknowledged is sent again after
// minRetryInterval.
func (n *notices) finish(batch []notice, acknowledged bool) {
	n.exchange = nil
	if n.stopped {
		return
	}
	if acknowledged {
		ids := make([]string, len(batch))
		for i, sent := range batch {
			ids[i] = sent.id
			n.core.Events().Record(eventlog.Event{Kind: eventlog.Acknowledged, Message: sent.id})
		}
		n.core.Acknowledge(ids...)
		n.queue = n.queue[len(batch):]
		n.updateStats()
		n.reactor.Post(n.send)
		return
	}
	n.reactor.After(minRetryInterval, n.send)
}
