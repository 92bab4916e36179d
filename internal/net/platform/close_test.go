package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"brackendale/internal/failpoint"
	"brackendale/internal/net/conntable"
)

// command words a SUBMIT.
func command(id string) string {
	var text strings.Builder
	text.WriteString("*5\r\n")
	for _, w := range []string{"SUBMIT", "0", id, "c=once,t=x,d=9000,dest=7", "charge"} {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(w), w)
	}
	return text.String()
}

// taken returns how many messages the sender has accepted.
func (w *world) taken() uint64 {
	n := make(chan uint64, 1)
	w.core.Post(func() { n <- w.core.State().Accepted })
	return wait(w.t, n)
}

// Each thing that may come on a client's connection in the instant in which the shutdown ends it:
// between the decision and the socket's end. The client reads what it was answered before and then
// the end, never a reset; nothing that came is taken on.
func TestBytesCrossTheEndOfAConnection(t *testing.T) {
	for name, x := range map[string]struct{ before, cross, want string }{
		"nothing, on one that rests":             {"", "", ""},
		"a request, on one that rests":           {"", command("late"), ""},
		"half a request, on one that rests":      {"", command("late")[:20], ""},
		"many requests, on one that rests":       {"", strings.Repeat(command("late"), 40), ""},
		"a request, on one that was just used":   {"*1\r\n$4\r\nPING\r\n", command("late"), "+PONG\r\n"},
		"noise, on one that was just used":       {"*1\r\n$4\r\nPING\r\n", "\x00\xff\r\n", "+PONG\r\n"},
		"the rest of a command that was begun":   {command("late")[:30], command("late")[30:], ""},
		"a flood, on one that was just answered": {"*1\r\n$4\r\nPING\r\n", strings.Repeat("x", 100_000), "+PONG\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.answer = ok
			addr, _ := w.start()
			c := dialRaw(t, addr)
			c.ping()
			_, _ = io.WriteString(c, x.before)
			if x.want != "" {
				if got, err := c.line(); got+"\r\n" != x.want {
					t.Fatal(got, err)
				}
			}
			for seen := x.before == "" || x.want != ""; !seen; { // half a command has been read
				done := make(chan bool)
				w.r.Post(func() { seen = w.in.table.Stats().ByClass["partial"] == 1; close(done) })
				<-done
			}
			undo := failpoint.SetHook(func(p failpoint.Point) {
				if p == failpoint.CloseDecided {
					_, _ = io.WriteString(c, x.cross)
				}
			})
			done := make(chan bool)
			w.r.Post(func() { w.r.AllowAllGracefulCloses(); w.in.CloseIdle(); close(done) })
			<-done
			undo()
			rest, err := io.ReadAll(c.in)
			if len(rest) > 0 || err != nil {
				t.Errorf("%q, %v", rest, err)
			}
			if n := w.taken(); n != 0 || len(w.calls) > 0 {
				t.Errorf("%d taken on, %d sent", n, len(w.calls))
			}
		})
	}
}

// A connection whose answers are under way at the shutdown gets them, and then its end; what comes
// behind is not read.
func TestAnswerIsDueWhenTheShutdownComes(t *testing.T) {
	w := newWorld(t)
	w.answer = ok
	addr, _ := w.start()
	c := dialRaw(t, addr)
	c.ping()
	release := make(chan bool)
	undo := failpoint.SetHook(func(p failpoint.Point) {
		if p == failpoint.StepDecided { // its answer is decided and not written
			<-release
		}
	})
	defer undo()
	_, _ = io.WriteString(c, command("m1"))
	for waits := false; !waits; {
		done := make(chan bool)
		w.r.Post(func() { waits = w.in.table.Stats().ByClass["busy"] == 1; close(done) })
		<-done
	}
	done := make(chan bool)
	w.r.Post(func() { w.r.AllowAllGracefulCloses(); w.in.CloseIdle(); close(done) })
	<-done
	_, _ = io.WriteString(c, command("m2"))
	close(release)
	got, err := io.ReadAll(c.in)
	if string(got) != "+OK\r\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if n := w.taken(); n != 1 {
		t.Errorf("%d taken on", n)
	}
}

// A flood that is refused hears why, behind the answers to what came before it, though it goes on.
func TestRefusedFloodHearsItsAnswers(t *testing.T) {
	w := newWorld(t)
	w.answer = ok
	addr, _ := w.start()
	c := dialRaw(t, addr)
	c.ping()
	w.held(func() { // all of it lies unread
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\nnonsense"+strings.Repeat("z", 200_000))
	})
	got, err := io.ReadAll(c.in)
	if !strings.HasPrefix(string(got), "+PONG\r\n-ERR") || strings.Count(string(got), "\n") != 2 || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if n := w.taken(); n != 0 {
		t.Errorf("%d taken on", n)
	}
}

// A new connection is not retired while its first command may be on its way: the command would be lost. It is once it
// has been silent for long, or idle behind a command.
func TestRetireLeavesNewConnections(t *testing.T) {
	w := newWorld(t)
	addr, _ := w.start()
	retire := func() (left int) {
		done := make(chan bool)
		w.r.Post(func() { left = w.in.Retire(); close(done) })
		<-done
		return left
	}
	admitted := func(n int) {
		for open := -1; open != n; {
			w.held(func() { open = w.in.table.Len() })
		}
	}
	c := dialRaw(t, addr)
	admitted(1)
	if left := retire(); left != 1 {
		t.Fatal(left, "are left of a new connection")
	}
	c.ping()
	if left := retire(); left != 0 {
		t.Fatal(left, "are left that were idle behind a command")
	}
	dialRaw(t, addr)
	admitted(1)
	w.held(func() {
		w.in.table.Each(func(e *conntable.Entry) { w.in.table.Move(e, conntable.Fresh, w.r.Now()-firstCommandTime) })
	})
	if left := retire(); left != 0 {
		t.Fatal(left, "are left of a silent connection")
	}
}
