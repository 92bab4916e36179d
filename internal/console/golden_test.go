package console

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"brackendale/internal/group"
	"brackendale/internal/lease"
	"brackendale/internal/metrics"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/golden"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// The golden files hold the commands and replies of the control socket, and what the terminal prints. After an intended
// change, go test ./internal/console -run Golden -update-golden rewrites them.

// Every field of a reply, a reply with all fields set, and one with empty parts.
func TestGoldenReply(t *testing.T) {
	golden.Check(t, "reply.fields.txt", golden.Fields(reflect.TypeFor[Reply](), "json"))
	var full Reply
	golden.Fill(&full)
	text, err := json.MarshalIndent(full, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "reply.json", string(text)+"\n")
	empty, err := json.Marshal(Reply{
		State: &sender.State{}, TransportStats: &TransportStats{}, Duties: []group.DutyView{{}},
		Members: []group.MemberView{{}},
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "reply.empty.json", string(empty)+"\n")
}

// What the terminal prints for a full reply, and for tables with empty entries.
func TestGoldenTerminal(t *testing.T) {
	var full Reply
	golden.Fill(&full)
	next := *full.State
	next.Now, next.Paused = next.Now.Add(10*time.Second), false
	var out bytes.Buffer
	for _, err := range []error{
		writeState(&out, full.State, nil, full.TransportStats), writeState(&out, &next, full.State, nil),
		Table(&out, full.Duties, full.Members),
		Table(&out, []group.DutyView{{}}, []group.MemberView{{HeartbeatAgeMs: -1}}),
		Table(&out, nil, []group.MemberView{{Present: true, Voter: true}}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "terminal.txt", out.String())
}

// dialSender starts a sender with one endpoint and no front, and returns a connection to its control socket.
func dialSender(t *testing.T, sources Sources) net.Conn {
	t.Helper()
	dir := t.TempDir()
	core, err := sender.New(sender.Options{
		Name: "n1", Settings: standin.Settings(), Metrics: metrics.New([]string{"safe"}),
		StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	e1 := scheduler.Endpoint{Addr: "e1", MachineType: "k", Destination: 7, State: "live"}
	core.UpdateRoutes("whole", []sender.Route{{Endpoint: e1, Protocol: "p", Dial: "127.0.0.1:1"}})
	sources.TransportStats = func() TransportStats { return TransportStats{Timers: 3, Fired: 4} }
	path := filepath.Join(dir, "c.sock")
	ln, err := Listen(path, core, sources)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- core.Run(ctx) }()
	t.Cleanup(func() {
		_ = ln.Close()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	return conn
}

// masks replaces times and counts that differ from run to run.
var masks = []string{
	`"Now":"[^"]*"`, `"Now":"TIME"`, `(lb_life_\w*seconds|lb_life_full) [\d.e-]+\\n`, `$1 N\n`,
	`"(epoch|left_ms|acts|life|quiet_ms)":-?\d+`, `"$1":N`, `"settled":\w+`, `"settled":B`,
	`127\.0\.0\.1:\d{4,5}`, `HOST:PORT`,
}

// exchange sends requests, and returns each with its reply.
func exchange(t *testing.T, conn net.Conn, requests ...string) string {
	t.Helper()
	var out strings.Builder
	in := bufio.NewReader(conn)
	for _, request := range requests {
		if _, err := fmt.Fprintln(conn, request); err != nil {
			t.Fatal(err)
		}
		reply, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "> %s\n%s", request, golden.Mask(reply, masks...))
	}
	return out.String()
}

// Valid and invalid requests to a sender in no group, and the replies as they are on the socket.
func TestGoldenRequests(t *testing.T) {
	drained := 0
	conn := dialSender(t, Sources{Drain: func(context.Context) error {
		if drained++; drained == 1 {
			return errors.New("others are out")
		}
		return nil
	}})
	for ready := ""; !strings.Contains(ready, `"text":"ready"`); {
		ready = exchange(t, conn, "ready")
	}
	golden.Check(t, "requests.txt", exchange(t, conn, "state", "state x", "ready", "ready x", "telemetry",
		"exclude e1", "include e1", "hold e1", "release e1", "exclude nowhere", "exclude", "pause", "resume",
		"pause x", "explode", "", "duties", "members", "hand d m", "revoke d", "join", "leave", "drain x", "drain", "drain"))
}

// Requests to the only member of a group.
func TestGoldenRequestsOfGroup(t *testing.T) {
	addr, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	execute := func(context.Context, group.Execution) error { return nil }
	g := group.New(group.Options{
		Name: "alone", Listen: addr, Voters: map[string]string{"alone": addr},
		Dir: filepath.Join(t.TempDir(), "group"), Terms: lease.Terms{Length: time.Second, Drift: 0.01}, Log: zerolog.Nop(),
		Duties: []group.Duty{{Name: "nightly", Every: time.Hour, MaxDuration: time.Second / 4, Execute: execute}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { g.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	conn := dialSender(t, Sources{Group: g})
	for end := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
		if d := g.Duties(); len(d) == 1 && d[0].Holder == "alone" && d[0].Executions > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("no member holds the duty: %+v", g.Duties())
		}
	}
	golden.Check(t, "requests.group.txt", exchange(t, conn, "duties", "members", "state", "hand nightly alone",
		"hand nightly nobody", "hand nothing alone", "revoke nothing", "join", "leave", "duties x", "hand nightly", "drain"))
}
