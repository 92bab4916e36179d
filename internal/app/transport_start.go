package app

import (
	"cmp"
	"crypto/tls"
	"errors"
	"math"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/hotrestart"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/platform"
	"brackendale/internal/net/reactor"
	"brackendale/scheduler"
	"brackendale/sender"
)

const (
	// unknownDowntime stands for a downtime of unknown length: it is longer than any real one.
	unknownDowntime = time.Duration(math.MaxInt64 / 2)
	// noListVersion replaces the version of an endpoint list that was received from another registry.
	noListVersion = -1
)

// errNoServerTLS fails the handshake of a TLS client after a reload has removed the certificates from the
// configuration.
var errNoServerTLS = errors.New("TLS certificates are no longer configured")

// transportParams are the parameters of newTransport.
type transportParams struct {
	core     *sender.Sender
	reactor  *reactor.Reactor
	cfg      config.Config
	handover *hotrestart.State                  // of the predecessor; nil without a hot restart
	console  console.Sources                    // what the console shows and controls apart from the transport
	retry    func(operation func() error) error // repeats an operation that fails with a transient error
	sockets  *listeningSockets                  // that are open already
	// startPaused makes the ingresses accept no client until resumeListeners is called.
	startPaused bool
	// consoleLater leaves the console to a later call of startConsole, since the predecessor keeps its own.
	consoleLater bool
}

// newTransport connects ingresses, egresses and the registry watch to the core, and opens the console.
func newTransport(params transportParams) (*transport, error) {
	if params.sockets == nil {
		params.sockets = newListeningSockets()
	}
	t := &transport{
		clientBudget:   conntable.NewSharedLimit(params.cfg.ClientSockets()),
		endpointBudget: conntable.NewSharedLimit(params.cfg.TargetSockets()),
		tables:         map[string]*conntable.Table{},
	}
	t.startEgresses(params)
	t.startRoutes(params)
	for _, start := range []func(transportParams) error{t.startPlatformIngress, t.startAMQPIngress} {
		if err := start(params); err != nil {
			return nil, err
		}
	}
	t.stops = append(t.stops, t.console.stop)
	if params.consoleLater {
		return t, nil
	}
	return t, t.startConsole(params)
}

func (t *transport) startEgresses(params transportParams) {
	t.platformEgress = platform.NewEgress(params.core, params.reactor, params.cfg.Settings, t.endpointBudget)
	params.core.AddEgress(platform.Proto, t.platformEgress)
	connectTimeout := microseconds(params.cfg.Settings.Limits.ConnectTimeoutUs)
	t.amqpEgress = amqpfront.NewEgress(params.core, params.reactor, connectTimeout, t.endpointBudget)
	t.amqpEgress.SetTLSConfigs(params.cfg.TLSConfigs.Targets)
	t.amqpEgress.Gate = t.platformEgress.Gate // a destination may have endpoints of both protocols
	t.stops = append(t.stops, params.reactor.AllowAllGracefulCloses, t.platformEgress.Stop, t.amqpEgress.Stop)
	params.core.AddEgress(amqpfront.Proto, t.amqpEgress)
}

// startRoutes gets the routes from the configuration or from a watch of the registry.
func (t *transport) startRoutes(params transportParams) {
	if params.cfg.Discovery == "" {
		params.core.UpdateRoutes(scheduler.UpdateFull, platform.Routes(params.cfg.Endpoints))
		return
	}
	watched := platform.WatchOptions{
		Senders:    params.cfg.Settings.Senders,
		Seed:       int64(params.cfg.Seed),
		DrainGrace: microseconds(params.cfg.Settings.Rules.DrainWithinUs),
		ListAge:    unknownDowntime,
	}
	if downtime, ok := params.core.Downtime(); ok {
		watched.ListAge = downtime
	}
	if params.handover == nil {
		t.registry = platform.Watch(params.core, params.reactor, params.cfg.Discovery, params.cfg.Endpoints, watched)
		return
	}
	routes, version := params.handover.Core.Routes, params.handover.ListVersion
	if params.handover.Discovery != params.cfg.Discovery {
		version = noListVersion // versions of different registries cannot be compared
	}
	t.registry = platform.ResumeWatch(params.core, params.reactor, params.cfg.Discovery, routes, version, watched)
}

