package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	dutyActTime = 350 * time.Millisecond // the receiver needs so long for an act; longest_ms is 450
	dutyTerms   = 4                      // planned restarts of the holder
)

// dutyCall is the body of an act.
type dutyCall struct {
	Duty, Member string
	Epoch, Act   uint64
}

func (c dutyCall) String() string {
	return fmt.Sprintf("act %d of member %s under epoch %d", c.Act, c.Member, c.Epoch)
}

// receiver takes the acts of a duty. It keeps the highest epoch that it has seen, and answers 409 to a lower one.
type receiver struct {
	e    *env
	addr string

	mu       sync.Mutex
	highest  uint64
	open     map[dutyCall]time.Time // acts that are being done
	began    chan dutyCall
	done     int
	overlaps []string
}

func newReceiver(e *env) *receiver {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	e.must(err, "the receiver")
	r := &receiver{e: e, addr: l.Addr().String(), open: map[dutyCall]time.Time{}, began: make(chan dutyCall, 100)}
	go func() { _ = http.Serve(l, r) }()
	return r
}

func (r *receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	var call dutyCall
	if json.NewDecoder(request.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	if call.Epoch < r.highest {
		r.mu.Unlock()
		r.e.log("receiver: %s: 409, a higher epoch has been seen", call)
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.highest = call.Epoch
	r.e.log("receiver: %s begins", call)
	for other, since := range r.open {
		if other.Member != call.Member {
			text := fmt.Sprintf("%s began while %s was being done, for %v so far", call, other, time.Since(since).Round(time.Millisecond))
			r.overlaps = append(r.overlaps, text)
			r.e.log("receiver: TWO AT ONCE: %s", text)
		}
	}
	r.open[call] = time.Now()
	r.mu.Unlock()
	select {
	case r.began <- call:
	default:
	}
	given := false
	select {
	case <-time.After(dutyActTime):
	case <-request.Context().Done(): // the holder has closed its connection: the act is given up
		given = true
	}
	r.mu.Lock()
	delete(r.open, call)
	r.done++
	r.mu.Unlock()
	if given {
		r.e.log("receiver: %s is given up by its member", call)
		return
	}
	r.e.log("receiver: %s is done, 200", call)
	w.WriteHeader(http.StatusOK)
}

// duty: three members share a duty that calls a receiver. Each time, the holder is told to end (SIGTERM) while an act of
// its own is being done, and is started again.
func duty(e *env) {
	r := newReceiver(e)
	names := []string{"a", "b", "c"}
	addrs, members := map[string]string{}, []string{}
	for _, name := range names {
		addrs[name] = freeAddr()
		members = append(members, fmt.Sprintf("%q", name+"="+addrs[name]))
	}
	procs := map[string]*proc{}
	start := func(name string) {
		config := applianceConfig(name, freeAddr(), 16) + httpRoute("lab", 1, r.addr) + fmt.Sprintf(`[group]
name = %q
listen = %q
members = [%s]
lease_ms = 1000
drift = 0.01
[[duty]]
name = "nightly"
kind = "call"
url = "http://%s/act"
every_ms = 1000
longest_ms = 450
`, name, addrs[name], strings.Join(members, ", "), r.addr)
		procs[name] = e.serve(name, config, filepath.Join(e.dir, "state-"+name))
	}
	for _, name := range names {
		start(name)
	}
	wait := func() dutyCall {
		for len(r.began) > 0 {
			<-r.began
		}
		select {
		case call := <-r.began:
			return call
		case <-time.After(20 * time.Second):
			e.finish(unable, "nobody acts")
			return dutyCall{}
		}
	}
	wait()
	time.Sleep(4 * time.Second) // all three are there, and settled
	for range dutyTerms {
		call := wait()
		if !e.trouble {
			time.Sleep(5 * time.Second)
			continue
		}
		p := procs[call.Member]
		if p == nil {
			e.finish(unable, "an act of nobody")
		}
		time.Sleep(20 * time.Millisecond)
		p.signal(syscall.SIGTERM)
		e.log("member %s: SIGTERM, while its act is being done", call.Member)
		select {
		case <-p.done:
			e.log("member %s has ended", call.Member)
		case <-time.After(3700 * time.Millisecond):
			p.kill()
			e.log("member %s: SIGKILL", call.Member)
		}
		time.Sleep(600 * time.Millisecond)
		start(call.Member)
		time.Sleep(5 * time.Second)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.overlaps) > 0 {
		e.finish(broken, "%d times in %d planned ends of the holder two members did the duty at once; the first: %s", len(r.overlaps),
			dutyTerms, r.overlaps[0])
	}
	e.finish(held, "%d acts, never two at once", r.done)
}
