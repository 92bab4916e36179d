package platform

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"brackendale/internal/failpoint"
	"brackendale/internal/net/conntable"
)

// submitCommand returns the bytes of a SUBMIT command.
func submitCommand(id string) string {
	var text strings.Builder
	text.WriteString("*5\r\n")
	for _, element := range []string{"SUBMIT", "0", id, "c=once,t=x,d=9000,dest=7", "charge"} {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(element), element)
	}
	return text.String()
}

// acceptedCount returns the number of messages that the sender has accepted.
func (env *testEnv) acceptedCount() uint64 {
	count := make(chan uint64, 1)
	env.core.Post(func() { count <- env.core.State().Accepted })
	return receive(env.t, count)
}

// Data arrives on a client's connection between the decision to close it at the shutdown and the close of
// its socket. The client must read its earlier replies and then the connection's end, never a reset, and
// no message that arrived then is accepted.
func TestBytesArriveDuringShutdownClose(t *testing.T) {
	for name, test := range map[string]struct{ before, duringClose, want string }{
		"nothing, idle connection":                 {"", "", ""},
		"a request, idle connection":               {"", submitCommand("late"), ""},
		"partial request, idle connection":         {"", submitCommand("late")[:20], ""},
		"many requests, idle connection":           {"", strings.Repeat(submitCommand("late"), 40), ""},
		"a request, connection after a reply":      {"*1\r\n$4\r\nPING\r\n", submitCommand("late"), "+PONG\r\n"},
		"malformed data, connection after a reply": {"*1\r\n$4\r\nPING\r\n", "\x00\xff\r\n", "+PONG\r\n"},
		"the rest of a partial command":            {submitCommand("late")[:30], submitCommand("late")[30:], ""},
		"a flood, connection after a reply":        {"*1\r\n$4\r\nPING\r\n", strings.Repeat("x", 100_000), "+PONG\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.respond = respondOK
			addr, _ := env.startSender()
			c := dialClient(t, addr)
			c.ping()
			_, _ = io.WriteString(c, test.before)
			if test.want != "" {
				if got, err := c.readLine(); got+"\r\n" != test.want {
					t.Fatal(got, err)
				}
			}
			for partial := test.before == "" || test.want != ""; !partial; { // until the partial command was read
				done := make(chan bool)
				env.eventLoop.Post(func() { partial = env.ingress.table.Stats().ByClass["partial"] == 1; close(done) })
				<-done
			}
			undo := failpoint.SetHook(func(point failpoint.Point) {
				if point == failpoint.CloseDecided {
					_, _ = io.WriteString(c, test.duringClose)
				}
			})
			done := make(chan bool)
			env.eventLoop.Post(func() { env.eventLoop.AllowAllGracefulCloses(); env.ingress.CloseIdle(); close(done) })
			<-done
			undo()
			rest, err := io.ReadAll(c.reader)
			if len(rest) > 0 || err != nil {
				t.Errorf("%q, %v", rest, err)
			}
			if accepted := env.acceptedCount(); accepted != 0 || len(env.calls) > 0 {
				t.Errorf("%d accepted, %d sent", accepted, len(env.calls))
			}
		})
	}
}

// A connection with pending replies at the shutdown gets them before its end. Commands that arrive
// afterwards are ignored.
func TestPendingReplyAtShutdown(t *testing.T) {
	env := newTestEnv(t)
	env.respond = respondOK
	addr, _ := env.startSender()
	c := dialClient(t, addr)
	c.ping()
	release := make(chan bool)
	undo := failpoint.SetHook(func(point failpoint.Point) {
		if point == failpoint.StepDecided { // the verdict is decided and the reply not written
			<-release
		}
	})
	defer undo()
	_, _ = io.WriteString(c, submitCommand("m1"))
	for busy := false; !busy; {
		done := make(chan bool)
		env.eventLoop.Post(func() { busy = env.ingress.table.Stats().ByClass["busy"] == 1; close(done) })
		<-done
	}
	done := make(chan bool)
	env.eventLoop.Post(func() { env.eventLoop.AllowAllGracefulCloses(); env.ingress.CloseIdle(); close(done) })
	<-done
	_, _ = io.WriteString(c, submitCommand("m2"))
	close(release)
	got, err := io.ReadAll(c.reader)
	if string(got) != "+OK\r\n" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if accepted := env.acceptedCount(); accepted != 1 {
		t.Errorf("%d accepted", accepted)
	}
}

// A client that floods its connection with malformed data reads the replies to its earlier commands and
// then the error, although it goes on sending.
func TestRejectedFloodGetsReplies(t *testing.T) {
	env := newTestEnv(t)
	env.respond = respondOK
	addr, _ := env.startSender()
	c := dialClient(t, addr)
	c.ping()
	env.withLoopPaused(func() { // all of it is unread
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\nnonsense"+strings.Repeat("z", 200_000))
	})
	got, err := io.ReadAll(c.reader)
	if !strings.HasPrefix(string(got), "+PONG\r\n-ERR") || strings.Count(string(got), "\n") != 2 || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if accepted := env.acceptedCount(); accepted != 0 {
		t.Errorf("%d accepted", accepted)
	}
}

// A new connection is not retired while its first command may be in transit, since the command would be lost. It is
// retired after newConnectionGrace without a command, or when it is idle after a command.
func TestRetireLeavesNewConnections(t *testing.T) {
	env := newTestEnv(t)
	addr, _ := env.startSender()
	retire := func() (remaining int) {
		done := make(chan bool)
		env.eventLoop.Post(func() { remaining = env.ingress.Retire(); close(done) })
		<-done
		return remaining
	}
	waitForClients := func(count int) {
		for open := -1; open != count; {
			env.withLoopPaused(func() { open = env.ingress.table.Len() })
		}
	}
	c := dialClient(t, addr)
	waitForClients(1)
	if remaining := retire(); remaining != 1 {
		t.Fatal(remaining, "connections remain, want the new one")
	}
	c.ping()
	if remaining := retire(); remaining != 0 {
		t.Fatal(remaining, "connections remain that are idle after a command")
	}
	dialClient(t, addr)
	waitForClients(1)
	env.withLoopPaused(func() {
		env.ingress.table.Each(func(entry *conntable.Entry) {
			env.ingress.table.Move(entry, conntable.Fresh, env.eventLoop.Now()-newConnectionGrace)
		})
	})
	if remaining := retire(); remaining != 0 {
		t.Fatal(remaining, "connections remain that sent no command in time")
	}
}
