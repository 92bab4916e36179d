package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/testing/fleet"
)

// The health of an endpoint, as sent in the endpoint list.
const (
	healthActive  = "active"
	healthLeaving = "leaving"
	healthLeft    = "left" // removed from the list
)

// change is one change of an entry of the endpoint list.
type change struct {
	seq       int64
	host      config.Host
	changedAt time.Time
}

// discovery is the stand-in registry: the endpoint list, served by an agent that may move, be unavailable, or leave
// watches without a response. It is safe for concurrent use.
type discovery struct {
	judge *Judge

	mu                sync.Mutex
	rng               *rand.Rand
	seq               int64
	hosts             map[string]config.Host
	changes           []change
	changesOnly       bool // a watch never gets the full list
	down              bool // the agent neither responds nor applies changes
	downSince         time.Time
	pending           []config.Host
	unresponsiveSince time.Time     // watches that began before never get a response
	reloaded          time.Time     // time of the last SIGHUP
	upgrading         bool          // a successor is starting beside the serving process
	upgraded          time.Time     // when the last successor was ready
	wake              chan struct{} // closed at each change of the list
	endpoints         map[string]*endpoint
	servers           []*http.Server
	ports             *fleet.Ports
	strays            *strayPlan // of the agent's connections; nil: none
	links             *links     // relays in front of the agents; nil: none
}

func newDiscovery(j *Judge, rng *rand.Rand, ports *fleet.Ports) *discovery {
	return &discovery{
		judge: j, rng: rng, ports: ports, hosts: map[string]config.Host{}, wake: make(chan struct{}),
		endpoints: map[string]*endpoint{},
	}
}

// startAgent starts an agent at a new address. The previous one closes its connections a little later.
func (d *discovery) startAgent() (addr string, err error) {
	ln, err := fleet.NewStampedListener(d.ports)
	if err != nil {
		return "", err
	}
	relay, err := d.links.relayAgent(ln.Addr().String())
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			d.serve(relay, writer, request)
		}),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	go func() { _ = server.Serve(d.strays.listen(ln)) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, old := range d.servers {
		time.AfterFunc(1500*time.Millisecond, func() { _ = old.Close() })
	}
	d.servers = []*http.Server{server}
	if relay != nil {
		return relay.Addr(), nil
	}
	return ln.Addr().String(), nil
}

// update changes an entry of the list, or queues the change while the agent is unavailable. The sender must have the
// change as soon as the agent has it, or a little later after a SIGHUP, an upgrade or an unresponsive watch.
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

// apply changes the list and wakes the watches. The caller must hold mu.
func (d *discovery) apply(host config.Host) {
	now := time.Now()
	d.seq++
	if host.Health == healthLeft {
		delete(d.hosts, host.Host)
	} else {
		d.hosts[host.Host] = host
	}
	d.changes = append(d.changes, change{d.seq, host, now})
	knownFrom := d.links.knownFrom(now)
	if delayed := d.reloaded.Add(reloadDelay); now.Before(delayed) && delayed.After(knownFrom) {
		knownFrom = delayed
	}
	if delayed := d.unresponsiveSince.Add(unresponsiveWatchDelay); now.Before(delayed) && delayed.After(knownFrom) {
		knownFrom = delayed
	}
	if delayed := d.upgraded.Add(upgradeDelay); d.upgrading || now.Before(delayed) && delayed.After(knownFrom) {
		knownFrom = delayed
	}
	if d.upgrading {
		knownFrom = now.Add(readyTimeout + upgradeDelay) // upper bound until the new process is ready
	}
	if endpoint := d.endpoints[host.Host]; host.Health != healthActive && endpoint != nil {
		endpoint.mu.Lock()
		if endpoint.drainFrom.IsZero() || knownFrom.Before(endpoint.drainFrom) {
			endpoint.drainFrom = knownFrom
		}
		endpoint.mu.Unlock()
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down && !down {
		d.extendDrains(d.downSince)
	}
	if !d.down && down {
		d.downSince = time.Now()
	}
	d.down = down
	if down {
		d.revertRecentChanges()
	}
	if !down {
		for _, pendingHost := range d.pending {
			d.apply(pendingHost)
		}
		d.pending = nil
	}
}

// recordCut records that the agent's links are cut off, until the returned function is called.
func (d *discovery) recordCut() (ended func()) {
	startTime := time.Now()
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.extendDrains(startTime)
	}
}

// extendDrains makes the changes that did not count as told when an outage of the agent began count as told as late as
// those of the outage's end, which is now: on a link with faults their responses may not have arrived. The caller must
// hold mu.
func (d *discovery) extendDrains(outageStart time.Time) {
	if d.links == nil {
		return
	}
	knownFrom := time.Now().Add(unresponsiveWatchDelay)
	for _, endpoint := range d.endpoints {
		endpoint.mu.Lock()
		if endpoint.drainFrom.After(outageStart) && knownFrom.After(endpoint.drainFrom) {
			endpoint.drainFrom = knownFrom
		}
		endpoint.mu.Unlock()
	}
}

