// Package app puts the parts of the program together behind its command line.
package app

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/conns"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/platform"
	"brackendale/internal/net/reactor"
	"brackendale/internal/nginx"
	"brackendale/sender"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

// Version is the program's version; a release build sets it.
var Version = "dev"

// Command is the command line.
func Command() *cli.Command {
	file := &cli.StringFlag{Name: "config", Usage: "the appliance's TOML `FILE`; the platform needs none"}
	return &cli.Command{
		Name: "brackendale", Usage: "a sender that delivers messages to partner systems",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until a signal comes", Flags: []cli.Flag{file},
				Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c.String("config")) }},
			{Name: "check", Usage: "read and check the configuration", Flags: []cli.Flag{file},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := config.Load(os.Getenv, c.String("config"))
					if err == nil {
						_, err = fmt.Fprintf(c.Root().Writer, "ok: %s, %d classes, %d endpoints\n", cfg.Name,
							len(cfg.Settings.Lanes), len(cfg.Known.Hosts))
					}
					return err
				}},
			{Name: "console", Usage: "see and steer a running sender; with a COMMAND, carry it out and show the result",
				ArgsUsage: "[state | hold TARGET | release TARGET | pause | resume]",
				Flags:     []cli.Flag{&cli.StringFlag{Name: "socket", Required: true, Usage: "the sender's control socket `PATH`"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return terminal(ctx, c.String("socket"), strings.Join(c.Args().Slice(), " "), c.Root().Writer)
				}},
			{Name: "import-nginx", Usage: "turn upstream and location blocks into the appliance's TOML", ArgsUsage: "FILE",
				Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "write to `FILE`; standard output if absent"}},
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return errors.New("import-nginx: want one FILE")
					}
					return importNginx(c.Args().First(), c.String("out"), c.Root().Writer, c.Root().ErrWriter)
				}},
			{Name: "version", Usage: "print the version",
				Action: func(_ context.Context, c *cli.Command) error {
					_, err := fmt.Fprintln(c.Root().Writer, "brackendale", Version)
					return err
				}},
		},
	}
}

func terminal(ctx context.Context, socket, command string, out io.Writer) error {
	t, err := console.Dial(socket)
	if err != nil {
		return err
	}
	defer t.Close()
	if command != "" {
		return t.Do(command, out)
	}
	return t.Run(ctx, os.Stdin, out)
}

// importNginx writes the whole result or nothing: it is checked as serve would, and put in place at once.
func importNginx(file, to string, out, notes io.Writer) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	text, list, err := nginx.Import(file, string(raw))
	for _, n := range list {
		fmt.Fprintln(notes, n)
	}
	if err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	dir, err := os.MkdirTemp("", "import-nginx")
	if err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	defer os.RemoveAll(dir)
	trial := filepath.Join(dir, "routes.toml")
	if err := os.WriteFile(trial, []byte(text), 0o600); err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	env := func(key string) string { return map[string]string{"LB_STATE": dir}[key] }
	if _, err := config.Load(env, trial); err != nil {
		return fmt.Errorf("import-nginx: the result would not be valid: %w", err)
	}
	if to == "" {
		_, err = io.WriteString(out, text)
		return err
	}
	part := to + ".part"
	if err = os.WriteFile(part, []byte(text), 0o644); err == nil {
		err = os.Rename(part, to)
	}
	if err != nil {
		return fmt.Errorf("import-nginx: %w", errors.Join(err, os.RemoveAll(part)))
	}
	return nil
}

// From SIGTERM to SIGKILL the platform gives 3.7 s at least: so much of it is used.
const stopAfter = 3500 * time.Millisecond

func serve(ctx context.Context, file string) error {
	// Before all else: a signal that nobody listens for ends the process.
	again, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(again)
	defer signal.Stop(term)
	cfg, err := config.Load(os.Getenv, file)
	if err != nil {
		return err
	}
	// The rest of the limit is for what the runtime does not count: stacks, the binary, files in $TMPDIR.
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * 0.7 * (1 << 20)))
	log := zerolog.New(os.Stderr).With().Timestamp().Str("sender", cfg.Name).Logger()
	wire := loop.New()
	core, err := sender.New(sender.Options{Carry: wire.Post, Name: cfg.Name, Settings: cfg.Settings, Seed: int64(cfg.Seed), Dir: cfg.State,
		Disk: int64(cfg.Limits.DiskMB * (1 << 20)), Log: log})
	if err != nil {
		return err
	}
	r, err := reactor.New(wire)
	if err != nil {
		return err
	}
	defer r.Stop()
	f, err := newFronts(core, r, cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			select {
			case <-again:
				reload(core, wire, f, file, log)
			case <-ctx.Done():
				return
			}
		}
	}()
	go func() {
		select {
		case <-term:
		case <-ctx.Done():
			return
		}
		core.Stop(core.Now() + stopAfter.Microseconds())
		time.Sleep(stopAfter)
		wire.Post(f.stop)
		time.Sleep(50 * time.Millisecond)
		cancel()
	}()
	log.Info().Str("listen", cfg.Listen).Str("amqp", cfg.AMQP.Listen).Int("endpoints", len(cfg.Known.Hosts)).Msg("serving")
	go wire.Run(ctx)
	return core.Run(ctx)
}

