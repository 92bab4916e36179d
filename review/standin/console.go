package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["console"] = consoleCase }

const (
	consoleRate  = 20                     // messages a second
	consoleCall  = 420 * time.Millisecond // 12 calls at once: 28 a second
	consoleLater = 6 * time.Second
)

// applianceFile is a file like deploy/appliance.toml, with RESP2 clients in place of AMQP's, an HTTP partner, and
// upgrade switched on.
const applianceFile = `name = "appliance"
upgrade = true

[limits]
memory_mb = 192
sockets = 1024
disk_mb = 16

[resp]
listen = %q
finals = %q

[console]
socket = "brackendale.sock"

[sender]
slots = 16
hold = 200

[[class]]
name = "run-record"
effect = "by_key"
aim_ms = 3000
deadline_ms = 16000
window_ms = 15000
worth = 2
late_worth = 0.5

[[class]]
name = "beamtime-charge"
effect = "once"
aim_ms = 2000
deadline_ms = 28000
worth = 4
late_worth = 0.3

[[route]]
name = "lab-archive"
dest = 1
proto = "http"
dial = %q
`

// consoleCase: a new version is started beside an appliance with a console. Both processes end.
func consoleCase(b *bench) {
	e := b.newEndpoint(always(consoleCall))
	a := b.newAgent(nil)
	listen := b.freePort()
	file := filepath.Join(b.temp, "appliance.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, applianceFile, listen, a.addr, e.addr), 0o600); err != nil {
		b.unable("%v", err)
	}
	state := b.folder("state")
	start := func(name string) *instance {
		control := b.freePort()
		return &instance{
			b.startWith(name, " --config "+file, []string{"LB_STATE=" + state, "LB_CONTROL=" + control}), control,
		}
	}
	old := start("old")
	b.waitReady(old.proc, listen)
	extra := clump{begin: 3 * time.Second, length: 500 * time.Millisecond, size: 56} // as many as it takes in 2 s
	t := b.handIn(listen, consoleRate, 8, extra, func(n int) string {
		if n%2 == 0 {
			return "c=beamtime-charge,d=28000,dest=1"
		}
		return fmt.Sprintf("c=run-record,d=16000,dest=1,k=%016x", n)
	})
	time.Sleep(4 * time.Second)
	procs := []*instance{old}
	if b.trouble {
		newer := start("new")
		procs = append(procs, newer)
		ready := newer.waitReadyFor(6 * time.Second)
		b.note("the new process says that it is ready: %v", ready)
		if ready { // as the platform does
			b.note("SIGTERM to the old process, SIGKILL 3.7 s later")
			old.signal(syscall.SIGTERM)
			time.AfterFunc(3700*time.Millisecond, func() { old.signal(syscall.SIGKILL) })
		}
	}
	time.Sleep(consoleLater)
	sent := t.end()
	running, gone := 0, time.Time{}
	for _, p := range procs {
		if p.running() {
			running++
			continue
		}
		if p.endAt.After(gone) {
			gone = p.endAt
		}
		b.note("process %s has ended: %v", p.name, p.err)
		for _, line := range append(p.grep("hot restart"), p.grep("brackendale: ")...) {
			b.note("%s's log: %s", p.name, line)
		}
	}
	b.note("the clients stop; the ends of the last messages are awaited")
	time.Sleep(28300 * time.Millisecond)

	taken, answered := map[string]int{}, map[string]bool{}
	for _, call := range e.seen() {
		taken[call.id]++
		answered[call.id] = answered[call.id] || running > 0 || call.at.Add(consoleCall).Before(gone)
	}
	b.writeMessages(sent, taken, a)
	counts, lost := map[string]int{}, 0
	for _, msg := range sent {
		ends, end := a.ends(msg.id), "no answer, or refused"
		switch {
		case answered[msg.id]:
			end = "delivered"
		case len(ends) > 0:
			end = "notice " + ends[0].State
		case strings.HasPrefix(msg.answer, "+") && taken[msg.id] > 0:
			lost++
			end = "taken on and called, and never ended"
		case strings.HasPrefix(msg.answer, "+"):
			lost++
			end = "taken on, and neither called nor ended"
		}
		counts[end]++
	}
	b.note("handed in %d: %v", len(sent), counts)
	if len(taken) == 0 {
		b.unable("there was no traffic")
	}
	if running == 0 {
		b.note("no process of the sender is left, and nobody told one to end; %d messages that were taken on have no end", lost)
		b.finish(exitBroken)
	}
	if lost > 0 {
		b.finish(exitBroken)
	}
	b.finish(exitHeld)
}
