package sender

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"brackendale/internal/testing/fleet"
)

// requestFrom returns a request with a correlation.
func requestFrom(core *Sender, id, correlation string) *Request {
	r := request(core, id, 9e6)
	r.Correlation = correlation
	return r
}

// deliver reports the success of the first attempt of a message.
func (f *recordingFront) deliver(t *testing.T, id string) {
	t.Helper()
	f.sender.ReportAttempts(AttemptResult{ID: id, Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t)
}

// expectCorrelations checks the correlations of the last notice, the latest first.
func (f *recordingFront) expectCorrelations(t *testing.T, want ...string) {
	t.Helper()
	if len(f.notices) == 0 {
		t.Fatal("no notice")
	}
	last := f.notices[len(f.notices)-1]
	if got := append([]string{last.Correlation}, last.Earlier...); !slices.Equal(got, want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	f.answers, f.notices = nil, nil
}

// restart opens the folder of a sender that was killed.
func (f *recordingFront) restart(t *testing.T, dir string) (*Sender, *recordingFront) {
	t.Helper()
	_ = f.sender.journal.Close()
	core, front := newTestSender(t, dir, 1<<20)
	front.deduplicates = true
	core.restoreJournal()
	front.step(t)
	return core, front
}

// The final answer goes to the client that submitted the message last; the front chooses the latest one that it still
// reaches. A transient reply address has no meaning in the next incarnation, a permanent one has.
func TestRepeatRedirectsFinalAnswer(t *testing.T) {
	for _, test := range []struct {
		name         string
		correlations []string
		want         []string
		wantRestored []string
	}{
		{
			"transient",
			[]string{"transient 1", "transient 2"},
			[]string{"transient 2", "transient 1"},
			[]string{"transient 1"},
		},
		{"the same", []string{"transient 1", "transient 1"}, []string{"transient 1"}, []string{"transient 1"}},
		{
			"the first again",
			[]string{"transient 1", "transient 2", "transient 1"},
			[]string{"transient 1", "transient 2", "transient 1"},
			[]string{"transient 1"},
		},
		{"permanent", []string{"q1", "q2"}, []string{"q2"}, []string{"q2"}},
		{"transient, then permanent", []string{"transient 1", "q2"}, []string{"q2"}, []string{"q2"}},
		{"permanent, then transient", []string{"q1", "transient 2"}, []string{"transient 2", "q1"}, []string{"q1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			dir := t.TempDir()
			core, front := newTestSender(t, dir, 1<<20)
			front.deduplicates = true
			for _, correlation := range test.correlations {
				front.step(t, requestFrom(core, "m", correlation))
				front.expect(t, "m 0")
			}
			front.deliver(t, "m")
			if front.expectCorrelations(t, test.want...); len(front.attempts) != 1 {
				t.Fatal("sent", len(front.attempts), "times")
			}
			_, front = front.restart(t, dir)
			front.expectCorrelations(t, test.wantRestored...)
		})
	}
}

// A client with a permanent reply address that asks for an answer which another one has acknowledged gets it, also
// when the sender restarts in between, and its own acknowledgement ends that.
func TestRepeatOfAcknowledgedMessage(t *testing.T) {
	dir := t.TempDir()
	core, front := newTestSender(t, dir, 1<<20)
	front.deduplicates = true
	front.step(t, requestFrom(core, "m", "q1"))
	front.deliver(t, "m")
	core.Acknowledge("m")
	front.answers = nil
	front.step(t, requestFrom(core, "m", "q2"))
	front.expect(t, "m 0", "m delivered again")
	core, front = front.restart(t, dir)
	front.expectCorrelations(t, "q2")
	core.Acknowledge("m")
	front.step(t)
	_, front = front.restart(t, dir)
	front.expect(t)
}

// An id does not expire while a client that asked late has not acknowledged the answer.
func TestRepeatIsNotExpired(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	front.step(t, requestFrom(core, "m", "q1"))
	front.deliver(t, "m")
	core.Acknowledge("m")
	front.step(t, requestFrom(core, "m", "q2"))
	expireAll := func() {
		for i := range core.expiring.queue {
			core.expiring.queue[i].expiresAt = 0
		}
		core.removeExpired()
	}
	if expireAll(); core.journal.Get("m") == nil {
		t.Fatal("an answer that is owed was forgotten")
	}
	core.Acknowledge("m")
	front.step(t)
	if expireAll(); core.journal.Get("m") != nil {
		t.Fatal("the id was kept")
	}
}

// An answer whose reply address has ended before it was received is sent again, to clients that asked earlier; one
// that was acknowledged is not.
func TestUnheardAnswerIsSentAgain(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	front.step(t, requestFrom(core, "m", "q1"))
	front.step(t, requestFrom(core, "m", "transient 2"))
	front.deliver(t, "m")
	front.expectCorrelations(t, "transient 2", "q1")
	core.ReportUnheard("m", "unknown")
	front.step(t)
	front.expect(t, "m delivered again")
	core.Acknowledge("m")
	core.ReportUnheard("m")
	front.step(t)
	front.expect(t)
}

// Of the transient reply addresses the latest are kept, and the recorded one always.
func TestLaterCorrelationsAreBounded(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	var want []string
	for i := range maxLaterCorrelations + 3 {
		correlation := fmt.Sprintf("transient %d", i)
		front.step(t, requestFrom(core, "m", correlation))
		if i == 0 || i >= 3 {
			want = append([]string{correlation}, want...)
		}
	}
	front.deliver(t, "m")
	front.expectCorrelations(t, want...)
}

// A repeat is accepted only once the journal holds what that promises: where its answer goes, or the message itself.
func TestRepeatWhileDiskIsFull(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	front.step(t, requestFrom(core, "m", "q1"))
	front.expect(t, "m 0")
	setDiskSpace := func(available bool) {
		if err := fleet.FullDisk(os.Getpid(), !available); err != nil {
			t.Fatal(err)
		}
	}
	setDiskSpace(false)
	defer setDiskSpace(true)
	core.SubmitTransaction(&Transaction{Front: "f", Requests: []*Request{requestFrom(core, "in transaction", "q1")}})
	front.step(t, requestFrom(core, "m", "q2"))
	front.step(t, requestFrom(core, "in transaction", "q1"))
	front.expect(t)
	front.step(t, requestFrom(core, "m", "q2")) // its correlation is that of the entry already, but not recorded
	front.expect(t)
	setDiskSpace(true)
	front.step(t)
	front.expect(t, "m 0", "in transaction 0", "m 0", "group of 1: 0")
}

// The end of a message of a front that does not deduplicate is not known any more: another front's client that uses
// its id is refused, since it would wait for a final answer.
func TestEndedIDOfAnotherFront(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.mustNotify = false
	other := &recordingFront{sender: core, mustNotify: true, deduplicates: true}
	core.AddIngress("other", other)
	front.step(t, request(core, "m", 9e6))
	front.deliver(t, "m")
	repeat := request(core, "m", 9e6)
	repeat.Front = "other"
	front.step(t, repeat)
	other.expect(t, "m 2")
	if len(front.attempts) != 1 {
		t.Fatal("sent", len(front.attempts), "times")
	}
}
