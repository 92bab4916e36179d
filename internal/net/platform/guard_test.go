package platform

import (
	"testing"

	"brackendale/internal/failpoint"
	"brackendale/internal/lifecycle"
	"brackendale/sender"
)

// A call is written although its message ends while the call is about to be checked. What ends between the check and
// the write is written before the end can be told, since both are done on the event loop.
func TestEndBetweenTheCheckAndTheWrite(t *testing.T) {
	for point, wantWritten := range map[failpoint.Point]bool{
		failpoint.BeforeAdmission: false,
		failpoint.AttemptAdmitted: true,
	} {
		t.Run(string(point), func(t *testing.T) {
			h := newEgressHarness(t)
			var violations []lifecycle.Violation
			guard := lifecycle.New(func(kind lifecycle.Violation, _ string, _ int) { violations = append(violations, kind) })
			guard.Accept("m1", true, false)
			guard.Start("m1", 0)
			defer failpoint.SetHook(func(reached failpoint.Point) {
				if reached == point && guard.State("m1") == lifecycle.InFlight {
					guard.End("m1", false)
					h.eventLoop.Post(func() { guard.Notify("m1") })
				}
			})()
			attempt := h.newAttempt("m1")[0]
			h.runOnLoop(func() { h.egress.Send(h.route, []sender.Attempt{attempt.WithGuard(guard)}) })
			if wantWritten {
				receive(t, h.endpoint.requests).respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			h.awaitNoCalls()
			if len(h.endpoint.requests) > 0 {
				t.Error("the call was written")
			}
			h.runOnLoop(func() {
				if len(violations) > 0 {
					t.Error(violations)
				}
			})
		})
	}
}

// An unread rest of a call arrives after the final answer of its message was told.
func TestUnsentBytesWhenTheEndIsTold(t *testing.T) {
	h := newEgressHarness(t)
	listener := newSlowReader(t)
	h.route.Dial = listener.Addr().String()
	attempt := h.newAttempt("m1")
	attempt[0].Body = make([]byte, largeBody)
	h.runOnLoop(func() { h.egress.Send(h.route, attempt) })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	h.awaitSent("m1")
	h.runOnLoop(func() { h.egress.Abandon("m1") })
	h.awaitNoCalls()
	if size := readAll(conn); size >= largeBody {
		t.Errorf("%d bytes arrived, which is the whole call", size)
	}
}
