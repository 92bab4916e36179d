package timers

import (
	"strconv"
	"testing"
	"time"
	"unsafe"

	"brackendale/internal/testing/testkit"

	"github.com/RussellLuo/timingwheel"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "3000") }

// entry is a timer with its state in the model.
type entry struct {
	t     Timer
	due   time.Duration // 0: not set
	slack time.Duration
}

func (e *entry) Due(*Timer) {}

// Compares the wheel with a model that is a plain list: no timer fires early, later than its slack allows, or twice,
// none is skipped by an advance of any length, and Next never returns a time after a timer's latest time.
func TestAgainstModel(t *testing.T) {
	slacks := []time.Duration{0, 0, TickSlack, CoarseSlack, 300 * time.Millisecond, 70 * time.Second, 5 * time.Hour}
	rapid.Check(t, func(t *rapid.T) {
		w, now := New(), time.Duration(0)
		entries := make([]entry, 30)
		setCount := 0
		fireDue := func(budget int) {
			_, more := w.FireDue(budget, func(h Handler, timer *Timer) {
				e := h.(*entry)
				if &e.t != timer || e.due == 0 || e.due > now {
					t.Fatalf("due at %v, fired at %v", e.due, now)
				}
				e.due = 0
				setCount--
			})
			if !more && budget > len(entries) {
				for i := range entries {
					if e := &entries[i]; e.due > 0 && e.due+max(e.slack, Tick)+Tick <= now {
						t.Fatalf("due at %v with slack %v, not fired by %v", e.due, e.slack, now)
					}
				}
			}
		}
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(1, 1<<rapid.IntRange(1, 52).Draw(t, "scale")).Draw(t, "span"))
		})
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				e := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "i")]
				if e.due == 0 {
					setCount++
				}
				e.due, e.slack = now+duration.Draw(t, "after"), rapid.SampledFrom(slacks).Draw(t, "slack")
				w.Start(&e.t, e.due, e.slack, e)
			},
			"stop": func(t *rapid.T) {
				e := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "i")]
				if w.Stop(&e.t) != (e.due != 0) {
					t.Fatal("Stop does not report whether the timer was set")
				} else if e.due != 0 {
					setCount--
				}
				e.due = 0
			},
			"advance": func(t *rapid.T) {
				now += duration.Draw(t, "by")
				w.Advance(now)
				fireDue(rapid.SampledFrom([]int{0, 1, 100}).Draw(t, "budget"))
			},
			"sleep until Next": func(t *rapid.T) {
				due, ok := w.Next()
				if !ok {
					return
				}
				for i := range entries {
					if e := &entries[i]; e.due > 0 && due > max(now, e.due+max(e.slack, Tick)+Tick) {
						t.Fatalf("Next is %v, too late for the timer at %v", due, e.due)
					}
				}
				now = max(now, due)
				w.Advance(now)
				fireDue(100)
			},
			"": func(t *rapid.T) {
				if w.Len() != setCount {
					t.Fatalf("the wheel holds %d timers, not %d", w.Len(), setCount)
				}
			},
		})
	})
}

// When slots of two levels began at the same tick, the lower one was skipped and its timer fired one revolution of that
// level late. The watch of the registry became unresponsive because of it.
func TestSlotsThatBeginTogether(t *testing.T) {
	w, fired := New(), 0
	w.Advance(CoarseSlack - Tick)
	var a, b Timer
	w.Start(&a, CoarseSlack, 0, Func(func() { fired++ }))
	w.Start(&b, CoarseSlack, CoarseSlack, Func(func() { fired++ }))
	w.Advance(CoarseSlack)
	if w.FireDue(9, func(h Handler, t *Timer) { h.Due(t) }); fired != 2 {
		t.Fatal("fired", fired)
	}
}

