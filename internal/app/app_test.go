package app

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/net/reactor"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// The importer's result is one that the appliance serves; a fault leaves the old file as it was.
func TestImportIsServed(t *testing.T) {
	dir := t.TempDir()
	in, out := filepath.Join(dir, "n.conf"), filepath.Join(dir, "routes.toml")
	write := func(text string) {
		if err := os.WriteFile(in, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var std, notes bytes.Buffer
	write("server { listen 1; location / { proxy_pass http://127.0.0.1:1; } }")
	if err := importNginx(in, out, &std, &notes); err != nil || !strings.Contains(notes.String(), "n.conf:1: listen") {
		t.Fatal(err, notes.String())
	}
	env := func(k string) string { return map[string]string{"LB_STATE": dir}[k] }
	c, err := config.Load(env, out)
	if err != nil || len(c.Known.Hosts) != 1 {
		t.Fatal(c, err)
	}
	before, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	write("server { location /")
	if err := importNginx(in, out, &std, &notes); err == nil {
		t.Fatal("half a file was taken")
	}
	after, err := os.ReadFile(out)
	if err != nil || !bytes.Equal(before, after) {
		t.Fatal("the old file was touched", err)
	}
}

// The console shows the route table and steers it; without a path in the file there is none.
func TestConsole(t *testing.T) {
	t.Setenv("LB_STATE", t.TempDir())
	cfg, err := config.Load(os.Getenv, "../../deploy/appliance.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg.AMQP.Listen = "127.0.0.1:0"
	core, err := sender.New(sender.Options{Name: cfg.Name, Settings: cfg.Settings, Dir: cfg.State, Disk: 1 << 20, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	r, err := reactor.New(core.Post)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop, err := fronts(core, r, cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	go func() { _ = core.Run(ctx) }()
	path := filepath.Join(cfg.State, cfg.Console.Socket)
	if st, err := os.Stat(path); err != nil || st.Mode().Perm() != 0o600 {
		t.Fatal(st, err)
	}
	for _, c := range []struct{ command, want, not string }{
		{"state", "lab-archive", "HELD"},
		{"hold lab-archive", "HELD", "PAUSED"},
		{"pause", "PAUSED", ""},
		{"resume", "HELD", "PAUSED"},
		{"release lab-archive", "lab-archive", "HELD"},
	} {
		var out bytes.Buffer
		if err := terminal(ctx, path, c.command, &out); err != nil || !strings.Contains(out.String(), c.want) ||
			c.not != "" && strings.Contains(out.String(), c.not) || strings.Contains(out.String(), "guest:guest") {
			t.Errorf("%s: %v\n%s", c.command, err, &out)
		}
	}
	for _, bad := range []string{"hold nowhere", "explode", "state\nstate"} {
		if err := terminal(ctx, path, bad, &bytes.Buffer{}); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	tm, err := console.Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	var screen bytes.Buffer
	if err := tm.Run(ctx, strings.NewReader("hold nowhere\nquit\n"), &screen); err != nil || !strings.Contains(screen.String(), "last ends") {
		t.Error(err, screen.String())
	}
	if _, err := console.Listen(path, core); err == nil {
		t.Error("a socket in use was taken over")
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err != nil {
		t.Error(err)
	} else {
		_ = c.Close()
	}
}

func TestCommands(t *testing.T) {
	c := Command()
	var out bytes.Buffer
	c.Writer = &out
	if err := c.Run(context.Background(), []string{"brackendale", "version"}); err != nil || !strings.Contains(out.String(), Version) {
		t.Fatal(err, out.String())
	}
	t.Setenv("LB_STATE", "/nowhere")
	if err := Command().Run(context.Background(), []string{"brackendale", "serve", "--config", "../../deploy/appliance.toml"}); err == nil ||
		!strings.Contains(err.Error(), "LB_STATE") {
		t.Fatal(err)
	}
}
