package app

import (
	"cmp"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/platform"
	"brackendale/internal/net/reactor"
	"brackendale/scheduler"
	"brackendale/sender"
)

// consoleTimeout is how long the console waits for the loop.
const consoleTimeout = time.Second

// errDiscoveryFixed reports a reload that would add or remove the registry.
var errDiscoveryFixed = errors.New("can be neither added nor left out while the sender runs")

// transport is the network side of a sender: the ingresses, egresses and registry watch that the configuration asks
// for, joined to the core. It belongs to the loop, except where a method says otherwise.
type transport struct {
	platformEgress *platform.Egress
	amqpEgress     *amqpfront.Egress
	registry       *platform.Registry // nil where the routes are the appliance's own

	platformIngress *platform.Ingress          // nil without RESP2 clients
	amqpIngress     *amqpfront.Ingress         // nil without AMQP clients
	serverTLS       atomic.Pointer[tls.Config] // of the AMQP ingress, as it was read last
	listeners       []*reactor.Listener

	clientRoom *conntable.SharedLimit      // shared by all client connections
	targetRoom *conntable.SharedLimit      // shared by all connections to endpoints
	tables     map[string]*conntable.Table // of client connections, by ingress

	stops []func() // of a graceful shutdown, in this order
}

// stop ends all connections in order.
func (t *transport) stop() {
	for _, stop := range t.stops {
		stop()
	}
}

// release stops all that the successor does from here on. What has not left is the successor's to decide on, which
// hears the results of its own attempts.
func (t *transport) release() {
	t.platformEgress.Stop()
	t.amqpEgress.Stop()
	for _, listener := range t.listeners {
		_ = listener.Close()
	}
	if t.platformIngress != nil {
		t.platformIngress.StopNotices()
	}
	if t.registry != nil {
		t.registry.Stop()
	}
	if t.amqpIngress != nil {
		t.amqpIngress.Close()
	}
}

// pauseListeners accepts no client for a while. It may be called on any goroutine.
func (t *transport) pauseListeners() {
	for _, listener := range t.listeners {
		listener.Pause()
	}
}

// resumeListeners ends pauseListeners. It may be called on any goroutine.
func (t *transport) resumeListeners() {
	for _, listener := range t.listeners {
		listener.Resume()
	}
}

// listVersion is the version of the registry's endpoint list; below 0: there is none.
func (t *transport) listVersion() int64 {
	if t.registry == nil {
		return -1
	}
	return t.registry.Seq()
}

// cancel cancels an attempt in flight.
func (t *transport) cancel(id string, attempt int) {
	t.platformEgress.Cancel(id, attempt)
	t.amqpEgress.Cancel(id, attempt)
}

// retireClients closes idle RESP2 connections and returns how many are left.
func (t *transport) retireClients() (left int) {
	if t.platformIngress == nil {
		return 0
	}
	return t.platformIngress.Retire()
}

// acceptingListeners is the number of listeners whose last newcomers have no handler yet.
func (t *transport) acceptingListeners() (count int) {
	for _, listener := range t.listeners {
		if !listener.Finished() {
			count++
		}
	}
	return count
}

// inFlight is the number of attempts in flight.
func (t *transport) inFlight() int { return t.platformEgress.Out() + t.amqpEgress.Out() }

// consoleView is what the console shows of the transport. It waits for the loop and may be called on any other
// goroutine.
func (t *transport) consoleView(loop *loop.Loop) console.Wire {
	done := make(chan console.Wire, 1)
	loop.Post(func() {
		stats := loop.Stats()
		view := console.Wire{Fronts: map[string]conntable.Stats{}, Timers: stats.Timers, Fired: stats.Fired}
		for ingress, table := range t.tables {
			view.Fronts[ingress] = table.Stats()
		}
		done <- view
	})
	select {
	case view := <-done:
		return view
	case <-time.After(consoleTimeout): // the loop has ended
		return console.Wire{}
	}
}

// applyConfig applies a configuration that was read again.
func (t *transport) applyConfig(core *sender.Sender, cfg config.Config) error {
	if (t.registry == nil) != (cfg.Discovery == "") {
		return &config.KeyError{Key: "discovery", Err: errDiscoveryFixed}
	}
	if t.registry == nil {
		core.UpdateRoutes(scheduler.UpdateFull, platform.Routes(cfg.Known))
	} else {
		t.registry.Move(cfg.Discovery)
	}
	if t.platformIngress != nil {
		t.platformIngress.Move(finalsAddr(cfg))
	}
	if t.amqpIngress != nil {
		t.amqpIngress.Follow(cfg.Policy)
		t.serverTLS.Store(cfg.Secure.Server)
	}
	t.amqpEgress.Secure(cfg.Secure.Targets)
	t.clientRoom.SetMaxConns(cfg.ClientSockets())
	t.targetRoom.SetMaxConns(cfg.TargetSockets())
	for ingress, table := range t.tables {
		table.SetLimits(clientLimits(ingress, cfg))
	}
	for _, listener := range t.listeners {
		listener.SetRate(cfg.Clients.AcceptPerS)
	}
	return nil
}

// finalsAddr is where the final answers of RESP2 clients' messages are sent.
func finalsAddr(cfg config.Config) string { return cmp.Or(cfg.Resp.Finals, cfg.Discovery) }
