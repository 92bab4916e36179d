package lifecycle

import (
	"math/rand"
	"testing"
)

// step is one call of the guard, and the kind of violation that it must report; empty: none.
type step struct {
	call func(g *Guard) (allowed bool)
	want Violation
}

func take(unsafe, mayHaveRun bool) func(*Guard) bool {
	return func(g *Guard) bool { g.Accept("m", unsafe, mayHaveRun); return true }
}

func start(attempt int) func(*Guard) bool {
	return func(g *Guard) bool { return g.Start("m", attempt) }
}

func finish(mayHaveRun bool) func(*Guard) bool {
	return func(g *Guard) bool { g.Finish("m", mayHaveRun); return true }
}

func end(returned bool) func(*Guard) bool {
	return func(g *Guard) bool { return g.End("m", returned) }
}

func tell(g *Guard) bool { g.Notify("m"); return true }

func left(attempt int) func(*Guard) bool {
	return func(g *Guard) bool { g.Left("m", attempt); return true }
}

func forget(g *Guard) bool { g.Forget("m"); return true }

// Each kind of violation is found, where it comes, and nothing else is taken for one.
func TestViolations(t *testing.T) {
	const safe, unsafe, ran, notRun, returned, failed = false, true, true, false, true, false
	for name, steps := range map[string][]step{
		"delivered at the second attempt": {
			{take(safe, notRun), ""},
			{start(0), ""},
			{left(0), ""},
			{finish(ran), ""},
			{start(1), ""},
			{left(1), ""},
			{finish(ran), ""},
			{end(failed), ""},
			{forget, ""},
		},
		"ended while an attempt is out": {
			{take(unsafe, notRun), ""}, {start(0), ""}, {left(0), ""}, {end(failed), ""}, {tell, ""}, {finish(ran), ""},
		},
		"taken on twice":  {{take(safe, notRun), ""}, {take(safe, notRun), AcceptedTwice}},
		"unknown":         {{start(0), StartedUnknown}},
		"beside":          {{take(safe, notRun), ""}, {start(0), ""}, {start(1), StartedBeside}},
		"behind the end":  {{take(safe, notRun), ""}, {end(returned), ""}, {start(0), StartedAfterEnd}},
		"unsafe repeated": {{take(unsafe, notRun), ""}, {start(0), ""}, {finish(ran), ""}, {start(1), RepeatedUnsafe}},
		"unsafe retried":  {{take(unsafe, notRun), ""}, {start(0), ""}, {finish(notRun), ""}, {start(1), ""}},
		"unsafe restored": {{take(unsafe, ran), ""}, {start(1), RepeatedUnsafe}, {end(failed), ""}},
		"ended twice":     {{take(safe, notRun), ""}, {end(failed), ""}, {end(failed), EndedTwice}},
		"returned, ran":   {{take(unsafe, ran), ""}, {end(returned), ReturnedUnsafe}},
		"returned, out":   {{take(unsafe, notRun), ""}, {start(0), ""}, {end(returned), ReturnedUnsafe}},
		"returned, safe":  {{take(safe, ran), ""}, {end(returned), ""}},
		"told, not ended": {{take(safe, notRun), ""}, {tell, NotifiedUnended}},
		"left behind told": {
			{take(safe, notRun), ""}, {start(0), ""}, {end(failed), ""}, {tell, ""}, {left(0), LeftAfterNotified},
		},
		"left, forgotten": {
			{take(safe, notRun), ""}, {start(0), ""}, {end(failed), ""}, {forget, ""}, {left(0), LeftAfterNotified},
		},
		"left, other": {{take(safe, notRun), ""}, {start(1), ""}, {left(0), LeftUnannounced}},
	} {
		t.Run(name, func(t *testing.T) {
			var found Violation
			g := New(func(kind Violation, _ string, _ int) { found = kind })
			for i, step := range steps {
				found = ""
				if step.call(g); found != step.want {
					t.Fatalf("step %d: found %q, want %q", i, found, step.want)
				}
			}
		})
	}
}

// Whatever is asked in whatever order: bytes may leave only of the attempt that is out, of a message without an end,
// and a refused start changes nothing.
func TestBytesMayLeaveInNoOtherState(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	g := New(func(Violation, string, int) {})
	attempt := 0
	for range 200_000 {
		before := g.State("m")
		switch rng.Intn(8) {
		case 0:
			g.Accept("m", rng.Intn(2) == 0, false)
		case 1, 2:
			number := rng.Intn(4)
			if g.Start("m", number) {
				attempt = number
			} else if g.State("m") != before {
				t.Fatalf("a refused start leads from %v to %v", before, g.State("m"))
			}
		case 3:
			g.Finish("m", rng.Intn(2) == 0)
		case 4:
			g.End("m", rng.Intn(2) == 0)
		case 5:
			g.Notify("m")
		case 6:
			g.Forget("m")
		case 7:
			g.Undo("m")
		}
		for number := range 4 {
			_, out := g.IsOut("m")
			want := g.State("m") == InFlight && out && number == attempt
			if got := g.MayLeave("m", number); got != want {
				t.Fatalf("attempt %d may leave: %v in state %v, the attempt out is %d", number, got, g.State("m"), attempt)
			}
		}
	}
}
