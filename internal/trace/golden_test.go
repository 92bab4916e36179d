package trace

import (
	"strings"
	"testing"

	"brackendale/internal/testing/golden"
	"brackendale/scheduler"
)

// The golden files hold lines as serve --trace writes them, which other programs read, and the sums that the command
// count prints for them. After an intended change, go test ./internal/trace -run Golden -update-golden regenerates
// them.

// TestGoldenLines covers each kind of event and action on a line of its own, one line with all of them, and names that
// contain separators of fields, records and lines.
func TestGoldenLines(t *testing.T) {
	const now = 1_000_000
	events := []scheduler.Event{
		{Kind: scheduler.RequestAccepted, ID: "m1", Class: "safe", Tenant: "t", Destination: 7, Deadline: 3_500_000},
		{Kind: scheduler.RequestAccepted, ID: "m2", Class: "once", Destination: 8, Deadline: 500_000, Restored: true},
		{Kind: scheduler.RequestAccepted, ID: "a b:c\n%+&", Class: "ä", Tenant: ":", Destination: -1, Deadline: now},
		{Kind: scheduler.AttemptFinished, ID: "m1", Attempt: 2, Endpoint: "e:1", Outcome: "FULL", RetryAfterMs: 700},
		{
			Kind: scheduler.AttemptFinished, ID: "m1", Endpoint: "e1", Outcome: "GOOD",
			LoadReport: []float64{0.5, 40, 1e9, 1.0 / 3},
		},
		{Kind: scheduler.EndpointsUpdated, Update: "whole", Endpoints: make([]scheduler.Endpoint, 3)},
	}
	withoutRecord := []scheduler.EventKind{
		scheduler.ResponseStarted, scheduler.RequestWithdrawn, scheduler.TimerFired, scheduler.HealthChecked,
		scheduler.PeerMessage, scheduler.ShutdownStarted,
		scheduler.QuotaAssigned, scheduler.RetryAfterShared, scheduler.ProbeDelegated, scheduler.RecoveryObserved,
	}
	actions := []scheduler.Action{
		{Kind: scheduler.StartAttempt, ID: "m1", Endpoint: "e:1", TimeoutUs: 1_500_999},
		{Kind: scheduler.Reject, ID: "m1", RetryAfterUs: 250_000},
		{Kind: scheduler.Fail, ID: "m1"},
		{Kind: scheduler.SetTimer, DelayUs: 5, TimerID: 6},
		{Kind: scheduler.WriteLog, Text: "text"},
		{Kind: scheduler.CancelAttempt, ID: "m1", Attempt: 3},
		{Kind: scheduler.CloseIdleConnections, Endpoint: "e:1"},
	}
	var out strings.Builder
	w := NewWriter(&out, "n 1:x")
	step := func(events []scheduler.Event, actions []scheduler.Action) {
		w.Step(now, events, actions, func(string) int64 { return 7 })
	}
	for _, event := range events {
		step([]scheduler.Event{event}, nil)
	}
	for _, kind := range withoutRecord {
		step([]scheduler.Event{{Kind: kind, ID: "m1", Endpoint: "e1"}}, nil)
	}
	for _, action := range actions {
		step(nil, []scheduler.Action{action})
	}
	step(events, actions)
	golden.Check(t, "lines.txt", out.String())
	summary := NewSummary(100_000)
	if err := summary.Read(strings.NewReader(out.String())); err != nil {
		t.Fatal(err)
	}
	var sums strings.Builder
	if err := summary.Write(&sums); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "counts.txt", sums.String())
}
