package admission

import (
	"testing"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

func newGate() *Gate {
	var settings scheduler.Settings
	settings.MachineTypes, settings.Calls.EndpointLimits = []string{"shared", "apart"}, []bool{false, true}
	gate := New(settings)
	for _, endpoint := range []scheduler.Endpoint{sharedA, sharedB, ownC, ownD} {
		gate.UpdateEndpoint(endpoint)
	}
	return gate
}

var (
	sharedA = scheduler.Endpoint{Addr: "a", MachineType: "shared", Destination: 7, State: "live"}
	sharedB = scheduler.Endpoint{Addr: "b", MachineType: "shared", Destination: 7, State: "live"}
	ownC    = scheduler.Endpoint{Addr: "c", MachineType: "apart", Destination: 8, State: "live"}
	ownD    = scheduler.Endpoint{Addr: "d", MachineType: "apart", Destination: 8, State: "live"}
)

// Each event that may occur between the scheduler's decision and the write, and the verdict on an attempt that could be
// sent when it was decided.
func TestVerdicts(t *testing.T) {
	changed := func(endpoint scheduler.Endpoint, change func(*scheduler.Endpoint)) scheduler.Endpoint {
		change(&endpoint)
		return endpoint
	}
	for name, test := range map[string]struct {
		event   func(*Gate)
		attempt Attempt
		now     clock.Instant
		want    Verdict
	}{
		"nothing": {func(*Gate) {}, Attempt{sharedA, 0, 1000}, 0, Admitted},
		"its own wait": {
			func(g *Gate) { g.SetRetryAfter(g.RouteName(sharedA), 0, 500) },
			Attempt{sharedA, 0, 1000},
			499, RetryAfterPending,
		},
		"its own wait is over": {
			func(g *Gate) { g.SetRetryAfter(g.RouteName(sharedA), 0, 500) },
			Attempt{sharedA, 0, 1000},
			500, Admitted,
		},
		"another endpoint's wait": {
			func(g *Gate) { g.SetRetryAfter(g.RouteName(sharedB), 0, 500) },
			Attempt{sharedA, 0, 1000},
			499, RetryAfterPending,
		},
		"a route apart's wait": {
			func(g *Gate) { g.SetRetryAfter(g.RouteName(ownC), 0, 500) },
			Attempt{ownD, 0, 1000},
			499, Admitted,
		},
		"a route apart's own wait": {
			func(g *Gate) { g.SetRetryAfter(g.RouteName(ownC), 0, 500) },
			Attempt{ownC, 0, 1000},
			499, RetryAfterPending,
		},
		"another destination's wait": {
			func(g *Gate) { g.SetRetryAfter(g.RouteName(ownC), 0, 500) },
			Attempt{sharedA, 0, 1000},
			0, Admitted,
		},
		"a shorter wait after it": {
			func(g *Gate) {
				g.SetRetryAfter(g.RouteName(sharedA), 0, 500)
				g.SetRetryAfter(g.RouteName(sharedB), 100, 200)
			},
			Attempt{sharedA, 0, 1000},
			499, RetryAfterPending,
		},
		"a longer wait after it": {
			func(g *Gate) {
				g.SetRetryAfter(g.RouteName(sharedA), 0, 200)
				g.SetRetryAfter(g.RouteName(sharedB), 100, 500)
			},
			Attempt{sharedA, 0, 1000},
			499, RetryAfterPending,
		},
		"a wait that is over between": {
			func(g *Gate) {
				g.SetRetryAfter(g.RouteName(sharedA), 0, 200)
				g.SetRetryAfter(g.RouteName(ownC), 300, 900)
			},
			Attempt{sharedA, 0, 1000},
			301, Admitted,
		},
		"replaced under a wait": {
			func(g *Gate) {
				g.SetRetryAfter(g.RouteName(sharedA), 0, 500)
				g.UpdateEndpoint(changed(sharedA, func(e *scheduler.Endpoint) { e.State = "dead" }))
			},
			Attempt{sharedB, 0, 1000},
			499, RetryAfterPending,
		},
		"drained": {
			func(g *Gate) {
				g.UpdateEndpoint(changed(sharedA, func(e *scheduler.Endpoint) { e.State = "quiescing" }))
			},
			Attempt{sharedA, 0, 1000},
			0, EndpointDraining,
		},
		"left": {
			func(g *Gate) {
				g.UpdateEndpoint(changed(sharedA, func(e *scheduler.Endpoint) { e.State = "dead" }))
			},
			Attempt{sharedA, 0, 1000},
			0, EndpointDraining,
		},
		"back again": {
			func(g *Gate) {
				g.UpdateEndpoint(changed(sharedA, func(e *scheduler.Endpoint) { e.State = "dead" }))
				g.UpdateEndpoint(sharedA)
			},
			Attempt{sharedA, 0, 1000},
			0, Admitted,
		},
		"of another destination now": {
			func(g *Gate) {
				g.UpdateEndpoint(changed(sharedA, func(e *scheduler.Endpoint) { e.Destination = 9 }))
			},
			Attempt{sharedA, 0, 1000},
			0, EndpointMoved,
		},
		"never listed": {
			func(*Gate) {},
			Attempt{scheduler.Endpoint{Addr: "z", Destination: 7}, 0, 1000},
			0, EndpointDraining,
		},
		"its time is up":           {func(*Gate) {}, Attempt{sharedA, 0, 1000}, 1000, DeadlineExceeded},
		"its key may be forgotten": {func(*Gate) {}, Attempt{sharedA, 600, 1000}, 600, IdempotencyWindowEnded},
		"its key is known":         {func(*Gate) {}, Attempt{sharedA, 600, 1000}, 599, Admitted},
		"stopped":                  {(*Gate).Stop, Attempt{sharedA, 0, 1000}, 0, ShuttingDown},
	} {
		g := newGate()
		test.event(g)
		if got := g.Admit(test.attempt, test.now); got != test.want {
			t.Errorf("%s: %v, want %v", name, got, test.want)
		}
	}
}
