package app

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/group"
	"brackendale/internal/lease"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// do carries out one command of the console.
func do(path, command string, out io.Writer) error {
	tm, err := console.Dial(path)
	if err != nil {
		return err
	}
	defer tm.Close()
	return tm.Do(command, out)
}

// The console shows the route table and steers it; without a path in the file there is none.
func TestConsole(t *testing.T) {
	t.Setenv("LB_STATE", t.TempDir())
	cfg, err := config.Load(os.Getenv, "../../deploy/appliance.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg.AMQP.Listen = "127.0.0.1:0"
	wire := loop.New()
	core, err := sender.New(sender.Options{
		RunOnFronts: wire.Post, Name: cfg.Name, Settings: cfg.Settings,
		StateDir: cfg.State, DiskBytes: 1 << 20, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	r, err := reactor.New(wire, 8<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties := []group.Duty{{
		Name: "nightly", Every: time.Second, MaxDuration: time.Second,
		Execute: func(context.Context, group.Execution) error { return nil },
	}}
	member := group.New(group.Options{Name: "alone", Terms: lease.Terms{Length: time.Second}, Duties: duties})
	network, err := newTransport(transportParams{
		core: core, reactor: r, cfg: cfg, console: console.Sources{Group: member},
		retry: func(part func() error) error { return part() },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer network.stop()
	go wire.Run(ctx)
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
		if err := do(path, c.command, &out); err != nil || !strings.Contains(out.String(), c.want) ||
			c.not != "" && strings.Contains(out.String(), c.not) || strings.Contains(out.String(), "guest:guest") {
			t.Errorf("%s: %v\n%s", c.command, err, &out)
		}
	}
	for _, bad := range []string{"hold nowhere", "explode", "state\nstate"} {
		if err := do(path, bad, &bytes.Buffer{}); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
	tm, err := console.Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	var screen bytes.Buffer
	if err := tm.Run(ctx, strings.NewReader("hold nowhere\nquit\n"), &screen); err != nil ||
		!strings.Contains(screen.String(), "last ends") ||
		!strings.Contains(screen.String(), "nightly") || !strings.Contains(screen.String(), "alone") {
		t.Error(err, screen.String())
	}
	if _, err := console.Listen(path, core, console.Sources{}); err == nil {
		t.Error("a socket in use was taken over")
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err != nil {
		t.Error(err)
	} else {
		_ = c.Close()
	}
}

// SIGHUP ended the program, and the open watch of the old registry would have kept it there for 20 s: it
// must go to the new file's registry at once and ask it for the whole list. A bad file changes nothing.
func TestReload(t *testing.T) {
	dir, asked := t.TempDir(), make(chan string, 100)
	agent := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			asked <- name + r.URL.RawQuery
			if r.URL.RawQuery == "" {
				_, _ = io.WriteString(rw, `{"seq":5,"whole":true,"hosts":[]}`)
				return
			}
			<-r.Context().Done()
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	file := filepath.Join(dir, "config.json")
	write := func(discovery string) {
		if err := os.WriteFile(file, fmt.Appendf(nil, `{"listen":"127.0.0.1:0","discovery":%q,"known":{"seq":9,"hosts":[]},
			"settings":{"lanes":[{"name":"a","effect":"once","hardLimitUs":9}],"familyInfo":{"workers":2}}}`,
			discovery), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(want string) {
		t.Helper()
		select {
		case got := <-asked:
			if got != want {
				t.Fatalf("asked %q, not %q", got, want)
			}
		case <-time.After(standin.Long):
			t.Fatal("never asked for", want)
		}
	}
	old, next := agent("old "), agent("new ")
	for k, v := range map[string]string{"LB_STATE": dir, "LB_CONFIG": file, "LB_DISCOVERY": old} {
		t.Setenv(k, v)
	}
	write(old)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, "", Options{}) }()
	expect("old index=9&wait=3000")
	for _, discovery := range []string{"nowhere", next} {
		write(discovery)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // else both signals may be read as one, and the bad file is never read
	}
	expect("new ")
	expect("new index=5&wait=3000")
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
