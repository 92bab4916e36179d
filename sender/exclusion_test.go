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

// TestMain draws the same cases every time.
func TestMain(m *testing.M) { testkit.Seeded(m, "100") }

func newRoute(addr, state string) Route {
	return Route{Endpoint: scheduler.Endpoint{
		Addr: addr, MachineType: "k", Destination: 1,
		State: scheduler.EndpointStatus(state),
	}, Protocol: "p"}
}

// exclude calls Exclude and returns its result, which must not come before the record is written.
func exclude(t *testing.T, s *Sender, name string, out bool) (err error) {
	t.Helper()
	noResult := errors.New("no result")
	err = noResult
	s.Exclude(name, out, func(e error) {
		if err = e; e == nil && s.journal.Excluded(name) != out {
			t.Error("the result came before the change")
		}
	})
	s.runTurn()
	if errors.Is(err, noResult) {
		t.Fatal(noResult)
	}
	return err
}

// An excluded endpoint gets no new attempts, whatever updates the registry sends and over restarts.
// One call includes it again, and an endpoint that was never listed is an error.
func TestExclusionsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "exclude")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		var s *Sender
		var f *recordingFront
		restart := func() {
			if s != nil {
				_ = s.journal.Close()
			}
			set := testSettings()
			set.Limits.MaxMessages, set.Calls.ConcurrentCalls, set.Classes[0].Idempotency = 1000, 100, "repeatable"
			if s, err = New(Options{
				Settings: set, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(),
				Metrics: metrics.New([]string{"once"}),
			}); err != nil {
				t.Fatal(err)
			}
			f = &recordingFront{sender: s}
			s.AddIngress("f", f)
			s.AddEgress("p", &deliveringEgress{t: t, sender: s})
			s.restoreJournal()
		}
		restart()
		defer func() { _ = s.journal.Close() }()
		names := []string{"a", "b", "c"}
		name, state := rapid.SampledFrom(names), rapid.SampledFrom([]string{"live", "live", "quiescing", "dead"})
		listed, out, now, n := map[string]bool{}, map[string]bool{}, map[string]string{}, 0
		update := func(kind string, list []Route) {
			if kind == "whole" {
				clear(now)
			}
			for _, r := range list {
				listed[r.Addr] = true
				if now[r.Addr] = string(r.State); r.State == "dead" {
					delete(now, r.Addr)
				}
			}
			s.UpdateRoutes(scheduler.UpdateKind(kind), list)
			s.runTurn()
		}
		t.Repeat(map[string]func(*rapid.T){
			"patch": func(t *rapid.T) { update("patch", []Route{newRoute(name.Draw(t, "name"), state.Draw(t, "state"))}) },
			"whole": func(t *rapid.T) {
				var list []Route
				for _, x := range names {
					if st := state.Draw(t, x); st != "dead" {
						list = append(list, newRoute(x, st))
					}
				}
				update("whole", list)
			},
			"call": func(t *rapid.T) {
				x, want, got := name.Draw(t, "name"), rapid.Bool().Draw(t, "out"), errors.New("no result")
				s.Exclude(x, want, func(e error) { got = e })
				s.runTurn()
				if known := listed[x] || out[x]; known != (got == nil) || !known && !errors.Is(got, ErrUnknownEndpoint) {
					t.Fatalf("%s, listed %v: %v", x, known, got)
				} else if known {
					out[x] = want
				}
			},
			"restart": func(*rapid.T) { // names that were listed before are not known, but for those that are excluded
				restart()
				clear(now)
				clear(listed)
				for x, yes := range out {
					if !yes {
						delete(out, x)
					}
				}
				s.runTurn()
			},
			"offer": func(t *rapid.T) {
				n++
				s.Submit(request(s, fmt.Sprint(n), 9e6))
				s.runTurn()
			},
			"": func(t *rapid.T) {
				avoided := 0
				for x, st := range now {
					if st != "live" || out[x] {
						avoided++
					}
				}
				var text strings.Builder
				s.routesAvoided.countedAt = s.routesAvoided.countedAt.Add(-avoidedCountInterval * 2)
				s.updateMetrics()
				if err := s.metrics.Write(&text); err != nil {
					t.Fatal(err)
				}
				if want := fmt.Sprintf("lb_skipped_endpoints %d\n", avoided); !strings.Contains(text.String(), want) {
					t.Fatalf("no %q in\n%s", want, text.String())
				}
			},
		})
	})
}

// deliveringEgress reports success at once, and fails a test whose sender sends to an excluded
// endpoint.
type deliveringEgress struct {
	recordingFront
	t      *rapid.T
	sender *Sender
}

func (k *deliveringEgress) Send(to Route, attempts []Attempt) {
	if k.sender.journal.Excluded(to.Addr) {
		k.t.Fatalf("sent to %s, which is excluded", to.Addr)
	}
	for _, h := range attempts {
		k.sender.ReportAttempts(AttemptResult{ID: h.ID, Attempt: h.Number, Endpoint: to.Addr, Outcome: OutcomeSuccess})
	}
}

// An endpoint that is included again gets a slow start, once. Without room the exclusion fails.
func TestSlowStartAfterExclusion(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	if err := exclude(t, s, "a", true); err != nil {
		t.Fatal(err)
	}
	f.step(t, request(s, "m", 9e6))
	if len(f.attempts) != 0 {
		t.Fatal("sent to an excluded endpoint")
	}
	if err := exclude(t, s, "a", false); err != nil {
		t.Fatal(err)
	}
	if len(f.attempts) != 1 || s.routes["a"].SlowStart {
		t.Fatalf("%d attempts after the inclusion, slow start %v", len(f.attempts), s.routes["a"].SlowStart)
	}
	if err := exclude(t, s, "nobody", true); !errors.Is(err, ErrUnknownEndpoint) {
		t.Fatal(err)
	}
	for i := 0; ; i++ {
		s.knownEndpoints.add(fmt.Sprint("t", i))
		if err := exclude(t, s, fmt.Sprint("t", i), true); err != nil {
			if !errors.Is(err, journal.ErrFull) || i != journal.MaxExcludedEndpoints {
				t.Fatal(i, err)
			}
			return
		}
	}
}

// Each final answer is counted once, by its class, and so is a rejection.
func TestCountedOnce(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	s.options.Settings.Limits.MaxMessages = 2
	s.metrics = metrics.New([]string{"once"})
	f.mustNotify = false
	f.step(t, request(s, "m1", 9e6))
	s.ReportAttempts(AttemptResult{ID: "m1", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t, request(s, "m1", 9e6))
	f.step(t, request(s, "m2", 9e6))
	s.ReportAttempts(AttemptResult{ID: "m2", Attempt: 0, Endpoint: "a", Outcome: OutcomeReset})
	f.step(t)
	f.step(t, request(s, "m3", 9e6))
	s.Pause(true)
	f.step(t, request(s, "m4", 9e6))
	var text strings.Builder
	if err := s.metrics.Write(&text); err != nil {
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