// reload reads the configuration again and follows what may change under a running sender: where the
// registry is, or the appliance's own routes. A bad file changes nothing.
func reload(core *sender.Sender, wire *loop.Loop, f *fronts, file string, log zerolog.Logger) {
	cfg, err := config.Load(os.Getenv, file)
	if err != nil {
		log.Error().Err(err).Msg("reload: the old configuration stands")
		return
	}
	wire.Post(func() {
		if err := f.follow(core, cfg); err != nil {
			log.Error().Err(err).Msg("reload: the old configuration stands")
			return
		}
		log.Info().Str("discovery", cfg.Discovery).Int("endpoints", len(cfg.Known.Hosts)).Msg("reloaded")
	})
}

// fronts are the sides that the configuration asks for, joined to the core.
type fronts struct {
	ends     []func()
	registry *platform.Registry // nil where the routes are the appliance's own
	clients  *platform.Ingress  // nil without the platform's front
}

func (f *fronts) stop() {
	for _, end := range f.ends {
		end()
	}
}

// follow takes up a configuration that was read again.
func (f *fronts) follow(core *sender.Sender, cfg config.Config) error {
	switch {
	case (f.registry == nil) != (cfg.Discovery == ""):
		return &config.KeyError{Key: "discovery", Err: errors.New("can be neither added nor left out while the sender runs")}
	case f.registry == nil:
		core.Routes("whole", platform.Routes(cfg.Known))
	default:
		f.registry.Move(cfg.Discovery)
		if f.clients != nil {
			f.clients.Move(cfg.Discovery)
		}
	}
	return nil
}

func newFronts(core *sender.Sender, r *reactor.Reactor, cfg config.Config) (*fronts, error) {
	f := &fronts{}
	listen := func(network, addr string, accept func(*reactor.Conn) reactor.Handler) error {
		ln, err := r.Listen(network, addr, accept)
		if err == nil {
			f.ends = append(f.ends, func() { _ = ln.Close() })
		}
		return err
	}
	core.AddEgress(platform.Proto, platform.NewEgress(core, r, cfg.Settings))
	core.AddEgress(amqpfront.Proto, amqpfront.NewEgress(core, r, time.Duration(cfg.Settings.Caps.ConnectTimeoutUs)*time.Microsecond))
	if cfg.Discovery == "" {
		core.Routes("whole", platform.Routes(cfg.Known))
	} else {
		f.registry = platform.Watch(core, r, cfg.Discovery, cfg.Known)
	}
	if cfg.Listen != "" {
		f.clients = platform.NewIngress(core, r, cfg.Discovery,
			conns.NewRoom(cfg.Limits.Sockets/2).NewTable(platform.Limits(cfg.Limits.Sockets/2)), false)
		core.AddIngress(platform.Front, f.clients)
		if err := listen("tcp", cfg.Listen, f.clients.Accept); err != nil {
			return nil, err
		}
		f.ends = append(f.ends, f.clients.CloseIdle)
	}
	if cfg.AMQP.Listen != "" {
		most := cfg.Limits.Sockets / 8
		in := amqpfront.NewIngress(core, r, amqpfront.Options{User: cfg.AMQP.User, Password: cfg.AMQP.Password,
			Exchange: cfg.AMQP.Exchange, Heartbeat: time.Duration(cfg.AMQP.HeartbeatS) * time.Second},
			conns.NewRoom(most).NewTable(amqpfront.Limits(most)))
		core.AddIngress(amqpfront.Front, in)
		if err := listen("tcp", cfg.AMQP.Listen, in.Accept); err != nil {
			return nil, err
		}
		f.ends = append(f.ends, in.Close)
	}
	if path := cfg.Console.Socket; path != "" {
		if !filepath.IsAbs(path) {
			path = filepath.Join(cfg.State, path)
		}
		ln, err := console.Listen(path, core)
		if err != nil {
			return nil, err
		}
		f.ends = append(f.ends, func() { _ = ln.Close() })
	}
	return f, nil
}
