package soak

import (
	"testing"
	"time"
)

// strayLength is how long clients submit messages beside stray answers alone.
const strayLength = 10 * time.Second

// A peer that answers twice, or answers nobody, must not end or repeat another message.
func TestStrayAnswerTakenForAnotherCall(t *testing.T) {
	t.Parallel()
	for name, kinds := range map[string][]strayKind{
		"copies with the next request": {strayCopyAtRequest},
		"late copies":                  {strayCopyLate},
		"every kind":                   allStrays(),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			soak(t, Options{OnlyStrays: true, Strays: kinds, Length: strayLength}, seeds(t)[:1])
		})
	}
}

// The same beside all other faults, with processes that are restarted and killed repeatedly.
func TestSoakOfStrayAnswers(t *testing.T) {
	t.Parallel()
	soak(t, Options{Strays: allStrays(), Upgrades: true}, seeds(t))
}
