package sender

import (
	"fmt"
	"testing"
	"time"
)

// A life serves in full once it knows a list, all that the life before left has its end, and no more is held than came within a
// second; each start names how the folder was found.
func TestFullService(t *testing.T) {
	dir := t.TempDir()
	s, f := begin(t, dir, 1<<20)
	if s.life.start != startNew {
		t.Errorf("an empty folder is %q", s.life.start)
	}
	f.round(t, exchange(s, "m1", 60e6), exchange(s, "m2", 60e6))
	_ = s.spool.Close()

	s, f = begin(t, dir, 1<<20)
	if s.life.start != startJournal {
		t.Errorf("a journal and no memory are %q", s.life.start)
	}
	s.restore()
	s.life.full.Store(0) // the round above came before it, which no sender's does
	s.life.looked = time.Now().Add(-time.Second)
	f.round(t)
	if s.life.full.Load() != 0 || s.life.takenUp == 0 || s.life.list.Load() == 0 {
		t.Fatalf("full with %d left of %d, list %d", len(s.life.left), s.life.takenUp, s.life.list.Load())
	}
	for id := range s.life.left {
		s.end(id, Delivered, 0)
	}
	s.life.looked = time.Now().Add(-time.Second)
	f.round(t)
	if s.life.full.Load() == 0 || s.life.all.Load() == 0 {
		t.Error("never full")
	}
	want := map[string]float64{"lb_life_full": 1, "lb_life_taken_up": float64(s.life.takenUp)}
	for _, x := range s.Life() {
		if v, ok := want[x.Name]; ok && v != x.Value {
			t.Errorf("%s %v, want %v", x.Name, x.Value, v)
		}
	}
	got := fmt.Sprint(found(true, true, true), found(false, true, true), found(false, false, true))
	if got != fmt.Sprint(startHanded, startKept, startMemory) {
		t.Error(got)
	}
}