// revertRecentChanges takes back the changes of the last slack and queues them: the agent may have become
// unavailable before their responses were written, and sends them when it is available again.
func (d *discovery) revertRecentChanges() {
	for count := len(d.changes); count > 0 && time.Since(d.changes[count-1].changedAt) < slack; count = len(d.changes) {
		changed := d.changes[count-1].host
		d.changes = d.changes[:count-1]
		d.pending = append([]config.Host{changed}, d.pending...)
		if endpoint := d.endpoints[changed.Host]; endpoint != nil && changed.Health != healthActive {
			endpoint.mu.Lock()
			endpoint.drainFrom = time.Time{}
			endpoint.mu.Unlock()
		}
	}
}

// makeWatchesUnresponsive leaves the open watches without a response forever.
func (d *discovery) makeWatchesUnresponsive() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsiveSince = time.Now()
	// The responses with the latest changes may not have been written.
	for _, change := range d.changes[max(0, len(d.changes)-10):] {
		if endpoint := d.endpoints[change.host.Host]; endpoint != nil && d.unresponsiveSince.Sub(change.changedAt) < slack {
			endpoint.mu.Lock()
			if !endpoint.drainFrom.IsZero() {
				endpoint.drainFrom = d.unresponsiveSince.Add(unresponsiveWatchDelay)
			}
			endpoint.mu.Unlock()
		}
	}
}

// recordReload records a SIGHUP.
func (d *discovery) recordReload() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reloaded = time.Now()
}

// recordUpgrade records the begin of an upgrade. The returned function records its end: changes in between apply
// upgradeDelay after the end.
func (d *discovery) recordUpgrade() (ready func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	startTime := time.Now().Add(-slack)
	d.upgrading = true
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.upgrading, d.upgraded = false, time.Now()
		for _, change := range d.changes {
			if endpoint := d.endpoints[change.host.Host]; endpoint != nil && change.host.Health != healthActive &&
				change.changedAt.After(startTime) {
				knownFrom := d.links.knownFrom(change.changedAt)
				if delayed := d.upgraded.Add(upgradeDelay); delayed.After(knownFrom) {
					knownFrom = delayed
				}
				endpoint.mu.Lock()
				endpoint.drainFrom = knownFrom
				endpoint.mu.Unlock()
			}
		}
	}
}

func (d *discovery) currentList() config.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullList()
}

func (d *discovery) fullList() config.EndpointList {
	list := config.EndpointList{Seq: d.seq, Whole: true}
	for _, entry := range d.hosts {
		list.Hosts = append(list.Hosts, entry)
	}
	return list
}

// serve answers a request that came to an agent over its relay; nil: it came directly.
func (d *discovery) serve(relay *fleet.Relay, writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v2/finals" {
		arrivedAt := noticeArrival(relay, request)
		var finalAnswer struct{ ID, State string }
		for decoder := json.NewDecoder(bufio.NewReader(request.Body)); decoder.Decode(&finalAnswer) == nil; {
			d.judge.recordFinal(finalAnswer.ID, finalAnswer.State, arrivedAt)
		}
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	startTime := time.Now()
	index, watch := int64(-1), request.URL.Query().Get("index") != ""
	if watch {
		index, _ = strconv.ParseInt(request.URL.Query().Get("index"), 10, 64)
	}
	waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait"))
	for deadline := startTime.Add(time.Duration(waitMs) * time.Millisecond); ; {
		d.mu.Lock()
		unreachable := d.down || watch && startTime.Before(d.unresponsiveSince)
		ready := !watch || d.seq > index
		wake := d.wake
		var response []byte
		if !unreachable && (ready || !time.Now().Before(deadline)) {
			response = d.response(watch, index)
		}
		d.mu.Unlock()
		if response != nil {
			_, _ = writer.Write(response)
			d.judge.count("list bytes", len(response))
			return
		}
		interval := 20 * time.Millisecond // the end of an unavailability is not signalled
		select {
		case <-request.Context().Done():
			return
		case <-wake:
		case <-time.After(interval):
		}
	}
}

// response returns the full list, or the changes since a version, at times as indented JSON.
func (d *discovery) response(watch bool, index int64) []byte {
	list := config.EndpointList{Seq: d.seq}
	if watch && (d.changesOnly || d.rng.Intn(4) > 0) && index <= d.seq {
		for _, change := range d.changes {
			if change.seq > index {
				list.Hosts = append(list.Hosts, change.host)
			}
		}
	} else {
		list = d.fullList()
	}
	if list.Hosts == nil {
		list.Hosts = []config.Host{}
	}
	raw, err := json.Marshal(list)
	if d.rng.Intn(3) == 0 {
		raw, err = json.MarshalIndent(list, "", "  ")
	}
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return raw
}
