package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

func testSnapshot() Snapshot {
	return Snapshot{
		Name:    "n1",
		TakenAt: clock.Reading{Wall: 1_000_000, SinceBoot: 50, BootID: "x"},
		Scheduler: scheduler.State{
			Format:       scheduler.StateFormat,
			Destinations: []scheduler.DestinationState{{Destination: 7, Floats: []float64{2.5}, Integers: []int64{900_000}}},
		},
	}
}

// Read must return what Write wrote, and must report that there is no file before. A file with a
// flipped bit, a truncated file and one of another sender must be rejected. Write must leave out
// destinations that do not fit.
func TestFile(t *testing.T) {
	dir := t.TempDir()
	if _, found, err := Read(dir, "n1"); found || err != nil {
		t.Fatal(found, err)
	}
	if err := Write(dir, testSnapshot()); err != nil {
		t.Fatal(err)
	}
	got, found, err := Read(dir, "n1")
	if err != nil || !found || got.TakenAt != testSnapshot().TakenAt || len(got.Scheduler.Destinations) != 1 ||
		got.Scheduler.Destinations[0].Floats[0] != 2.5 {
		t.Fatalf("%+v %v %v", got, found, err)
	}
	if _, _, err := Read(dir, "n2"); !errors.Is(err, ErrUnreadable) {
		t.Errorf("file of another sender: %v", err)
	}
	path := filepath.Join(dir, fileName)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		damaged := append([]byte(nil), raw...)
		damaged[i] ^= 1 << (i % 8)
		if _, err := Decode(damaged); !errors.Is(err, ErrUnreadable) {
			t.Fatalf("flipped bit in byte %d: %v", i, err)
		}
		if _, err := Decode(raw[:i]); !errors.Is(err, ErrUnreadable) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
	tooLarge := testSnapshot()
	tooLarge.Name = strings.Repeat("x", MaxBytes)
	if err := Write(dir, tooLarge); err == nil {
		t.Error("a file above MaxBytes was written")
	}
	many := testSnapshot()
	for i := range int64(5000) {
		many.Scheduler.Destinations = append(many.Scheduler.Destinations,
			scheduler.DestinationState{Destination: i, Floats: []float64{2.5}, Integers: []int64{900_000}})
	}
	err = Write(dir, many)
	if got, _, readErr := Read(dir, "n1"); err != nil || readErr != nil ||
		len(got.Scheduler.Destinations) < 100 ||
		got.Scheduler.Destinations[0].Destination != 7 {
		t.Errorf("more destinations than fit: %v %v, %d stored", err, readErr, len(got.Scheduler.Destinations))
	}
}

// The elapsed time and the shift must be right whatever the two clocks did between the snapshot and
// now.
func TestElapsed(t *testing.T) {
	const s, h = 1_000_000, 3600 * 1_000_000
	takenAt := clock.Reading{Wall: 100 * h, SinceBoot: 10 * h, BootID: "x"}
	for _, test := range []struct {
		name           string
		now            clock.Reading
		elapsed, shift int64
	}{
		{"nothing odd", clock.Reading{Wall: 100*h + 3*s, SinceBoot: 10*h + 3*s, BootID: "x"}, 3 * s, 0},
		{"set an hour forward", clock.Reading{Wall: 101*h + 3*s, SinceBoot: 10*h + 3*s, BootID: "x"}, 3 * s, 0},
		{"set an hour back", clock.Reading{Wall: 99*h + 3*s, SinceBoot: 10*h + 3*s, BootID: "x"}, 3 * s, 0},
		{"started anew", clock.Reading{Wall: 100*h + 90*s, SinceBoot: 20 * s, BootID: "y"}, 90 * s, 20*s - 10*h - 90*s},
		{"started anew and set back", clock.Reading{Wall: 99 * h, SinceBoot: 20 * s, BootID: "y"}, 0, 20*s - 10*h},
		{"no id", clock.Reading{Wall: 100*h + s, SinceBoot: 0, BootID: ""}, s, -10*h - s},
	} {
		if elapsed, shift := Elapsed(takenAt, test.now); elapsed != test.elapsed || shift != test.shift {
			t.Errorf("%s: elapsed %d, shift %d", test.name, elapsed, shift)
		}
	}
}
