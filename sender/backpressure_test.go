package sender

import "testing"

// Backpressure turns on at the high watermark, turns off at the low one, and does not change in between.
func TestBackpressure(t *testing.T) {
	var state backpressure
	for i, test := range []struct {
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
		got := state.update(fillLevel{"a", test.a}, fillLevel{"b", test.b})
		if got != test.changed || state.on != test.on || state.on == (state.reason == "") {
			t.Fatalf("step %d: changed %v, %+v", i, got, state)
		}
	}
}

// A BackpressureListener is called once when backpressure turns on and once when it turns off. A nearly
// full journal turns it on.
func TestBackpressureIsNotified(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	listener := &backpressureFront{recordingFront: front}
	core.AddIngress("g", listener)
	for _, on := range []bool{true, false} {
		core.Pause(on)
		front.step(t)
		front.step(t)
	}
	if len(listener.on) != 2 || !listener.on[0] || listener.on[1] {
		t.Fatal(listener.on)
	}
	core, front = newTestSender(t, t.TempDir(), 64<<10)
	listener = &backpressureFront{recordingFront: front}
	core.AddIngress("g", listener)
	big := request(core, "big", 9e6)
	big.Body = make([]byte, 20<<10)
	front.step(t, big)
	if len(listener.on) != 1 || core.journal.FillLevel() < highWatermark {
		t.Fatal(listener.on, core.journal.FillLevel())
	}
}

// backpressureFront is a front that records its SetBackpressure calls.
type backpressureFront struct {
	*recordingFront
	on []bool
}

func (f *backpressureFront) SetBackpressure(on bool, _ string) { f.on = append(f.on, on) }
