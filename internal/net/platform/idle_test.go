package platform

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
	"unsafe"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/internal/testing/testkit"
	"brackendale/sender"
)

// rawClient is a RESP2 client that reads replies line by line.
type rawClient struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func dialClient(t *testing.T, addr string) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(standin.Long))
	return &rawClient{c, t, bufio.NewReader(c)}
}

func (c *rawClient) send(elements ...string) {
	var command strings.Builder
	fmt.Fprintf(&command, "*%d\r\n", len(elements))
	for _, element := range elements {
		fmt.Fprintf(&command, "$%d\r\n%s\r\n", len(element), element)
	}
	_, _ = io.WriteString(c, command.String()) // the next read reports a closed connection
}

func (c *rawClient) readLine() (string, error) {
	line, err := c.reader.ReadString('\n')
	return strings.TrimSpace(line), err
}

func (c *rawClient) ping() {
	c.t.Helper()
	c.send("PING")
	if got, err := c.readLine(); got != "+PONG" {
		c.t.Fatal(got, err)
	}
}

// withLoopPaused runs f while the event loop is paused, so that the loop handles the effects of f only later.
func (env *testEnv) withLoopPaused(f func()) {
	paused, resume := make(chan bool), make(chan bool)
	env.eventLoop.Post(func() { close(paused); <-resume })
	<-paused
	f()
	close(resume)
}

// A command is in transit while its connection is evicted for a new one. The client gets no reply and
// repeats the command on a new connection; its message must run once.
func TestEvictedWhileCommandInTransit(t *testing.T) {
	env := newTestEnv(t)
	env.respond, env.maxClients = respondOK, 1
	addr, _ := env.startSender()
	oldClient := dialClient(t, addr)
	oldClient.ping()
	var newClient *rawClient
	env.withLoopPaused(func() {
		newClient = dialClient(t, addr)
		time.Sleep(50 * time.Millisecond) // the new connection is accepted, and its handler waits for the event loop
		oldClient.send("SUBMIT", "0", "m1", "c=once,t=x,d=9000,dest=7", "charge")
		time.Sleep(50 * time.Millisecond) // so does the old connection's command
	})
	newClient.ping()
	if got, err := oldClient.readLine(); err == nil {
		t.Fatal("the closed connection replied", got)
	}
	newClient.send("SUBMIT", "0", "m1", "c=once,t=x,d=9000,dest=7", "charge")
	if got, err := newClient.readLine(); got != "+OK" {
		t.Fatal(got, err)
	}
	receive(t, env.calls)
	for env.deliveredCount() == 0 {
	}
	if len(env.calls) > 0 {
		t.Fatal("it ran twice")
	}
}

// A connection with a pending reply is not evicted for a new one.
func TestPendingReplyPreventsEviction(t *testing.T) {
	env := newTestEnv(t)
	env.respond, env.maxClients = respondOK, 1
	addr, _ := env.startSender()
	oldClient, release := dialClient(t, addr), make(chan bool)
	oldClient.ping()
	env.core.Post(func() { <-release }) // the core makes no step, so the reply stays pending
	oldClient.send("SUBMIT", "0", "m1", "c=once,t=x,d=9000,dest=7", "charge")
	for count := 0; count == 0; {
		done := make(chan int)
		env.eventLoop.Post(func() { done <- env.ingress.table.Counts()[conntable.Busy] })
		count = <-done
	}
	if got, err := dialClient(t, addr).readLine(); !errors.Is(err, io.EOF) {
		t.Fatal("the new connection was admitted", got, err)
	}
	close(release)
	if got, err := oldClient.readLine(); got != "+OK" {
		t.Fatal(got, err)
	}
}

// A partial command that exceeds the timeout is rejected, unless its remaining bytes have arrived unread.
func TestPartialCommandTimeout(t *testing.T) {
	env := newTestEnv(t)
	env.respond = respondOK
	addr, _ := env.startSender()
	slow, late := dialClient(t, addr), dialClient(t, addr)
	for _, c := range []*rawClient{slow, late} {
		c.ping()
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPI")
	}
	for count := 0; count < 2; { // until both partial commands were read
		done := make(chan int)
		env.eventLoop.Post(func() { done <- env.ingress.table.Counts()[conntable.Partial] })
		count = <-done
	}
	env.withLoopPaused(func() {
		_, _ = io.WriteString(late, "NG\r\n")
		time.Sleep(50 * time.Millisecond) // read by the engine, but not handled by the event loop
		env.eventLoop.Post(func() {
			env.ingress.table.Expire(env.eventLoop.Now()+time.Minute, 100, conntable.HasUnhandledInput, conntable.EvictOwner)
		})
	})
	if got, err := late.readLine(); got != "+PONG" {
		t.Fatal(got, err)
	}
	if got, err := slow.readLine(); got != "-ERR no whole command in time" {
		t.Fatal(got, err)
	}
}