func (t *transport) startPlatformIngress(params transportParams) error {
	addr := cmp.Or(params.cfg.Listen, params.cfg.Resp.Listen)
	if addr == "" {
		return nil
	}
	appliance := params.cfg.Resp.Listen != ""
	table := t.newTable(platform.Front, params.cfg)
	t.platformIngress = platform.NewIngress(params.core, params.reactor, finalsAddr(params.cfg), table, appliance)
	t.platformIngress.LimitPartialMemory(partialMemoryLimit(params.cfg))
	t.platformIngress.SetNoticeRoom(t.endpointBudget)
	params.core.AddIngress(platform.Front, t.platformIngress)
	params.core.Metrics().AddMetrics(t.platformIngress.CollectMetrics)
	var overLimitReply []byte // to clients beyond the connection limit; those of the platform get no reply
	if appliance {
		overLimitReply = platform.OverLimitReply
	}
	serve := func(socket *reactor.Socket) *reactor.Listener {
		return params.reactor.Serve(socket, overLimitReply, t.platformIngress.Accept)
	}
	if params.cfg.AcceptFD > 0 {
		inherit := func() (*reactor.Socket, error) { return inheritClientSocket(params.cfg.AcceptFD) }
		if err := t.listen(params, inherit, serve); err != nil {
			return err
		}
	} else if err := t.listenAt(params, addr, serve); err != nil {
		return err
	}
	t.stops = append(t.stops, t.platformIngress.CloseIdle)
	return nil
}

func (t *transport) startAMQPIngress(params transportParams) error {
	if !params.cfg.AMQP.Serves() {
		return nil
	}
	t.amqpIngress = amqpfront.NewIngress(params.core, params.reactor, amqpfront.Options{
		Policy:    params.cfg.Policy,
		Heartbeat: time.Duration(params.cfg.AMQP.HeartbeatS) * time.Second,
		Channels:  params.cfg.AMQP.Channels,
	}, t.newTable(amqpfront.FrontName, params.cfg))
	t.amqpIngress.LimitPartialMemory(partialMemoryLimit(params.cfg))
	if addr := params.cfg.AMQP.Listen; addr != "" {
		if err := t.listenAt(params, addr, func(socket *reactor.Socket) *reactor.Listener {
			return params.reactor.Serve(socket, amqpfront.OverLimitReply, t.amqpIngress.Accept)
		}); err != nil {
			return err
		}
	}
	t.serverTLS.Store(params.cfg.TLSConfigs.Server)
	if addr := params.cfg.AMQP.TLS.Listen; addr != "" {
		if err := t.listenAt(params, addr, func(socket *reactor.Socket) *reactor.Listener {
			return params.reactor.ServeTLS(socket, t.listenerTLS(), t.amqpIngress.Accept)
		}); err != nil {
			return err
		}
	}
	t.stops = append(t.stops, t.amqpIngress.Close)
	return nil
}

// startConsole opens the console, if one is configured. It may be called on any goroutine.
func (t *transport) startConsole(params transportParams) error {
	path := consolePath(params.cfg)
	if path == "" {
		return nil
	}
	loop := params.reactor.Loop
	params.console.TransportStats = func() console.TransportStats { return t.consoleView(loop) }
	return params.retry(func() error {
		listener, err := params.sockets.takeConsole(path)
		if err != nil {
			return err
		}
		t.console.set(listener)
		console.Serve(listener, params.core, params.console)
		return nil
	})
}

// newTable creates the connection table of an ingress.
func (t *transport) newTable(ingress string, cfg config.Config) *conntable.Table {
	t.tables[ingress] = t.clientBudget.NewTable(clientLimits(ingress, cfg))
	return t.tables[ingress]
}

// listenAt accepts clients at an address.
func (t *transport) listenAt(params transportParams, addr string,
	serve func(*reactor.Socket) *reactor.Listener,
) error {
	open := func() (*reactor.Socket, error) { return params.sockets.takeTCP(addr) }
	return t.listen(params, open, serve)
}

// listen opens a socket and serves it.
func (t *transport) listen(params transportParams, open func() (*reactor.Socket, error),
	serve func(*reactor.Socket) *reactor.Listener,
) error {
	return params.retry(func() error {
		socket, err := open()
		if err != nil {
			return err
		}
		if params.startPaused {
			socket.StartPaused()
		}
		t.addListener(serve(socket), params.cfg)
		return nil
	})
}

// inheritClientSocket returns the clients' socket that the program which started this process has passed to it.
func inheritClientSocket(descriptor int) (*reactor.Socket, error) {
	socket, err := reactor.InheritSocket(descriptor)
	if err != nil {
		return nil, &config.KeyError{Key: "LB_ACCEPT_FD", Err: err}
	}
	return socket, nil
}

// listenerTLS returns a configuration with which each handshake uses the certificates loaded last.
func (t *transport) listenerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			if cfg := t.serverTLS.Load(); cfg != nil {
				return cfg, nil
			}
			return nil, errNoServerTLS
		},
	}
}

func (t *transport) addListener(listener *reactor.Listener, cfg config.Config) {
	listener.SetRate(cfg.Clients.AcceptPerS)
	t.listeners = append(t.listeners, listener)
	t.stops = append(t.stops, func() { _ = listener.Close() })
}
