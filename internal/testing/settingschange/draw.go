package settingschange

import (
	"math/rand"
	"time"

	"brackendale/scheduler"
)

// The names that settings may have or lack.
var (
	classNames = []string{"charge", "record", "order"}
	frontNames = []string{"first", "second"}
)

const (
	machineType = "machine"
	protocol    = "test"
	maxMessages = 200
	keyedID     = "key of "
)

// percent reports true with a probability.
func percent(rng *rand.Rand, probability int) bool { return rng.Intn(100) < probability }

// between returns a random time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int63n(int64(most-least)))
}

// drawSettings returns the settings of a process: each class may be missing or have other terms than before.
func drawSettings(rng *rand.Rand) (settings scheduler.Settings) {
	settings.Senders, settings.TickUs, settings.Discovery = 1, 2000, "pushed"
	settings.MachineTypes = []string{machineType}
	settings.Calls.EndpointLimits, settings.Calls.MessagesPerCall = []bool{false}, []int{1 + rng.Intn(2)}
	settings.Calls.ConcurrentCalls = 4
	settings.Limits.MaxMessages, settings.Limits.MaxAttempts = maxMessages, 2+rng.Intn(4)
	settings.Limits.CanSendRetryAfter, settings.Limits.MaxRetryAfterUs = true, 1e6
	for _, name := range classNames {
		if percent(rng, 80) {
			settings.Classes = append(settings.Classes, drawClass(rng, name))
		}
	}
	if len(settings.Classes) == 0 {
		settings.Classes = append(settings.Classes, drawClass(rng, "another"))
	}
	return settings
}

func drawClass(rng *rand.Rand, name string) scheduler.Class {
	all := []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NotIdempotent}
	scopes := []scheduler.KeyScope{scheduler.KeyScopeAll, scheduler.KeyScopeZone}
	return scheduler.Class{
		Name:               name,
		Idempotency:        all[rng.Intn(len(all))],
		KeyScope:           scopes[rng.Intn(len(scopes))],
		KeyWindowUs:        between(rng, 20*time.Millisecond, 400*time.Millisecond).Microseconds(),
		DeadlineUs:         between(rng, 300*time.Millisecond, 900*time.Millisecond).Microseconds(),
		LatencyObjectiveUs: 100_000,
		OrderedByKey:       percent(rng, 20),
		PriorityWeight:     float64(rng.Intn(3)),
	}
}

// fullSettings returns settings that have every class.
func fullSettings(rng *rand.Rand) scheduler.Settings {
	for {
		if settings := drawSettings(rng); len(settings.Classes) == len(classNames) {
			return settings
		}
	}
}
