package app

import (
	"cmp"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/hotrestart"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/platform"
	"brackendale/internal/net/reactor"
	"brackendale/scheduler"
	"brackendale/sender"
)

// consoleTimeout is how long the console waits for the event loop.
const consoleTimeout = time.Second

// errDiscoveryFixed reports a reload that would add or remove the registry.
var errDiscoveryFixed = errors.New("cannot be added or removed while the sender runs")

// transport is the network side of a sender: the ingresses, egresses and registry watch of the configuration,
// connected to the core. Its methods are called on the event loop, unless their comments say otherwise.
type transport struct {
	platformEgress *platform.Egress
	amqpEgress     *amqpfront.Egress
	registry       *platform.Registry // nil if the routes are configured

	platformIngress *platform.Ingress          // nil without RESP2 clients
	amqpIngress     *amqpfront.Ingress         // nil without AMQP clients
	serverTLS       atomic.Pointer[tls.Config] // of the AMQP ingress, as last loaded
	listeners       []*reactor.Listener
	console         consoleSocket

	clientBudget   *conntable.SharedLimit      // limit shared by all client connections
	endpointBudget *conntable.SharedLimit      // limit shared by all connections to endpoints
	tables         map[string]*conntable.Table // connection tables of the clients, by ingress

	stops []func() // steps of a graceful shutdown, in order
}

// stop closes all connections gracefully.
func (t *transport) stop() {
	for _, stop := range t.stops {
		stop()
	}
}

// release stops everything that the successor does from now on. The successor decides about messages that have not
// been sent; it is notified of the results of the attempts in flight here.
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
	t.console.release()
}

// share returns the listening sockets for a successor: their names and duplicates of their descriptors, which the
// caller closes. It may be called on any goroutine.
func (t *transport) share() (names []hotrestart.ListenerName, descriptors []int, err error) {
	for _, listener := range t.listeners {
		descriptor, shareErr := listener.Share()
		if shareErr != nil {
			err = errors.Join(err, shareErr)
			continue
		}
		names = append(names, hotrestart.ListenerName{Network: networkTCP, Address: listener.Addr().String()})
		descriptors = append(descriptors, descriptor)
	}
	name, descriptor, ok, shareErr := t.console.share()
	if ok {
		names, descriptors = append(names, name), append(descriptors, descriptor)
	}
	return names, descriptors, errors.Join(err, shareErr)
}

// pauseListeners stops accepting clients until resumeListeners is called. It may be called on any goroutine.
func (t *transport) pauseListeners() {
	for _, listener := range t.listeners {
		listener.Pause()
	}
}

// resumeListeners accepts clients again. It may be called on any goroutine.
func (t *transport) resumeListeners() {
	for _, listener := range t.listeners {
		listener.Resume()
	}
}

// listVersion returns the version of the registry's endpoint list; negative if there is none.
func (t *transport) listVersion() int64 {
	if t.registry == nil {
		return -1
	}
	return t.registry.Version()
}

// cancelAttempt cancels an attempt in flight.
func (t *transport) cancelAttempt(id string, attempt int) {
	t.platformEgress.Cancel(id, attempt)
	t.amqpEgress.Cancel(id, attempt)
}

// shareRetryAfter sends each Retry-After that arrives here to the other process of a hot restart.
func (t *transport) shareRetryAfter(link *restartLink) {
	t.platformEgress.ShareRetryAfter = func(route string, retryAfterMs int64) {
		link.send(hotrestart.Message{Kind: hotrestart.KindRetryAfter, Route: route, RetryAfterMs: retryAfterMs})
	}
}

// closeIdleClients closes idle RESP2 connections and returns the number of remaining ones.
func (t *transport) closeIdleClients() (remaining int) {
	if t.platformIngress == nil {
		return 0
	}
	return t.platformIngress.Retire()
}

// acceptingListeners returns the number of listeners whose last accepted connections have no handler yet.
func (t *transport) acceptingListeners() (count int) {
	for _, listener := range t.listeners {
		if !listener.Finished() {
			count++
		}
	}
	return count
}

// inFlight returns the number of attempts in flight.
func (t *transport) inFlight() int { return t.platformEgress.InFlight() + t.amqpEgress.InFlight() }

// consoleView returns the state of the transport that the console shows. It waits for the event loop and may be called
// on any other goroutine.
func (t *transport) consoleView(loop *loop.Loop) console.TransportStats {
	done := make(chan console.TransportStats, 1)
	loop.Post(func() {
		stats := loop.Stats()
		view := console.TransportStats{Fronts: map[string]conntable.Stats{}, Timers: stats.Timers, Fired: stats.Fired}
		for ingress, table := range t.tables {
			view.Fronts[ingress] = table.Stats()
		}
		done <- view
	})
	select {
	case view := <-done:
		return view
	case <-time.After(consoleTimeout): // the event loop has stopped
		return console.TransportStats{}
	}
}

// applyConfig applies a reloaded configuration.
func (t *transport) applyConfig(core *sender.Sender, cfg config.Config) error {
	if (t.registry == nil) != (cfg.Discovery == "") {
		return &config.KeyError{Key: "discovery", Err: errDiscoveryFixed}
	}
	if t.registry == nil {
		core.UpdateRoutes(scheduler.UpdateFull, platform.Routes(cfg.Endpoints))
	} else {
		t.registry.SetAgent(cfg.Discovery)
	}
	if t.platformIngress != nil {
		t.platformIngress.SetAgent(finalsAddr(cfg))
	}
	if t.amqpIngress != nil {
		t.amqpIngress.SetPolicy(cfg.Policy)
		t.serverTLS.Store(cfg.TLSConfigs.Server)
	}
	t.amqpEgress.SetTLSConfigs(cfg.TLSConfigs.Targets)
	t.clientBudget.SetMaxConns(cfg.ClientSockets())
	t.endpointBudget.SetMaxConns(cfg.TargetSockets())
	for ingress, table := range t.tables {
		table.SetLimits(clientLimits(ingress, cfg))
	}
	for _, listener := range t.listeners {
		listener.SetRate(cfg.Clients.AcceptPerS)
	}
	return nil
}

// finalsAddr returns the address to which the final answers of RESP2 clients' messages are sent.
func finalsAddr(cfg config.Config) string { return cmp.Or(cfg.Resp.FinalsAddr, cfg.Discovery) }
