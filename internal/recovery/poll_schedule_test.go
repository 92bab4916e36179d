package recovery

import (
	"testing"
	"time"
)

// Eighty senders start at the same time and the registry rejects all polls. With a fixed interval of 50 ms
// they polled 1,600 times per second in total, and no sender ever got an endpoint list.
func TestManySendersPollLessOften(t *testing.T) {
	const senders, window = 80, 100 * time.Millisecond
	pollsByWindow := make([]int, 100) // 10 s
	for i := range senders {
		schedule := NewPollSchedule(senders, int64(i), 50*time.Millisecond, 5*time.Second)
		for at := schedule.InitialDelay(); at < 10*time.Second; at += schedule.NextDelay() {
			pollsByWindow[at/window]++
		}
	}
	total, late := 0, 0
	for i, polls := range pollsByWindow {
		if total += polls; polls > senders/10 {
			t.Errorf("%d polls in the 100 ms from %v", polls, time.Duration(i)*window)
		}
		if i >= 50 {
			late += polls
		}
	}
	if perSecond := float64(late) / 5; perSecond > senders/4 {
		t.Errorf("%.0f polls per second after five seconds of rejections", perSecond)
	}
	if total < senders*3/2 {
		t.Errorf("only %d polls in 10 s: some senders were starved", total)
	}
}

// Few senders poll at once and retry after the minimum interval, without jitter.
func TestFewSendersPollAtOnce(t *testing.T) {
	for _, senders := range []int{-3, 0, 1, 3} {
		schedule := NewPollSchedule(senders, 7, 50*time.Millisecond, 5*time.Second)
		if delay := schedule.InitialDelay(); delay != 0 {
			t.Errorf("%d senders: first poll after %v", senders, delay)
		}
		if delay := schedule.NextDelay(); delay != 50*time.Millisecond {
			t.Errorf("%d senders: next poll after %v", senders, delay)
		}
	}
}

// Intervals stay within their bounds, jitter included, for any number of senders, and a success resets
// them to the first interval.
func TestIntervalsAreBoundedAndReset(t *testing.T) {
	for _, senders := range []int{8, 80, 10_000, 1 << 40} {
		schedule := NewPollSchedule(senders, 7, 50*time.Millisecond, 5*time.Second)
		first := schedule.NextDelay()
		for range 50 {
			if interval := schedule.NextDelay(); interval > 7500*time.Millisecond || interval < 25*time.Millisecond {
				t.Fatalf("%d senders: an interval of %v", senders, interval)
			}
		}
		if schedule.Reset(); senders == 8 && (first > 420*time.Millisecond || schedule.NextDelay() > 420*time.Millisecond) {
			t.Errorf("eight senders: first interval %v", first)
		}
	}
}
