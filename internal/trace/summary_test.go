package trace

import (
	"strings"
	"testing"

	"brackendale/scheduler"
)

// A Summary adds up what Writers write: over several senders, with ids that contain separators, with messages that
// share a call, and with restored, rejected and failed requests.
func TestSummaryAddsUpWrittenLinesOfSenders(t *testing.T) {
	const id, endpoint = "a b:c\ntrace", "h:80"
	dest := func(string) int64 { return 7 }
	summary := NewSummary(100_000)
	sender := func(name string, steps func(*Writer)) {
		var out strings.Builder
		out.WriteString("0.017 {\"message\":\"serving\"}\n")
		steps(NewWriter(&out, name))
		if err := summary.Read(strings.NewReader(out.String())); err != nil {
			t.Fatal(err)
		}
	}
	accepted := func(id string, restored bool) scheduler.Event {
		return scheduler.Event{
			Kind: scheduler.RequestAccepted, ID: id, Class: "safe", Tenant: "t", Destination: 7,
			Deadline: 2_000_000, Restored: restored,
		}
	}
	finished := func(id, outcome string, retryAfterMs int64, loadReport ...float64) scheduler.Event {
		return scheduler.Event{
			Kind: scheduler.AttemptFinished, ID: id, Endpoint: endpoint,
			Outcome: scheduler.Outcome(outcome), RetryAfterMs: retryAfterMs, LoadReport: loadReport,
		}
	}
	start := func(id string) scheduler.Action {
		return scheduler.Action{Kind: scheduler.StartAttempt, ID: id, Endpoint: endpoint, TimeoutUs: 500_000}
	}
	sender("n 1", func(w *Writer) {
		w.Step(1_000_000, []scheduler.Event{accepted(id, false), accepted("m2", false)},
			[]scheduler.Action{start(id), start("m2")}, dest)
		w.Step(1_020_000, []scheduler.Event{{Kind: scheduler.TimerFired}}, nil, dest)
		w.Step(1_050_000, []scheduler.Event{finished(id, "GOOD", 0, 0.5, 40), finished("m2", "GOOD", 0, 0.5, 40)},
			[]scheduler.Action{{Kind: scheduler.CloseIdleConnections, Endpoint: endpoint}}, dest)
	})
	sender("n2", func(w *Writer) {
		w.Step(1_010_000, []scheduler.Event{{Kind: scheduler.EndpointsUpdated, Update: "whole"}, accepted("m3", true)},
			[]scheduler.Action{start("m3")}, dest)
		w.Step(1_120_000, []scheduler.Event{finished("m3", "FULL", 0)},
			[]scheduler.Action{{Kind: scheduler.Reject, ID: "m3", RetryAfterUs: 200_000}}, dest)
		w.Step(1_130_000, nil, []scheduler.Action{start("m3")}, dest)
		w.Step(1_140_000, []scheduler.Event{finished("m3", "FULL", 300, 0, 40)},
			[]scheduler.Action{{Kind: scheduler.CancelAttempt, ID: "m3", Attempt: 1}, {Kind: scheduler.Fail, ID: "m3"}}, dest)
	})
	var out strings.Builder
	if err := summary.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := "dest 7      0.0 s  in 3 held 1 calls 2 back 0 failed 0 GOOD 1\n" +
		"dest 7      0.1 s  in 0 held 0 calls 1 back 1 failed 1 DOOR 1 FULL 1 waits 1\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	if summary.Read(strings.NewReader("trace 5 n1 i:m1:h:seven:1\n")) == nil {
		t.Error("a malformed record was accepted")
	}
}
