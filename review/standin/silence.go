package main

import (
	"net/http"
	"strings"
	"time"
)

// The bounds of the rule on senders that reject all that they get.
const (
	silence       = 4050 * time.Millisecond // 4 s, and every time limit is 50 ms longer
	leastMessages = 15
)

// judgeSilence looks for 4 s in which the sender rejects all that it gets, 15 messages or more, with no attempt in
// between, and ends the case.
func judgeSilence(b *bench, p *proc, a *agent, sent []*sentMessage, e *endpoint) {
	calls := e.seen()
	delivered := map[string]int{}
	for _, call := range calls {
		if call.status == http.StatusOK {
			delivered[call.id]++
		}
	}
	b.writeMessages(sent, delivered, a)
	counts := map[string]int{}
	last := time.Time{}
	for _, msg := range sent {
		end := "no end"
		switch ends := a.ends(msg.id); {
		case delivered[msg.id] > 0:
			end = "delivered"
		case len(ends) > 0:
			end = "notice " + ends[0].State
		case strings.HasPrefix(msg.answer, "-"):
			end = "answer " + strings.Fields(msg.answer)[0]
		}
		counts[end]++
		if msg.at.After(last) {
			last = msg.at
		}
	}
	b.note("handed in %d: %v", len(sent), counts)
	b.note("calls at the endpoint: %d; it takes connections: %v; the sender runs: %v", len(calls),
		takesConnections(e.addr), p.running())
	if !p.running() || len(calls) == 0 {
		b.unable("a process ended, or there was no traffic")
	}
	broken := false
	for i, call := range calls {
		end := last
		if i+1 < len(calls) && calls[i+1].at.Before(last) {
			end = calls[i+1].at
		}
		if end.Sub(call.at) < silence {
			continue
		}
		got, rejected := 0, 0
		for _, msg := range sent {
			if msg.at.After(call.at) && msg.at.Before(call.at.Add(silence)) {
				got++
				if delivered[msg.id] == 0 {
					rejected++
				}
			}
		}
		b.note("no call within %v from %.3f s on; %d messages were handed in, %d of them rejected", silence,
			call.at.Sub(b.began).Seconds(), got, rejected)
		broken = broken || got >= leastMessages && rejected == got
	}
	if broken {
		b.finish(exitBroken)
	}
	b.finish(exitHeld)
}
