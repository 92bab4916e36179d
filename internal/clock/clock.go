// Package clock reads the machine's clocks. Times that outlive a process or are shared by two
// processes are of the steady clock, which does not change when the wall clock is set. The wall clock
// is used only for times that people read and for the validity of certificates.
package clock

import (
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time of the steady clock, in microseconds since the machine's boot, including time
// during which the machine was suspended. It is meaningful only on the same machine and during the
// same boot.
type Instant int64

// Add returns the instant t+d, rounded down to microseconds.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d.Microseconds()) }

// Sub returns the duration t-other.
func (t Instant) Sub(other Instant) time.Duration { return time.Duration(t-other) * time.Microsecond }

// Microseconds returns a duration of n microseconds, the unit of durations in the settings.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// WallTime is a time of the wall clock, in microseconds of Unix time. The wall clock may be set
// forward or back at any time.
type WallTime int64

// Reading is the same instant by both clocks, and the boot in which it was read. It is stored in the
// snapshot.
type Reading struct {
	Wall      WallTime `json:"Wall"`
	SinceBoot Instant  `json:"Boot"` // the time of the steady clock
	BootID    string   `json:"ID"`   // empty: unknown
}

// Now reads both clocks.
func Now() Reading {
	return Reading{
		Wall:      WallTime(time.Now().Add(wallOffset()).UnixMicro()),
		SinceBoot: Steady(),
		BootID:    BootID(),
	}
}

// Steady reads the steady clock.
func Steady() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // every Linux since 2.6.39 has it
	}
	return Instant(now.Nano() / int64(time.Microsecond))
}

// bootIDFile holds the boot ID, a random one that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// BootID returns the ID of the machine's current boot, or an empty string if it cannot be read. The
// file is read only once, since callers may run on the sender's event loop, which must not wait for
// I/O.
func BootID() string {
	if id := testBootID.Load(); id != nil {
		return *id
	}
	return readBootID()
}

var readBootID = sync.OnceValue(func() string {
	raw, err := os.ReadFile(bootIDFile)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(raw))
})

// Values set by tests.
var (
	testWallOffset atomic.Int64 // in nanoseconds
	testBootID     atomic.Pointer[string]
)

func wallOffset() time.Duration { return time.Duration(testWallOffset.Load()) }

// StepWall sets the wall clock, as read by this process, forward by offset. It is for tests only.
func StepWall(offset time.Duration) { testWallOffset.Add(int64(offset)) }

// SetBootID makes BootID return the given ID until undo is called. It is for tests only.
func SetBootID(id string) (undo func()) {
	testBootID.Store(&id)
	return func() { testBootID.Store(nil) }
}
