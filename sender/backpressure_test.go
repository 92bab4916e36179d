package sender

import "testing"

// Backpressure begins at the high mark and ends at the low one, and does not change in between.
func TestBackpressure(t *testing.T) {
	var p backpressure
	for i, c := range []struct {
		a, b        float64
		changed, on bool
	}{
		{0.5, 0.89, false, false},
		{0.1, 0.9, true, true},
		{0.95, 0.1, false, true},
		{0.71, 0.8, false, true},
		{0.70, 0.3, true, false},
		{0.85, 0.89, false, false},
		{1, 1, true, true},
		{0, 0, true, false},
	} {
		got := p.update(fillLevel{"a", c.a}, fillLevel{"b", c.b})
		if got != c.changed || p.on != c.on || p.on == (p.reason == "") {
			t.Fatalf("step %d: %v, %+v", i, got, p)
		}
	}
}

// A front that listens gets one call when clients should hold back, and one when they need not any
// more. A nearly full journal is reason enough.
func TestBackpressureIsNotified(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	listener := &backpressureFront{recordingFront: f}
	s.AddIngress("g", listener)
	for _, on := range []bool{true, false} {
		s.Pause(on)
		f.step(t)
		f.step(t)
	}
	if len(listener.on) != 2 || !listener.on[0] || listener.on[1] {
		t.Fatal(listener.on)
	}
	s, f = newTestSender(t, t.TempDir(), 64<<10)
	listener = &backpressureFront{recordingFront: f}
	s.AddIngress("g", listener)
	big := request(s, "big", 9e6)
	big.Body = make([]byte, 20<<10)
	f.step(t, big)
	if len(listener.on) != 1 || s.journal.FillLevel() < highWatermark {
		t.Fatal(listener.on, s.journal.FillLevel())
	}
}

// backpressureFront is a front that listens for backpressure.
type backpressureFront struct {
	*recordingFront
	on []bool
}

func (p *backpressureFront) SetBackpressure(on bool, _ string) { p.on = append(p.on, on) }
