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

// The golden files hold what the control socket takes and answers, and what the terminal prints. After a change that is
// meant, go test ./internal/console -run Golden -update-golden writes them anew.

// Every field of a reply, with and without a tag, and one reply with all of them.
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
		State: &sender.State{}, Wire: &Wire{}, Duties: []group.DutyView{{}},
		Members: []group.MemberView{{}},
	})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "reply.empty.json", string(empty)+"\n")
}

// What the terminal prints of a full reply, and of its tables with nothing in them.
func TestGoldenTerminal(t *testing.T) {
	var full Reply
	golden.Fill(&full)
	later := *full.State
	later.Now, later.Paused = later.Now.Add(10*time.Second), false
	var out bytes.Buffer
	for _, err := range []error{
		show(&out, full.State, nil, full.Wire), show(&out, &later, full.State, nil),
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

// scene is a control socket of a sender that runs, with one endpoint and no front.
func scene(t *testing.T, asked Sources) net.Conn {
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
	asked.Wire = func() Wire { return Wire{Timers: 3, Fired: 4} }
	path := filepath.Join(dir, "c.sock")
	ln, err := Listen(path, core, asked)
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
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(standin.Long))
	return c
}

// masks hides times and counts that differ from run to run.
var masks = []string{
	`"Now":"[^"]*"`, `"Now":"TIME"`, `(lb_life_\w*seconds|lb_life_full) [\d.e-]+\\n`, `$1 N\n`,
	`"(epoch|left_ms|acts|life|quiet_ms)":-?\d+`, `"$1":N`, `"settled":\w+`, `"settled":B`,
	`127\.0\.0\.1:\d{4,5}`, `HOST:PORT`,
}

// say writes requests, and lists each with its answer.
func say(t *testing.T, c net.Conn, requests ...string) string {
	t.Helper()
	var out strings.Builder
	in := bufio.NewReader(c)
	for _, r := range requests {
		if _, err := fmt.Fprintln(c, r); err != nil {
			t.Fatal(err)
		}
		answer, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "> %s\n%s", r, golden.Mask(answer, masks...))
	}
	return out.String()
}

// Every request of a sender in no group, right and wrong, and its answer as it is on the socket.
func TestGoldenRequests(t *testing.T) {
	drained := 0
	c := scene(t, Sources{Drain: func(context.Context) error {
		if drained++; drained == 1 {
			return errors.New("others are out")
		}
		return nil
	}})
	for ready := ""; !strings.Contains(ready, `"text":"ready"`); {
		ready = say(t, c, "ready")
	}
	golden.Check(t, "requests.txt", say(t, c, "state", "state x", "ready", "ready x", "telemetry",
		"exclude e1", "include e1", "hold e1", "release e1", "exclude nowhere", "exclude", "pause", "resume",
		"pause x", "explode", "", "duties", "members", "hand d m", "revoke d", "join", "leave", "drain x", "drain", "drain"))
}

// The requests of a group's member that is alone in its group.
func TestGoldenRequestsOfGroup(t *testing.T) {
	addr, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	acts := func(context.Context, group.Execution) error { return nil }
	g := group.New(group.Options{
		Name: "alone", Listen: addr, Voters: map[string]string{"alone": addr},
		Dir: filepath.Join(t.TempDir(), "group"), Terms: lease.Terms{Length: time.Second, Drift: 0.01}, Log: zerolog.Nop(),
		Duties: []group.Duty{{Name: "nightly", Every: time.Hour, MaxDuration: time.Second / 4, Execute: acts}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { g.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	c := scene(t, Sources{Group: g})
	for end := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
		if d := g.Duties(); len(d) == 1 && d[0].Holder == "alone" && d[0].Executions > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("nobody holds the duty: %+v", g.Duties())
		}
	}
	golden.Check(t, "requests.group.txt", say(t, c, "duties", "members", "state", "hand nightly alone",
		"hand nightly nobody", "hand nothing alone", "revoke nothing", "join", "leave", "duties x", "hand nightly", "drain"))
}
