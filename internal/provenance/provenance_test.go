package provenance

import (
	"strings"
	"testing"

	"brackendale/internal/clock"
	"brackendale/scheduler"

	"pgregory.net/rapid"
)

// Problem must report each way in which a folder can differ from the one that the last incarnation
// left, and must report nothing about a new folder or one as it was left.
func TestProblem(t *testing.T) {
	id := FileID{Inode: 7, CreatedNs: 1}
	note := Note{Name: "a", Incarnation: 3, FileID: id}
	for _, test := range []struct {
		name    string
		folder  FolderState
		problem string // a part of the expected text; empty: no problem
	}{
		{"new", FolderState{FileID: id}, ""},
		{"of a version that left no note", FolderState{FileID: id, Messages: 3}, ""},
		{"as it was left", FolderState{Note: note, HasNote: true, JournalIncarnation: 3, FileID: id}, ""},
		{"killed before its note", FolderState{Note: note, HasNote: true, JournalIncarnation: 4, FileID: id}, ""},
		{"note lost", FolderState{JournalIncarnation: 3, FileID: id}, "note is lost"},
		{"copied", FolderState{
			Note: note, HasNote: true, JournalIncarnation: 3,
			FileID: FileID{Inode: 8, CreatedNs: 1},
		}, "copies"},
		{"a number used again", FolderState{
			Note: note, HasNote: true, JournalIncarnation: 3,
			FileID: FileID{Inode: 7, CreatedNs: 2},
		}, "copies"},
		{"another sender's", FolderState{
			Note: Note{Name: "b", Incarnation: 3, FileID: id}, HasNote: true,
			JournalIncarnation: 3, FileID: id,
		}, "sender \"b\""},
		{"an older journal", FolderState{Note: note, HasNote: true, JournalIncarnation: 2, FileID: id}, "life 3 has been"},
		{"the journal lost", FolderState{Note: note, HasNote: true, FileID: id}, "life 3 has been"},
	} {
		if problem := Problem("a", test.folder); (problem == "") != (test.problem == "") ||
			!strings.Contains(problem, test.problem) {
			t.Errorf("%s: %q", test.name, problem)
		}
	}
}

// In a distrusted folder, no message may be sent again that may have run and must not be repeated,
// whenever it really was accepted and sent. In a trusted folder, only messages with a recorded attempt
// may be ambiguous. Distrust must not clear an ambiguous message, and must not cause a message to be
// sent that would not be sent in a trusted folder.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := Message{
			Idempotency:       rapid.SampledFrom([]scheduler.Idempotency{"repeatable", "by_key", "once"}).Draw(t, "effect"),
			MaxDeadline:       clock.Microseconds(rapid.Int64Range(1, 100).Draw(t, "limit")),
			IdempotencyWindow: clock.Microseconds(rapid.Int64Range(1, 100).Draw(t, "window")),
		}
		acceptedAt := clock.Instant(rapid.Int64Range(1000, 1100).Draw(t, "taken"))
		message.Deadline = acceptedAt + clock.Instant(rapid.Int64Range(0, message.MaxDeadline.Microseconds()).Draw(t, "time"))
		// the real time of sending; the folder may have been saved before or after it
		sentAt := acceptedAt + clock.Instant(rapid.Int64Range(0, 100).Draw(t, "sent"))
		if rapid.Bool().Draw(t, "known") {
			if message.Attempts = 1; rapid.Bool().Draw(t, "out") {
				message.InFlightSince = sentAt
			} else {
				message.FirstRun = sentAt
			}
		}
		now := sentAt + clock.Instant(rapid.Int64Range(0, 200).Draw(t, "later"))
		recorded := message.Attempts > 0
		trusted, distrusted := message.Disposition(now, false), message.Disposition(now, true)
		if distrusted == DispositionContinue &&
			(message.Idempotency == "once" || message.Idempotency == "by_key" && now >= sentAt.Add(message.IdempotencyWindow)) {
			t.Fatalf("the message may run twice: %+v", message)
		}
		if trusted == DispositionAmbiguous && (!recorded || message.Idempotency == "repeatable") ||
			trusted == DispositionAmbiguous && distrusted != DispositionAmbiguous ||
			distrusted == DispositionContinue && trusted != DispositionContinue {
			t.Fatalf("trusted %s, distrusted %s: %+v", trusted, distrusted, message)
		}
		if attempts, firstRun := message.AssumedAttempts(true); message.Idempotency != "repeatable" &&
			(attempts == 0 || firstRun == 0 || firstRun > sentAt) {
			t.Fatalf("%d attempts, the first at %d: %+v", attempts, firstRun, message)
		}
		if message.FinalAnswer = "delivered"; message.Disposition(now, false) != DispositionNotify ||
			message.Disposition(now, true) != DispositionNotifyAgain {
			t.Fatal("the final answer is not delivered to the client")
		}
		if message.Acknowledged = true; message.Disposition(now, true) != DispositionAcknowledged {
			t.Fatal("an acknowledged message is not treated as acknowledged")
		}
	})
}
