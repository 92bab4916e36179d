package platform

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// largeBody is more than a small receive buffer takes, in bytes.
const largeBody = 60_000

// smallBuffer is the size of a small receive buffer, in bytes.
const smallBuffer = 1024

// newSlowReader listens with a small receive buffer, so that a large request stays in the sender's socket.
func newSlowReader(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// A call that was given up is read whole by an endpoint that begins to read only then.
func TestBytesOfAnAbandonedCall(t *testing.T) {
	const number = 0
	for name, test := range map[string]struct {
		prepare func(attempt *sender.Attempt)
		giveUp  func(h *egressHarness)
	}{
		"timed out": {prepare: func(attempt *sender.Attempt) { attempt.TimeoutUs = 200_000 }},
		"idempotency window over": {prepare: func(attempt *sender.Attempt) {
			attempt.StartBy = attempt.Deadline - 59_800_000
		}},
		"canceled": {giveUp: func(h *egressHarness) { h.egress.Cancel("m1", number) }},
		"Retry-After": {giveUp: func(h *egressHarness) {
			h.egress.applyRetryAfter(h.route, sender.AttemptResult{RetryAfterMs: 60_000})
		}},
		"Retry-After of another process": {giveUp: func(h *egressHarness) {
			h.egress.StartRetryAfter(h.egress.Gate.RouteName(h.route.Endpoint), 60_000)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newEgressHarness(t)
			listener := newSlowReader(t)
			h.route.Dial = listener.Addr().String()
			attempt := sender.Attempt{
				ID: "m1", Body: bytes.Repeat([]byte("x"), largeBody), TimeoutUs: 60e6, Deadline: h.core.Now() + 60e6,
			}
			if test.prepare != nil {
				test.prepare(&attempt)
			}
			h.runOnLoop(func() { h.egress.Send(h.route, []sender.Attempt{attempt}) })
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			h.awaitSent("m1")
			if test.giveUp != nil {
				h.runOnLoop(func() { test.giveUp(h) })
			}
			h.awaitNoCalls()
			if size := readAll(conn); size >= largeBody {
				t.Fatalf("%d bytes arrived, which is the whole call", size)
			}
		})
	}
}

// readAll reads until the connection ends, and returns the number of bytes.
func readAll(conn net.Conn) (size int) {
	_ = conn.SetReadDeadline(time.Now().Add(standin.Long))
	all, _ := io.ReadAll(conn)
	return len(all)
}

// awaitSent waits until the call of a message was written to its socket, which holds a part of it.
func (h *egressHarness) awaitSent(id string) {
	h.t.Helper()
	h.waitUntil("the call is in its socket", func() bool {
		c := h.egress.calls[id]
		return c != nil && c.exchange.sent() && c.exchange.conn.UnsentBytes() > 0
	})
}

// awaitNoCalls waits until no call is in flight.
func (h *egressHarness) awaitNoCalls() {
	h.t.Helper()
	h.waitUntil("no call is in flight", func() bool { return h.egress.InFlight() == 0 })
}
