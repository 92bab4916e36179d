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

// do runs one command on the console at path.
func do(path, command string, out io.Writer) error {
	client, err := console.Dial(path)
	if err != nil {
		return err
	}
	defer client.Close()
	return client.Do(command, out)
}

// The console shows and changes the state of the routes, its socket is accessible to the owner only, and a socket in
// use is not replaced.
func TestConsole(t *testing.T) {
	t.Setenv("LB_STATE", t.TempDir())
	cfg, err := config.Load(os.Getenv, "../../deploy/appliance.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg.AMQP.Listen = "127.0.0.1:0"
	eventLoop := loop.New()
	core, err := sender.New(sender.Options{
		RunOnFronts: eventLoop.Post, Name: cfg.Name, Settings: cfg.Settings,
		StateDir: cfg.State, DiskBytes: 1 << 20, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	netReactor, err := reactor.New(eventLoop, 8<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer netReactor.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties := []group.Duty{{
		Name: "nightly", Every: time.Second, MaxDuration: time.Second,
		Execute: func(context.Context, group.Execution) error { return nil },
	}}
	groupMember := group.New(group.Options{Name: "alone", Terms: lease.Terms{Length: time.Second}, Duties: duties})
	netTransport, err := newTransport(transportParams{
		core: core, reactor: netReactor, cfg: cfg, console: console.Sources{Group: groupMember},
		retry: func(part func() error) error { return part() },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer netTransport.stop()
	go eventLoop.Run(ctx)
	go func() { _ = core.Run(ctx) }()
	path := filepath.Join(cfg.State, cfg.Console.Socket)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Fatal(info, err)
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
			t.Errorf("invalid command %q was accepted", bad)
		}
	}
	client, err := console.Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	var screen bytes.Buffer
	if err := client.Run(ctx, strings.NewReader("hold nowhere\nquit\n"), &screen); err != nil ||
		!strings.Contains(screen.String(), "last ends") ||
		!strings.Contains(screen.String(), "nightly") || !strings.Contains(screen.String(), "alone") {
		t.Error(err, screen.String())
	}
	if _, err := console.Listen(path, core, console.Sources{}); err == nil {
		t.Error("a second console replaced a socket in use")
	}
	if c, err := net.DialTimeout("unix", path, time.Second); err != nil {
		t.Error(err)
	} else {
		_ = c.Close()
	}
}

// After SIGHUP the sender must watch the registry in the new file at once and request its whole endpoint list; a file
// with errors changes nothing. Guards against two failures: SIGHUP ended the program, and the open watch of the old
// registry delayed the change by 20 s.
func TestReload(t *testing.T) {
	dir, requests := t.TempDir(), make(chan string, 100)
	startRegistry := func(name string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- name + r.URL.RawQuery
			if r.URL.RawQuery == "" {
				_, _ = io.WriteString(w, `{"seq":5,"whole":true,"hosts":[]}`)
				return
			}
			<-r.Context().Done()
		}))
		t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
		return server.Listener.Addr().String()
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
		case got := <-requests:
			if got != want {
				t.Fatalf("request %q, want %q", got, want)
			}
		case <-time.After(standin.Long):
			t.Fatal("no request received, want", want)
		}
	}
	oldRegistry, newRegistry := startRegistry("old "), startRegistry("new ")
	for k, v := range map[string]string{"LB_STATE": dir, "LB_CONFIG": file, "LB_DISCOVERY": oldRegistry} {
		t.Setenv(k, v)
	}
	write(oldRegistry)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, "", Options{}) }()
	expect("old index=9&wait=400")
	for _, discovery := range []string{"nowhere", newRegistry} {
		write(discovery)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // otherwise both signals may arrive as one, and the file with errors is not read
	}
	expect("new ")
	expect("new index=5&wait=400")
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
