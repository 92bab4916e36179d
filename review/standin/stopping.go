package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["stopping"] = stoppingCase }

const (
	stoppingRate    = 12 // messages a second
	stoppingTraffic = 32 * time.Second
)

// stoppingCase: a new process that is started while the old one ends after SIGTERM takes over and makes no call any
// more once the old one's time to end is over.
func stoppingCase(b *bench) {
	e := b.newEndpoint(always(200 * time.Millisecond))
	a := b.newAgent([]host{{
		Host: "s-1", Dial: e.addr, Site: "oulu-room1", Class: "university", Block: 7, Health: "active", Share: 1,
	}})
	l := b.newLauncher(a, settings(nil))
	old := l.start("old")
	if !old.waitReadyFor(30 * time.Second) {
		b.unable("the first process is not ready")
	}
	classes := []string{"run-record,k=%016x", "calib-state", "run-record,k=%016x", "beamtime-charge"}
	deadlines := []int{16000, 6000, 16000, 28000}
	t := b.handIn(l.addr, stoppingRate, 8, clump{}, func(n int) string {
		class := classes[n%len(classes)]
		if strings.Contains(class, "%") {
			class = fmt.Sprintf(class, n)
		}
		return fmt.Sprintf("c=%s,t=revontuli,d=%d,dest=7", class, deadlines[n%len(deadlines)])
	})
	began := time.Now()
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.note("SIGTERM to the old process; the new one is started 0.5 s later")
		old.signal(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
	}
	newer := l.start("new")
	ready := newer.waitReadyFor(6 * time.Second)
	b.note("the new process says that it is ready: %v", ready)
	if !ready {
		b.unable("the new process is not ready within 6 s: %v", newer.grep("error"))
	}
	if !b.trouble {
		b.note("SIGTERM to the old process")
		old.signal(syscall.SIGTERM)
	}
	select {
	case <-old.ended:
		b.note("the old process has ended: %v", old.err)
	case <-time.After(3700 * time.Millisecond):
		old.kill()
		b.note("SIGKILL to the old process")
	}
	time.Sleep(time.Until(began.Add(stoppingTraffic)))
	sent := t.end()
	b.note("the clients stop; the ends of the last messages are awaited")
	time.Sleep(28300 * time.Millisecond)
	judgeSilence(b, newer.proc, a, sent, e)
}