// Clients that send single bytes at long intervals are disconnected, and do not keep a well-behaved client
// from being served.
func TestSlowLoris(t *testing.T) {
	env := newTestEnv(t)
	env.respond, env.maxClients = respondOK, 300
	addr, _ := env.startSender()
	var clients []*rawClient
	for range 200 {
		c := dialClient(t, addr)
		_, _ = io.WriteString(c, "*5\r\n$6\r\nSUB")
		clients = append(clients, c)
	}
	env.submit(addr, "m1", "once", "9000")
	receive(t, env.calls)
	for _, c := range clients {
		_, _ = io.WriteString(c, "M")
	}
	env.eventLoop.Post(func() {
		env.ingress.table.Expire(env.eventLoop.Now()+time.Minute, 1000, nil, conntable.EvictOwner)
	})
	for i, c := range clients {
		if got, err := c.readLine(); errors.Is(err, os.ErrDeadlineExceeded) || got != "" && got[0] != '-' {
			t.Fatal(i, got, err)
		}
	}
	env.submit(addr, "m2", "once", "9000")
}

// A rejected connection gets a Retry-After if the front sends them, and an idle connection is closed by its
// time limit.
func TestFrontSendsRetryAfter(t *testing.T) {
	env, calls := newTestEnv(t), make(chan bool, 9)
	release := make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) { calls <- true; <-release }
	defer close(release)
	var ingress *Ingress
	var eventLoop *reactor.Reactor
	addr, _ := standin.Start(t, env.stateDir, func(
		core *sender.Sender, r *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		limits := conntable.Limits{MaxConns: 1, PressureShare: 1, IdleTimeout: time.Hour}
		ingress, eventLoop = NewIngress(core, r, env.agent.Listener.Addr().String(),
			conntable.NewSharedLimit(1).NewTable(limits), true), r
		core.AddIngress(Front, ingress)
		core.UpdateRoutes("whole", Routes(env.endpointList("active")))
		return ingress.Accept
	})
	first := dialClient(t, addr)
	first.ping()
	done := make(chan bool)
	eventLoop.Post(func() {
		// As with a pending reply.
		ingress.table.Each(func(entry *conntable.Entry) { entry.Move(conntable.Busy, eventLoop.Now()) })
		close(done)
	})
	<-done
	second := dialClient(t, addr)
	second.send("PING")
	if got, err := second.readLine(); got != "-BUSY 500" {
		t.Fatal(got, err)
	}
	if _, err := second.readLine(); !errors.Is(err, io.EOF) {
		t.Fatal("not closed gracefully:", err)
	}
	first.ping() // idle again
	eventLoop.Post(func() {
		ingress.table.Expire(eventLoop.Now()+2*time.Hour, 10, conntable.HasUnhandledInput, conntable.EvictOwner)
	})
	if _, err := first.readLine(); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
}

// The memory of an idle client: the size of its record, and its share of the heap with ten thousand
// clients in a table.
func TestClientMemory(t *testing.T) {
	if size := unsafe.Sizeof(client{}); size > 136 {
		t.Errorf("a client's record has %d bytes", size)
	}
	const count = 10_000
	ingress := &Ingress{table: conntable.NewSharedLimit(count).NewTable(Limits(count))}
	clients := make([]*client, count)
	before := testkit.HeapBytes()
	for i := range clients {
		clients[i] = &client{ingress: ingress, conn: &reactor.Conn{}}
		ingress.table.Admit(&clients[i].Entry, clients[i], netip.Addr{}, time.Duration(i))
		clients[i].buffer.Store(clients[i].buffer.Append([]byte("*1\r\n$4\r\nPI")))
		clients[i].buffer.Reset()
	}
	if perClient := (testkit.HeapBytes() - before) / count; perClient > 256 {
		t.Errorf("an idle client uses %d bytes of heap", perClient)
	}
	runtime.KeepAlive(clients)
}

// Clients may use one third of the descriptors, which is two thirds of the room. Idle connections are closed
// before clients reach that, but not if at most half of the room is in use.
func TestIdleClientsExpireBelowLimit(t *testing.T) {
	const maxClients = 192
	table := conntable.NewSharedLimit(maxClients).NewTable(Limits(maxClients))
	clients := make([]*client, maxClients*2/3)
	for i := range clients {
		clients[i] = &client{}
		table.Admit(&clients[i].Entry, clients[i], netip.Addr{}, 0)
		table.Move(&clients[i].Entry, conntable.Idle, 0)
	}
	table.Expire(time.Second, maxClients, nil, func(*conntable.Entry, conntable.Reason) {})
	if remaining := table.Len(); remaining != maxClients/2 {
		t.Fatalf("%d of %d idle connections remain", remaining, len(clients))
	}
}
