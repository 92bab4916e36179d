package sender

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"brackendale/internal/journal"
	"brackendale/internal/metrics"
	"brackendale/internal/testing/testkit"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// TestMain fixes the random seed, so that every run checks the same cases.
func TestMain(m *testing.M) { testkit.Seeded(m, "100") }

func newRoute(addr, state string) Route {
	return Route{Endpoint: scheduler.Endpoint{
		Addr: addr, MachineType: "k", Destination: 1,
		State: scheduler.EndpointStatus(state),
	}, Protocol: "p"}
}

// exclude calls Exclude and returns its result, which must not be reported before the change is
// recorded.
func exclude(t *testing.T, core *Sender, name string, excluded bool) (err error) {
	t.Helper()
	noResult := errors.New("no result")
	err = noResult
	core.Exclude(name, excluded, func(result error) {
		if err = result; result == nil && core.journal.Excluded(name) != excluded {
			t.Error("the result was reported before the change")
		}
	})
	core.runIteration()
	if errors.Is(err, noResult) {
		t.Fatal(noResult)
	}
	return err
}

// An excluded endpoint gets no new attempts, whatever updates the registry sends and across restarts.
// One call includes it again. Excluding an endpoint that was never listed is an error.
func TestExclusionsPersist(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "exclude")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		var core *Sender
		var front *recordingFront
		restart := func() {
			if core != nil {
				_ = core.journal.Close()
			}
			settings := testSettings()
			settings.Limits.MaxMessages, settings.Calls.ConcurrentCalls,
				settings.Classes[0].Idempotency = 1000, 100, "repeatable"
			if core, err = New(Options{
				Settings: settings, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(),
				Metrics: metrics.New([]string{"once"}),
			}); err != nil {
				t.Fatal(err)
			}
			front = &recordingFront{sender: core}
			core.AddIngress("f", front)
			core.AddEgress("p", &deliveringEgress{t: t, sender: core})
			core.restoreJournal()
		}
		restart()
		defer func() { _ = core.journal.Close() }()
		names := []string{"a", "b", "c"}
		name, state := rapid.SampledFrom(names), rapid.SampledFrom([]string{"live", "live", "quiescing", "dead"})
		listed, excluded, states, messages := map[string]bool{}, map[string]bool{}, map[string]string{}, 0
		update := func(kind string, list []Route) {
			if kind == "whole" {
				clear(states)
			}
			for _, route := range list {
				listed[route.Addr] = true
				if states[route.Addr] = string(route.State); route.State == "dead" {
					delete(states, route.Addr)
				}
			}
			core.UpdateRoutes(scheduler.UpdateKind(kind), list)
			core.runIteration()
		}
		t.Repeat(map[string]func(*rapid.T){
			"patch": func(t *rapid.T) { update("patch", []Route{newRoute(name.Draw(t, "name"), state.Draw(t, "state"))}) },
			"whole": func(t *rapid.T) {
				var list []Route
				for _, endpoint := range names {
					if status := state.Draw(t, endpoint); status != "dead" {
						list = append(list, newRoute(endpoint, status))
					}
				}
				update("whole", list)
			},
			"call": func(t *rapid.T) {
				endpoint, want, got := name.Draw(t, "name"), rapid.Bool().Draw(t, "out"), errors.New("no result")
				core.Exclude(endpoint, want, func(result error) { got = result })
				core.runIteration()
				if known := listed[endpoint] || excluded[endpoint]; known != (got == nil) ||
					!known && !errors.Is(got, ErrUnknownEndpoint) {
					t.Fatalf("endpoint %s, known %v: %v", endpoint, known, got)
				} else if known {
					excluded[endpoint] = want
				}
			},
			"restart": func(*rapid.T) { // only excluded endpoints are known across a restart
				restart()
				clear(states)
				clear(listed)
				for endpoint, isExcluded := range excluded {
					if !isExcluded {
						delete(excluded, endpoint)
					}
				}
				core.runIteration()
			},
			"offer": func(t *rapid.T) {
				messages++
				core.Submit(request(core, fmt.Sprint(messages), 9e6))
				core.runIteration()
			},
			"": func(t *rapid.T) {
				avoided := 0
				for endpoint, status := range states {
					if status != "live" || excluded[endpoint] {
						avoided++
					}
				}
				var text strings.Builder
				core.avoidedRoutes.countedAt = core.avoidedRoutes.countedAt.Add(-maxAvoidedCountAge * 2)
				core.updateMetrics()
				if err := core.metrics.Write(&text); err != nil {
					t.Fatal(err)
				}
				if want := fmt.Sprintf("lb_skipped_endpoints %d\n", avoided); !strings.Contains(text.String(), want) {
					t.Fatalf("no %q in\n%s", want, text.String())
				}
			},
		})
	})
}

// deliveringEgress reports success at once. It fails the test if an attempt is sent to an excluded
// endpoint.
type deliveringEgress struct {
	recordingFront
	t      *rapid.T
	sender *Sender
}

func (e *deliveringEgress) Send(route Route, attempts []Attempt) {
	if e.sender.journal.Excluded(route.Addr) {
		e.t.Fatalf("sent to %s, which is excluded", route.Addr)
	}
	for _, attempt := range attempts {
		e.sender.ReportAttempts(AttemptResult{
			ID: attempt.ID, Attempt: attempt.Number, Endpoint: route.Addr,
			Outcome: OutcomeSuccess,
		})
	}
}

// An endpoint that is included again gets a slow start, once. When the journal has the maximum number
// of exclusions, another one fails.
func TestSlowStartAfterExclusion(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	if err := exclude(t, core, "a", true); err != nil {
		t.Fatal(err)
	}
	front.step(t, request(core, "m", 9e6))
	if len(front.attempts) != 0 {
		t.Fatal("sent to an excluded endpoint")
	}
	if err := exclude(t, core, "a", false); err != nil {
		t.Fatal(err)
	}
	if len(front.attempts) != 1 || core.routes["a"].SlowStart {
		t.Fatalf("%d attempts after the inclusion, slow start %v", len(front.attempts), core.routes["a"].SlowStart)
	}
	if err := exclude(t, core, "nobody", true); !errors.Is(err, ErrUnknownEndpoint) {
		t.Fatal(err)
	}
	for i := 0; ; i++ {
		core.knownEndpoints.add(fmt.Sprint("t", i))
		if err := exclude(t, core, fmt.Sprint("t", i), true); err != nil {
			if !errors.Is(err, journal.ErrFull) || i != journal.MaxExcludedEndpoints {
				t.Fatal(i, err)
			}
			return
		}
	}
}

// Each final answer and each rejection is counted once, by class.
func TestFinalAnswersAreCountedOnce(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	core.options.Settings.Limits.MaxMessages = 2
	core.metrics = metrics.New([]string{"once"})
	front.mustNotify = false
	front.step(t, request(core, "m1", 9e6))
	core.ReportAttempts(AttemptResult{ID: "m1", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	front.step(t, request(core, "m1", 9e6))
	front.step(t, request(core, "m2", 9e6))
	core.ReportAttempts(AttemptResult{ID: "m2", Attempt: 0, Endpoint: "a", Outcome: OutcomeReset})
	front.step(t)
	front.step(t, request(core, "m3", 9e6))
	core.Pause(true)
	front.step(t, request(core, "m4", 9e6))
	var text strings.Builder
	if err := core.metrics.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`outcome="passed"} 1`, `outcome="dropped"} 1`, `outcome="bad_gateway"} 1`,
		"lb_in_progress 1",
	} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
}
