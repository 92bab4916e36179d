package app

import (
	"cmp"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"path/filepath"
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
	// unknownDowntime stands for a downtime that nobody knows: longer than any.
	unknownDowntime = time.Duration(math.MaxInt64 / 2)
	// noListVersion is the version of an endpoint list that another registry has sent.
	noListVersion = -1
)

// errNoServerTLS reports a TLS client of a sender whose configuration has lost its certificates.
var errNoServerTLS = errors.New("no keys are configured any more")

// transportParams are what a transport is made of.
type transportParams struct {
	core     *sender.Sender
	reactor  *reactor.Reactor
	cfg      config.Config
	handover *hotrestart.State             // of a predecessor; nil: none
	console  console.Sources               // what the console asks beside the transport
	retry    func(part func() error) error // does what the system may refuse for a moment
}

// newTransport joins ingresses, egresses and the registry watch to the core, and opens the console.
func newTransport(params transportParams) (*transport, error) {
	t := &transport{
		clientRoom: conntable.NewSharedLimit(params.cfg.ClientSockets()),
		targetRoom: conntable.NewSharedLimit(params.cfg.TargetSockets()),
		tables:     map[string]*conntable.Table{},
	}
	t.startEgresses(params)
	t.startRoutes(params)
	for _, start := range []func(transportParams) error{t.startPlatformIngress, t.startAMQPIngress, t.startConsole} {
		if err := start(params); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *transport) startEgresses(params transportParams) {
	t.platformEgress = platform.NewEgress(params.core, params.reactor, params.cfg.Settings, t.targetRoom)
	params.core.AddEgress(platform.Proto, t.platformEgress)
	connectTimeout := microseconds(params.cfg.Settings.Limits.ConnectTimeoutUs)
	t.amqpEgress = amqpfront.NewEgress(params.core, params.reactor, connectTimeout, t.targetRoom)
	t.amqpEgress.Secure(params.cfg.Secure.Targets)
	t.amqpEgress.Gate = t.platformEgress.Gate // a destination may have endpoints of both protocols
	t.stops = append(t.stops, params.reactor.AllowAllGracefulCloses, t.platformEgress.Stop, t.amqpEgress.Stop)
	params.core.AddEgress(amqpfront.Proto, t.amqpEgress)
}

// startRoutes takes the routes from the configuration or watches the registry for them.
func (t *transport) startRoutes(params transportParams) {
	if params.cfg.Discovery == "" {
		params.core.UpdateRoutes(scheduler.UpdateFull, platform.Routes(params.cfg.Known))
		return
	}
	watched := platform.WatchOptions{
		Senders: params.cfg.Settings.Senders,
		Seed:    int64(params.cfg.Seed),
		Grace:   microseconds(params.cfg.Settings.Rules.DrainWithinUs),
		Age:     unknownDowntime,
	}
	if downtime, ok := params.core.Downtime(); ok {
		watched.Age = downtime
	}
	if params.handover == nil {
		t.registry = platform.Watch(params.core, params.reactor, params.cfg.Discovery, params.cfg.Known, watched)
		return
	}
	routes, version := params.handover.Core.Routes, params.handover.ListVersion
	if params.handover.Discovery != params.cfg.Discovery {
		version = noListVersion // versions of different registries do not compare
	}
	t.registry = platform.Follow(params.core, params.reactor, params.cfg.Discovery, routes, version, watched)
}

func (t *transport) startPlatformIngress(params transportParams) error {
	addr := cmp.Or(params.cfg.Listen, params.cfg.Resp.Listen)
	if addr == "" {
		return nil
	}
	appliance := params.cfg.Resp.Listen != ""
	table := t.newTable(platform.Front, params.cfg)
	t.platformIngress = platform.NewIngress(params.core, params.reactor, finalsAddr(params.cfg), table, appliance)
	params.core.AddIngress(platform.Front, t.platformIngress)
	var noRoomReply []byte // of clients beyond the connection limit; the platform's hear nothing
	if appliance {
		noRoomReply = platform.TurnedAway
	}
	if params.cfg.AcceptFD > 0 {
		listener, err := params.reactor.ListenInherited(params.cfg.AcceptFD, noRoomReply, t.platformIngress.Accept)
		if err != nil {
			return &config.KeyError{Key: "LB_ACCEPT_FD", Err: err}
		}
		t.addListener(listener, params.cfg)
	} else if err := t.listen(params, addr, noRoomReply, t.platformIngress.Accept); err != nil {
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
	}, t.newTable(amqpfront.Front, params.cfg))
	if addr := params.cfg.AMQP.Listen; addr != "" {
		if err := t.listen(params, addr, amqpfront.TurnedAway, t.amqpIngress.Accept); err != nil {
			return err
		}
	}
	t.serverTLS.Store(params.cfg.Secure.Server)
	if addr := params.cfg.AMQP.TLS.Listen; addr != "" {
		if err := t.listenTLS(params, addr, t.amqpIngress.Accept); err != nil {
			return err
		}
	}
	t.stops = append(t.stops, t.amqpIngress.Close)
	return nil
}

func (t *transport) startConsole(params transportParams) error {
	path := params.cfg.Console.Socket
	if path == "" {
		return nil
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(params.cfg.State, path)
	}
	loop := params.reactor.Loop
	params.console.Wire = func() console.Wire { return t.consoleView(loop) }
	var listener net.Listener
	if err := params.retry(func() (err error) {
		listener, err = console.Listen(path, params.core, params.console)
		return err
	}); err != nil {
		return err
	}
	t.stops = append(t.stops, func() { _ = listener.Close() })
	return nil
}

// newTable makes the table of one ingress's client connections.
func (t *transport) newTable(ingress string, cfg config.Config) *conntable.Table {
	t.tables[ingress] = t.clientRoom.NewTable(clientLimits(ingress, cfg))
	return t.tables[ingress]
}

// listen accepts clients at addr. Those beyond the connection limit get noRoomReply.
func (t *transport) listen(params transportParams, addr string, noRoomReply []byte,
	accept func(*reactor.Conn) reactor.Handler,
) error {
	return params.retry(func() error {
		listener, err := params.reactor.Listen("tcp", addr, noRoomReply, accept)
		if err == nil {
			t.addListener(listener, params.cfg)
		}
		return err
	})
}

// listenTLS accepts TLS clients at addr.
func (t *transport) listenTLS(params transportParams, addr string, accept func(*reactor.Conn) reactor.Handler) error {
	return params.retry(func() error {
		listener, err := params.reactor.ListenTLS("tcp", addr, t.listenerTLS(), accept)
		if err == nil {
			t.addListener(listener, params.cfg)
		}
		return err
	})
}

// listenerTLS is a configuration by which each handshake uses the certificates that were read last.
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
