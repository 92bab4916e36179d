package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// goneReplaced is how many endpoints are replaced, one after another, behind the one that is gone.
const goneReplaced = 300

// gone: an endpoint is gone, another destination's endpoint has its address, and many others are replaced after it. Then
// discovery is down, and the sender is killed and comes back with its folder, and with a list that is old.
func gone(e *env) {
	old, stays := newEndpoint(e), newEndpoint(e)
	entry := func(id, dial, health string) host {
		return host{Host: id, Dial: dial, Site: "oulu-room1", Class: "university", Block: 7, Health: health, Share: 1}
	}
	first := []host{entry("s-old", old.addr, "active"), entry("s-stays", stays.addr, "active")}
	ag := newAgent(e, first)
	listen, state := freeAddr(), filepath.Join(e.dir, "state")
	p := e.servePlatform("n1", listen, ag.addr, state, first)
	e.waitPong(p)
	hand := func(prefix string, span time.Duration) (taken int) {
		for n, end := 0, time.Now().Add(span); time.Now().Before(end); n++ {
			id := fmt.Sprintf("%s%d", prefix, n)
			answer := submit(listen, id, "calib-state", 7, 6000)
			e.log("client: %s answered %q", id, answer)
			if answer == "+OK" {
				taken++
			}
			time.Sleep(50 * time.Millisecond)
		}
		return taken
	}
	hand("before", 2*time.Second)
	e.log("endpoint s-old has run %d messages", old.total())
	ag.change(entry("s-old", old.addr, "leaving"))
	e.log("discovery: s-old leaves")
	time.Sleep(3 * time.Second)
	ag.change(entry("s-old", old.addr, "left"))
	e.log("discovery: s-old has left")
	time.Sleep(time.Second)
	ag.change(host{
		Host: "s-new", Dial: old.addr, Site: "oulu-room1", Class: "university", Block: 8, Health: "active", Share: 1,
	})
	e.log("discovery: s-new of destination 8 joins at the address that s-old had")
	time.Sleep(time.Second)
	e.log("client: for destination 8: %q", submit(listen, "eight", "calib-state", 8, 6000))
	for n := range goneReplaced { // a new endpoint joins, and goes again
		id := fmt.Sprintf("s-%08x", n)
		ag.change(entry(id, stays.addr, "active"))
		time.Sleep(40 * time.Millisecond)
		ag.change(entry(id, stays.addr, "leaving"))
		time.Sleep(40 * time.Millisecond)
		ag.change(entry(id, stays.addr, "left"))
		time.Sleep(40 * time.Millisecond)
	}
	e.log("discovery: %d endpoints have joined and left", goneReplaced)
	time.Sleep(2 * time.Second)
	if e.trouble {
		ag.setSilent(true)
		e.log("discovery: down")
	}
	time.Sleep(time.Second)
	p.signal(syscall.SIGKILL)
	<-p.done
	e.log("sender: SIGKILL")
	time.Sleep(600 * time.Millisecond)
	started := time.Now()
	p = e.servePlatform("n1", listen, ag.addr, state, first)
	e.waitPong(p)
	late := 0
	old.setAnswer(func(id string) (int, time.Duration) {
		after := time.Since(started)
		e.log("s-new gets %s, %v after the start", id, after)
		if strings.HasPrefix(id, "after") && after > 2050*time.Millisecond {
			old.mu.Lock()
			late++
			old.mu.Unlock()
		}
		return 200, 0
	})
	hand("after", time.Until(started.Add(6*time.Second)))
	ag.setSilent(false)
	time.Sleep(time.Second)
	old.mu.Lock()
	defer old.mu.Unlock()
	if late > 0 {
		e.finish(broken, "s-new of destination 8 got %d messages for destination 7 later than 2.05 s after the start, since "+
			"s-old, which was told to be gone, had its address", late)
	}
	e.finish(held, "no message for destination 7 went to s-new")
}
