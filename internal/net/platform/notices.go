package platform

import (
	"encoding/json"
	"strconv"

	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// maxBatch is the most notices in one request.
const maxBatch = 256

// notices tells the platform the final answers of messages that were accepted and not delivered.
// Each is sent until the agent responds with 204, and only then acknowledged to the core.
type notices struct {
	core     *sender.Sender
	reactor  *reactor.Reactor
	addr     string // the agent's
	link     *link
	queue    []notice // not acknowledged yet, the oldest first
	inFlight bool     // a request is out, with the front of the queue
	stopped  bool
}

type notice struct {
	id   string
	line []byte
}

func newNotices(core *sender.Sender, eventLoop *reactor.Reactor, addr string) *notices {
	return &notices{core: core, reactor: eventLoop, addr: addr}
}

// add queues a final answer. waitMs, in milliseconds, and again go into the notice unless they are
// zero; again is this appliance's addition to the platform's notices.
func (n *notices) add(id, end string, waitMs int64, again bool) {
	form := struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		AfterMs int64  `json:"after_ms,omitempty"`
		Again   bool   `json:"again,omitempty"`
	}{id, end, waitMs, again}
	line, err := json.Marshal(form)
	if err != nil { // cannot happen for strings, a number and a bool
		panic(err)
	}
	n.queue = append(n.queue, notice{id, append(line, '\n')})
	n.reactor.Post(n.send) // later, so that notices of one step share a request
}

// move changes to another agent. What the old one has not acknowledged is sent to the new one.
func (n *notices) move(addr string) {
	if addr == n.addr {
		return
	}
	old := n.link
	n.addr, n.link = addr, nil
	if old != nil {
		old.abort() // ends a request in flight; its batch stays queued
	}
	n.send()
}

// stop sends no more notices: another process does.
func (n *notices) stop() {
	n.stopped, n.queue = true, nil
	if n.link != nil {
		n.link.abort()
	}
}

// send sends the front of the queue unless a request is in flight.
func (n *notices) send() {
	if n.stopped || n.inFlight || len(n.queue) == 0 {
		return
	}
	if n.link == nil || n.link.conn.IsClosing() {
		n.link = dial(n.reactor, n.addr, agentTimeout, maxAgentResponse)
	}
	batch := n.queue[:min(len(n.queue), maxBatch)]
	used := n.link
	n.inFlight = true
	var timer timers.Timer
	n.reactor.Arm(&timer, agentTimeout, 0, timers.Func(used.abort))
	used.send(func(response *http1.Response, err error) {
		n.reactor.Disarm(&timer)
		n.finish(used, batch, err == nil && response.Status == statusNoContent)
	}, n.request(batch)...)
}

func (n *notices) request(batch []notice) [][]byte {
	pieces, size := [][]byte{nil}, 0
	for _, queued := range batch {
		pieces = append(pieces, queued.line)
		size += len(queued.line)
	}
	pieces[0] = []byte("POST /v2/finals HTTP/1.1\r\nHost: " + n.addr + "\r\nContent-Length: " +
		strconv.Itoa(size) + "\r\n\r\n")
	return pieces
}

// finish ends the request in flight. Without an acknowledgement the batch is sent again after a
// gap.
func (n *notices) finish(used *link, batch []notice, acknowledged bool) {
	n.inFlight = false
	if n.stopped {
		return
	}
	if acknowledged {
		ids := make([]string, len(batch))
		for i, sent := range batch {
			ids[i] = sent.id
		}
		n.core.Acknowledge(ids...)
		n.queue = n.queue[len(batch):]
		n.reactor.Post(n.send)
		return
	}
	used.conn.Close()
	if n.link == used {
		n.link = nil
	}
	n.reactor.After(minRetryGap, n.send)
}
