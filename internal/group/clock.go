package group

import (
	"time"

	"brackendale/internal/clock"
)

// Boottime reads a monotonic clock that includes the time during which the machine is suspended.
// CLOCK_MONOTONIC stops during a suspend: after a resume, a holder would treat a lease that has long
// expired as still valid.
func Boottime() time.Duration { return time.Duration(clock.Steady()) * time.Microsecond }
