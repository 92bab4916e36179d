package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["succession"] = successionCase }

const (
	successionRate = 8                       // messages a second for the partner of usual pace
	usualCall      = 240 * time.Millisecond  // of that partner
	slowCall       = 3400 * time.Millisecond // of a partner that is slow just now, 8 times slower than 420 ms
	termToKill     = 3700 * time.Millisecond
)

// successionCase: two upgrades, the second one while the first one's old process still has a call out. The old process,
// which was told to end, takes the service back, and the newest process ends.
func successionCase(b *bench) {
	e := b.newEndpoint(always(usualCall))
	slow := b.newEndpoint(always(slowCall))
	a := b.newAgent([]host{
		{Host: "s-1", Dial: e.addr, Site: "oulu-room1", Class: "university", Block: 7, Health: "active", Share: 1},
		{Host: "s-2", Dial: slow.addr, Site: "oulu-room1", Class: "university", Block: 8, Health: "active", Share: 1},
	})
	l := b.newLauncher(a, settings(nil))
	first := l.start("first")
	if !first.waitReadyFor(30 * time.Second) {
		b.unable("the first process is not ready")
	}
	t := b.handIn(l.addr, successionRate, 6, clump{}, func(n int) string {
		if n%2 == 0 {
			return "c=beamtime-charge,t=revontuli,d=28000,dest=7"
		}
		return fmt.Sprintf("c=run-record,t=revontuli,d=16000,dest=7,k=%016x", n)
	})
	time.Sleep(5 * time.Second)
	conn, err := dialSender(l.addr)
	if err != nil {
		b.unable("%v", err)
	}
	charge := &sentMessage{id: "c000000000000001", at: time.Now()}
	charge.answer, err = conn.command("SUBMIT", "0000000000000000", charge.id, "c=beamtime-charge,t=revontuli,d=28000,dest=8", "b")
	b.note("a charge for the slow partner is handed in: %s %v", charge.answer, err)
	time.Sleep(300 * time.Millisecond)
	pause := 5 * time.Second // the first upgrade is over
	if b.trouble {
		pause = time.Second
	}
	second := b.upgrade(l, first, "second")
	time.Sleep(pause)
	third := b.upgrade(l, second, "third")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		b.note("says ready: first %v, second %v, third %v", first.running() && first.ready(),
			second.running() && second.ready(), third.running() && third.ready())
	}
	sent := append(t.end(), charge)
	b.note("the clients stop; the ends of the last messages are awaited")
	time.Sleep(28300 * time.Millisecond)

	gone := time.Now() // when the last process ended, if none is left
	if !first.running() && !second.running() && !third.running() {
		gone = first.endAt
		for _, p := range []*instance{second, third} {
			if p.endAt.After(gone) {
				gone = p.endAt
			}
		}
	}
	taken, delivered := map[string]int{}, map[string]bool{}
	for _, call := range e.seen() {
		taken[call.id]++
		delivered[call.id] = delivered[call.id] || call.at.Add(usualCall).Before(gone)
	}
	for _, call := range slow.seen() {
		taken[call.id]++
		delivered[call.id] = delivered[call.id] || call.at.Add(slowCall).Before(gone)
	}
	b.writeMessages(sent, taken, a)
	counts, lost := map[string]int{}, 0
	for _, msg := range sent {
		end := "no answer"
		switch ends := a.ends(msg.id); {
		case len(ends) > 0:
			end = "notice " + ends[0].State
		case delivered[msg.id]:
			end = "delivered"
		case strings.HasPrefix(msg.answer, "+"):
			end = "taken on and never ended"
			lost++
		case strings.HasPrefix(msg.answer, "-"):
			end = "answer " + msg.answer
		}
		counts[end]++
	}
	b.note("handed in %d: %v", len(sent), counts)
	for _, p := range []*instance{first, second, third} {
		for _, line := range p.grep("hot restart") {
			b.note("%s's log: %s", p.name, line)
		}
	}
	if len(taken) == 0 {
		b.unable("there was no traffic")
	}
	if !third.running() {
		b.note("the newest process has ended (%v), and nobody told it to: a crash; %d messages that were taken on have no end",
			third.err, lost)
		b.finish(exitBroken)
	}
	if lost > 0 {
		b.finish(exitBroken)
	}
	b.finish(exitHeld)
}

// upgrade starts a new process beside an old one, as the platform does: SIGTERM reaches the old one when the new one
// says yes, and SIGKILL follows 3.7 s later.
func (b *bench) upgrade(l *launcher, old *instance, name string) *instance {
	newer := l.start(name)
	if !newer.waitReadyFor(6 * time.Second) {
		b.note("process %s says no yes within 6 s, running: %v", name, newer.running())
		return newer
	}
	b.note("process %s says yes: SIGTERM to process %s", name, old.name)
	old.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-old.ended:
			b.note("process %s has ended: %v", old.name, old.err)
		case <-time.After(termToKill):
			b.note("SIGKILL to process %s", old.name)
			old.signal(syscall.SIGKILL)
		}
	}()
	go func() {
		<-newer.ended
		b.note("the end of process %s: %v", newer.name, newer.err)
	}()
	return newer
}
