package quota

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"brackendale/internal/testing/golden"
)

// TestGoldenState checks the JSON of a stored limit, and that the same limit is restored from it.
func TestGoldenState(t *testing.T) {
	var limit Limit
	limit.Observe(1_234_567, 0.625, 160)
	raw, err := json.Marshal(limit.State())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "saved.json", string(append(raw, '\n')))
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", "saved.json"))
	if err != nil {
		t.Fatal(err)
	}
	var saved [3]float64
	if err := json.Unmarshal(stored, &saved); err != nil {
		t.Fatal(err)
	}
	if got := FromState(saved); got != limit {
		t.Errorf("read back: %+v", got)
	}
}

// TestGoldenBehaviour hashes the outputs of seeded sequences of inputs.
func TestGoldenBehaviour(t *testing.T) {
	var out bytes.Buffer
	for seed := range int64(6) {
		golden.Fingerprint(&out, fmt.Sprintf("limit-%d", seed), 3000, limitScenario(seed))
	}
	golden.Check(t, "behaviour.txt", out.String())
}

// limitScenario observes reports, some of them out of range, and restores a stored state now and then.
func limitScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	var limit Limit
	now := int64(0)
	return func(i int) string {
		now += rng.Int63n(1 << rng.Intn(24))
		if i > 3 && rng.Intn(3) == 0 {
			limit.Observe(now, rng.Float64()*1.4-0.2, float64(rng.Intn(500)-20))
		}
		if rng.Intn(50) == 0 {
			limit = FromState(limit.State())
		}
		senders := float64(rng.Intn(200))
		readAt := now + rng.Int63n(5_000_000) - 1_000_000
		return fmt.Sprint(limit.Known(), limit.MaxRate(readAt, senders), limit.EvenShare(senders),
			limit.MinRate(senders), limit.State())
	}
}
