package soak

import (
	"bufio"
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"brackendale/internal/config"
)

// The health of an endpoint, as the list names it.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
	healthLeft    = "left" // it is not listed any more
)

// change is one change of an entry of the list.
type change struct {
	seq  int64
	host config.Host
	at   time.Time
}

// discovery is the list of endpoints, behind an agent that may move, be down, slow, or stop answering. Its methods may
// be called by any goroutine.
type discovery struct {
	judge *Judge

	mu          sync.Mutex
	rng         *rand.Rand
	seq         int64
	hosts       map[string]config.Host
	changes     []change
	changesOnly bool // a watch is never answered with the whole list
	down        bool // the agent neither answers nor takes changes
	pending     []config.Host
	silent      time.Time     // when the watches that were open last fell silent
	reloaded    time.Time     // the last SIGHUP
	upgrading   bool          // a new process takes the place of one that serves
	upgraded    time.Time     // when it was ready
	wake        chan struct{} // closed when something changes
	endpoints   map[string]*endpoint
	servers     []*http.Server
}

func newDiscovery(j *Judge, rng *rand.Rand) *discovery {
	return &discovery{
		judge: j, rng: rng, hosts: map[string]config.Host{}, wake: make(chan struct{}),
		endpoints: map[string]*endpoint{},
	}
}

// agent opens one more address of the agent's. The ones before close their connections a little later.
func (d *discovery) agent() (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = s.Serve(ln) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, old := range d.servers {
		time.AfterFunc(1500*time.Millisecond, func() { _ = old.Close() })
	}
	d.servers = []*http.Server{s}
	return ln.Addr().String(), nil
}

// update changes an entry. The sender must know it when the agent has it, after SIGHUP and a silent
// watch a little later.
func (d *discovery) update(host config.Host, endpoint *endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpoints[host.Host] = endpoint
	if d.down {
		d.pending = append(d.pending, host)
		return
	}
	d.apply(host)
}

// apply changes the list and wakes the watches. The lock is held.
func (d *discovery) apply(host config.Host) {
	now := time.Now()
	d.seq++
	if host.Health == healthLeft {
		delete(d.hosts, host.Host)
	} else {
		d.hosts[host.Host] = host
	}
	d.changes = append(d.changes, change{d.seq, host, now})
	knownFrom := now
	if at := d.reloaded.Add(reloadDelay); now.Before(at) {
		knownFrom = at
	}
	if at := d.silent.Add(silentWatchDelay); now.Before(at) && at.After(knownFrom) {
		knownFrom = at
	}
	if at := d.upgraded.Add(upgradeDelay); d.upgrading || now.Before(at) && at.After(knownFrom) {
		knownFrom = at
	}
	if d.upgrading {
		knownFrom = now.Add(readyDue + upgradeDelay) // until it is known when the new process is ready
	}
	if e := d.endpoints[host.Host]; host.Health != healthActive && e != nil {
		e.mu.Lock()
		if e.drainFrom.IsZero() || knownFrom.Before(e.drainFrom) {
			e.drainFrom = knownFrom
		}
		e.mu.Unlock()
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down {
		d.revertUnwritten()
	}
	if !down {
		for _, h := range d.pending {
			d.apply(h)
		}
		d.pending = nil
	}
}

// revertUnwritten takes back the changes of this moment: the agent may have fallen silent before it was
// written, and then learns it when it is back.
func (d *discovery) revertUnwritten() {
	for n := len(d.changes); n > 0 && time.Since(d.changes[n-1].at) < slack; n = len(d.changes) {
		h := d.changes[n-1].host
		d.changes = d.changes[:n-1]
		d.pending = append([]config.Host{h}, d.pending...)
		if e := d.endpoints[h.Host]; e != nil && h.Health != healthActive {
			e.mu.Lock()
			e.drainFrom = time.Time{}
			e.mu.Unlock()
		}
	}
}

// fallSilent makes the open watches never answer.
func (d *discovery) fallSilent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = time.Now()
	for _, c := range d.changes[max(0, len(d.changes)-10):] { // the last answers may not have been written
		if e := d.endpoints[c.host.Host]; e != nil && d.silent.Sub(c.at) < slack {
			e.mu.Lock()
			if !e.drainFrom.IsZero() {
				e.drainFrom = d.silent.Add(silentWatchDelay)
			}
			e.mu.Unlock()
		}
	}
}

// recordReload records a SIGHUP.
func (d *discovery) recordReload() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reloaded = time.Now()
}

// recordUpgrade records that an upgrade begins. The returned function records its end: what the agent tells meanwhile
// binds a while after that.
func (d *discovery) recordUpgrade() (ready func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	began := time.Now().Add(-slack)
	d.upgrading = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.upgrading, d.upgraded = false, time.Now()
		for _, c := range d.changes {
			if e := d.endpoints[c.host.Host]; e != nil && c.host.Health != healthActive && c.at.After(began) {
				e.mu.Lock()
				e.drainFrom = d.upgraded.Add(upgradeDelay)
				e.mu.Unlock()
			}
		}
	}
}

func (d *discovery) known() config.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole()
}

func (d *discovery) whole() config.EndpointList {
	l := config.EndpointList{Seq: d.seq, Whole: true}
	for _, h := range d.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	return l
}

func (d *discovery) serve(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v2/finals" {
		var f struct{ ID, State string }
		for dec := json.NewDecoder(bufio.NewReader(request.Body)); dec.Decode(&f) == nil; {
			d.judge.recordFinal(f.ID, f.State)
		}
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	began := time.Now()
	index, watch := int64(-1), request.URL.Query().Get("index") != ""
	if watch {
		index, _ = strconv.ParseInt(request.URL.Query().Get("index"), 10, 64)
	}
	ms, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	for until := began.Add(time.Duration(ms) * time.Millisecond); ; {
		d.mu.Lock()
		unreachable := d.down || watch && began.Before(d.silent)
		ready := !watch || d.seq > index
		wake := d.wake
		var answer []byte
		if !unreachable && (ready || !time.Now().Before(until)) {
			answer = d.answer(watch, index)
		}
		d.mu.Unlock()
		if answer != nil {
			_, _ = writer.Write(answer)
			d.judge.count("list bytes", len(answer))
			return
		}
		gap := 20 * time.Millisecond // the end of a silence is not signalled
		select {
		case <-request.Context().Done():
			return
		case <-wake:
		case <-time.After(gap):
		}
	}
}

// answer is a whole list, or what has changed since a version; some come indented.
func (d *discovery) answer(watch bool, index int64) []byte {
	l := config.EndpointList{Seq: d.seq}
	if watch && (d.changesOnly || d.rng.Intn(4) > 0) && index <= d.seq {
		for _, c := range d.changes {
			if c.seq > index {
				l.Hosts = append(l.Hosts, c.host)
			}
		}
	} else {
		l = d.whole()
	}
	if l.Hosts == nil {
		l.Hosts = []config.Host{}
	}
	raw, err := json.Marshal(l)
	if d.rng.Intn(3) == 0 {
		raw, err = json.MarshalIndent(l, "", "  ")
	}
	if err != nil {
		panic(err) // strings and numbers
	}
	return raw
}
