package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/testing/standin"
)

// A connection ends with its call: the sender closes it behind the answer, whether or not the endpoint does.
func TestConnectionOutlivesItsCall(t *testing.T) {
	h := newEgressHarness(t)
	h.runOnLoop(func() { h.egress.Send(h.route, h.newAttempt("a")) })
	request := receive(t, h.endpoint.requests)
	_, _ = io.WriteString(request.conn, strayStatuses["200"])
	_ = request.conn.SetReadDeadline(time.Now().Add(standin.Long))
	if size, err := request.conn.Read(make([]byte, 1)); size > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("%d bytes behind the call, %v", size, err)
	}
	h.waitUntil("no connection is open", func() bool { return h.egress.table.Len() == 0 })
}

// While the first connection of a call is not established, a further one is opened. The call is written on one of them,
// once, and the others are closed.
func TestCallWaitsForALateConnection(t *testing.T) {
	h := newEgressHarness(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		// A backlog of one connection, which is taken: the next one has to repeat its handshake after a second.
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	taken, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	h.route.Dial = listener.Addr().String()
	h.runOnLoop(func() {
		h.egress.connectTimeout = standin.Long
		h.egress.Send(h.route, h.newAttempt("late"))
	})
	h.waitUntil("a further connection is being opened", func() bool {
		return len(h.egress.calls["late"].exchange.dials) > 1
	})
	written := make(chan string, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go readRequests(conn, written)
		}
	}()
	if got := receive(t, written); got != "body late" {
		t.Fatalf("written: %q", got)
	}
	h.waitUntil("it has ended, and no connection is open", func() bool {
		return h.egress.calls["late"] == nil && h.egress.table.Len() == 0
	})
	if len(written) > 0 {
		t.Errorf("written again: %q", <-written)
	}
}

// readRequests answers the requests of a connection and passes on their bodies.
func readRequests(conn net.Conn, written chan<- string) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		written <- string(body)
		_, _ = io.WriteString(conn, strayStatuses["200"])
	}
}
