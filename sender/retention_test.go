package sender

import (
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/scheduler"
)

// The id of a message is remembered behind its deadline for as long as its class said when it was accepted: with a
// shorter time in the next file, or without the class, a client that publishes a charge again would have it run twice.
func TestRetentionOutlivesASettingsChange(t *testing.T) {
	for name, change := range map[string]func(*scheduler.Settings){
		"shorter": func(settings *scheduler.Settings) { settings.Classes[0].DeadlineUs = 1000 },
		"gone":    func(settings *scheduler.Settings) { settings.Classes[0].Name = "another" },
	} {
		t.Run(name, func(t *testing.T) {
			dir, settings := t.TempDir(), testSettings()
			core, front := newTestSender(t, dir, 1<<20)
			front.deduplicates = true
			front.step(t, request(core, "m", 1e6))
			front.deliver(t, "m")
			core.Acknowledge("m")
			front.step(t)
			want := core.journal.Get("m").Deadline.Add(clock.Microseconds(settings.Classes[0].DeadlineUs))
			change(&settings)
			next := restartWith(t, core, dir, settings, false).sender
			if got := next.expiring.queue[0].expiresAt; got != want {
				t.Errorf("remembered for %v less", want.Sub(got))
			}
		})
	}
}

// A message of an earlier release, whose time was not recorded, goes by its class, or by the longest of all if it is
// gone.
func TestRetentionOfAnEarlierRelease(t *testing.T) {
	core := &Sender{classes: map[string]scheduler.Class{"short": {DeadlineUs: 1000}, "long": {DeadlineUs: 2000}}}
	for class, want := range map[string]time.Duration{"short": time.Millisecond, "gone": 2 * time.Millisecond} {
		if got := core.retention(&journal.Entry{Class: class}); got != want {
			t.Errorf("%s: %v", class, got)
		}
	}
}