// Timers with slack that are due at the same time fire in batches, those without slack at once; a handler that sets its
// timer to the current time does not keep FireDue from returning.
func TestFireDueBudget(t *testing.T) {
	w := New()
	coarse, exactFired := make([]Timer, 10_000), 0
	for i := range coarse {
		w.Start(&coarse[i], time.Second, CoarseSlack, Func(func() {}))
	}
	var exact Timer
	var handler Func
	handler = func() {
		exactFired++
		w.Start(&exact, 0, 0, handler)
	}
	w.Start(&exact, time.Second+200*time.Millisecond, 0, handler)
	w.Advance(2 * time.Second)
	for call, remaining := 0, len(coarse); remaining > 0; call++ {
		fired, more := w.FireDue(64, func(h Handler, t *Timer) { h.Due(t) })
		if remaining -= fired - 1; exactFired != call+1 || !more {
			t.Fatalf("call %d: %d exact timers fired, %d timers remaining", call, exactFired, remaining)
		}
		if call == 0 && w.Stop(&coarse[9_999]) {
			remaining--
		}
	}
}

// The size of a timer is part of the memory that every connection uses.
func TestSize(t *testing.T) {
	if n := unsafe.Sizeof(Timer{}); n > 48 {
		t.Fatalf("a timer takes %d bytes", n)
	}
	if n := unsafe.Sizeof(Wheel{}); n > 97<<10 {
		t.Fatalf("a wheel takes %d bytes", n)
	}
}

// BenchmarkRestart measures resetting a timer among others, as a connection does when it receives input.
func BenchmarkRestart(b *testing.B) {
	for _, n := range []int{1_000, 17_000, 250_000} {
		noop := Func(func() {})
		after := func(i int) time.Duration { return time.Duration(1+i%10_000) * 5 * time.Millisecond }
		name := func(implementation string) string { return implementation + "/" + strconv.Itoa(n) }
		b.Run(name("wheel-coarse"), func(b *testing.B) {
			w, ts := New(), make([]Timer, n)
			b.ReportAllocs()
			for i := range b.N {
				w.Start(&ts[i%n], after(i), CoarseSlack, noop)
			}
		})
		b.Run(name("wheel-soft"), func(b *testing.B) {
			w, ts := New(), make([]Timer, n)
			b.ReportAllocs()
			for i := range b.N {
				w.Start(&ts[i%n], after(i), TickSlack, noop)
			}
		})
		b.Run(name("wheel-exact"), func(b *testing.B) {
			w, ts := New(), make([]Timer, n)
			b.ReportAllocs()
			for i := range b.N {
				w.Start(&ts[i%n], after(i), 0, noop)
			}
		})
		b.Run(name("time.AfterFunc"), func(b *testing.B) {
			ts := make([]*time.Timer, n)
			b.ReportAllocs()
			for i := range b.N {
				if ts[i%n] == nil {
					ts[i%n] = time.AfterFunc(time.Hour, func() {})
				}
				ts[i%n].Reset(after(i) + time.Minute)
			}
			b.StopTimer()
			for _, t := range ts {
				if t != nil {
					t.Stop()
				}
			}
		})
		b.Run(name("RussellLuo"), func(b *testing.B) {
			w, ts := timingwheel.NewTimingWheel(time.Millisecond, 256), make([]*timingwheel.Timer, n)
			w.Start()
			defer w.Stop()
			b.ReportAllocs()
			for i := range b.N {
				if ts[i%n] != nil {
					ts[i%n].Stop()
				}
				ts[i%n] = w.AfterFunc(after(i)+time.Minute, func() {})
			}
		})
	}
}

// BenchmarkHeartbeats measures the whole cycle of a heartbeat timer: it is inserted, moved, fired and set again.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{17_000, 250_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			w, ts, now := New(), make([]Timer, n), time.Duration(0)
			for i := range ts {
				w.Start(&ts[i], time.Duration(i)*5*time.Second/time.Duration(n), CoarseSlack, Func(func() {}))
			}
			b.ResetTimer()
			for fired := 0; fired < b.N; {
				now += 50 * time.Millisecond
				w.Advance(now)
				k, _ := w.FireDue(n, func(h Handler, t *Timer) { w.Start(t, now+5*time.Second, CoarseSlack, h) })
				fired += k
			}
		})
	}
}
