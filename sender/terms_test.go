package sender

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"brackendale/internal/journal"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// termsSettings returns settings with one class, of an idempotency and with a window.
func termsSettings(idempotency scheduler.Idempotency, window time.Duration) scheduler.Settings {
	settings := testSettings()
	settings.Classes[0].Idempotency = idempotency
	settings.Classes[0].KeyScope = scheduler.KeyScopeAll
	settings.Classes[0].KeyWindowUs = window.Microseconds()
	return settings
}

// A message that may have run when a process ends is sent again, or not, under the terms under which it was accepted,
// whatever the next process's settings say of its class (review/7): a charge without a key was sent again because its
// class went by a key from then on.
func TestTermsOutliveASettingsChange(t *testing.T) {
	const window = 5 * time.Second
	all := []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NotIdempotent}
	for _, before := range all {
		for _, after := range all {
			for _, upgrade := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, then %s, upgrade %v", before, after, upgrade), func(t *testing.T) {
					dir := t.TempDir()
					old, oldFront := newTestSenderWith(t, dir, 1<<20, termsSettings(before, window))
					message := request(old, "m", 9e6)
					if before == scheduler.IdempotentByKey {
						message.Key = "k"
					}
					oldFront.step(t, message)
					if len(oldFront.attempts) != 1 {
						t.Fatal("attempts:", len(oldFront.attempts))
					}
					next := restartWith(t, old, dir, termsSettings(after, window), upgrade)
					for range maxTestSteps {
						if next.step(t); len(next.attempts) > 0 || next.sender.journal.Get("m").FinalAnswer != "" {
							break
						}
						time.Sleep(time.Millisecond)
					}
					if repeated := len(next.attempts) > 0; repeated != (before != scheduler.NotIdempotent) {
						t.Errorf("sent again: %v; final answer %q", repeated, next.sender.journal.Get("m").FinalAnswer)
					}
					for _, attempt := range next.attempts {
						if attempt.Effect != before || before == scheduler.IdempotentByKey && attempt.StartBy == 0 {
							t.Errorf("the attempt goes by %q, to be written by %d", attempt.Effect, attempt.StartBy)
						}
					}
				})
			}
		}
	}
}

// restartWith ends a sender whose attempt of the message m is in flight, and returns the front of the next one, with
// other settings. After an upgrade the predecessor reports that the attempt was reset.
func restartWith(
	t *testing.T, old *Sender, dir string, settings scheduler.Settings, upgrade bool,
) *recordingFront {
	t.Helper()
	options := Options{Settings: settings, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop()}
	if upgrade {
		raw, err := json.Marshal(old.checkpoint())
		if err != nil {
			t.Fatal(err)
		}
		options.Checkpoint = &Checkpoint{}
		if err := json.Unmarshal(raw, options.Checkpoint); err != nil {
			t.Fatal(err)
		}
	}
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	core, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	front := &recordingFront{sender: core, mustNotify: true}
	core.AddIngress("f", front)
	core.AddEgress("p", front)
	core.UpdateRoutes("whole", []Route{{
		Endpoint: scheduler.Endpoint{Addr: "a", MachineType: "k", Destination: 1, State: "live"}, Protocol: "p",
	}})
	core.runPosted()
	core.restoreJournal()
	if upgrade {
		core.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: OutcomeReset})
	}
	return front
}

// A message keeps its deadline although its class has a shorter one since.
func TestDeadlineOutlivesASettingsChange(t *testing.T) {
	dir, settings := t.TempDir(), termsSettings(scheduler.Idempotent, 0)
	old, oldFront := newTestSenderWith(t, dir, 1<<20, settings)
	oldFront.step(t, request(old, "m", 9e6))
	want := old.journal.Get("m").Deadline
	settings.Classes[0].DeadlineUs = 1e6
	next := restartWith(t, old, dir, settings, false)
	if got := next.sender.journal.Get("m").Deadline; got != want {
		t.Errorf("the deadline has moved by %v", got.Sub(want))
	}
}

// What an entry of an earlier release lacks is read strictly: without a key it does not go by one.
func TestTermsOfAnEarlierRelease(t *testing.T) {
	class := scheduler.Class{Idempotency: scheduler.IdempotentByKey, KeyWindowUs: 1000}
	for key, want := range map[string]scheduler.Idempotency{"": scheduler.NotIdempotent, "k": scheduler.IdempotentByKey} {
		if got := acceptedClass(class, &journal.Entry{Key: key}).Idempotency; got != want {
			t.Errorf("key %q: %q", key, got)
		}
	}
	later := journal.Entry{Key: "k", Terms: journal.Terms{Idempotency: 99}}
	if got := acceptedClass(class, &later).Idempotency; got != scheduler.NotIdempotent {
		t.Errorf("terms of a later release: %q", got)
	}
}

// Each setting of a class binds either the messages that were accepted under it, or what is done from then on with all
// messages: docs/design.md has the table. A new setting has to be put into one of the two.
func TestEachClassSettingBinds(t *testing.T) {
	accepted := []string{"DeadlineUs", "Idempotency", "KeyScope", "KeyWindowUs", "Name"}
	fromThenOn := []string{
		"LatencyObjectiveUs", "ObjectivePerWork", "OrderedByKey", "LateValue", "Stream", "PriorityWeight",
	}
	design, err := os.ReadFile(filepath.Join("..", "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	class := reflect.TypeFor[scheduler.Class]()
	for i := range class.NumField() {
		name := class.Field(i).Name
		if slices.Contains(accepted, name) == slices.Contains(fromThenOn, name) {
			t.Errorf("%s is in neither list, or in both", name)
		}
		if !bytes.Contains(design, []byte("`"+name+"`")) {
			t.Errorf("%s is not in the table of docs/design.md", name)
		}
	}
}
