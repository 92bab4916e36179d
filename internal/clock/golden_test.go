package clock

import (
	"encoding/json"
	"testing"
	"time"
)

// A Reading is stored in the snapshot. Its JSON names and its unit, microseconds, must not change.
func TestGoldenReading(t *testing.T) {
	const want = `{"Wall":1700000000000001,"Boot":50000002,"ID":"boot-1"}`
	reading := Reading{Wall: 1_700_000_000_000_001, SinceBoot: 50_000_002, BootID: "boot-1"}
	if raw, err := json.Marshal(reading); err != nil || string(raw) != want {
		t.Errorf("%s %v", raw, err)
	}
	var got Reading
	if err := json.Unmarshal([]byte(want), &got); err != nil || got != reading {
		t.Errorf("%+v %v", got, err)
	}
	if later := reading.SinceBoot.Add(3 * time.Millisecond); later != 50_003_002 ||
		later.Sub(reading.SinceBoot) != 3*time.Millisecond {
		t.Error(later)
	}
}
