package group

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boottime is a steady clock that goes on while the machine is suspended. CLOCK_MONOTONIC stands still then, and a holder that
// wakes up would take its lease for one that has just been granted.
func Boottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return time.Duration(ts.Nano())
}
