package sender

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/statefs"
	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// recordingFront is an ingress and an egress that only records its calls.
type recordingFront struct {
	sender       *Sender
	answers      []string
	attempts     []Attempt
	changed      []Route
	deduplicates bool
	mustNotify   bool
}

func (f *recordingFront) Answer(x *Request, v Verdict, waitMs int64) {
	f.answers = append(f.answers, fmt.Sprintf("%s %d", x.ID, v))
	if v == Accepted && f.sender.journal.Get(x.ID) == nil && !f.sender.endedIDs.has(x.ID) {
		f.answers = append(f.answers, "taken before it was written")
	}
}
func (f *recordingFront) MustNotify(string) bool { return f.mustNotify }
func (f *recordingFront) Deduplicates() bool     { return f.deduplicates }
func (f *recordingFront) Notify(id, _, end string, _ int64, again bool) {
	if again {
		end += " again"
	}
	f.answers = append(f.answers, id+" "+end)
}

func (f *recordingFront) Send(_ Route, attempts []Attempt) {
	f.attempts = append(f.attempts, attempts...)
}
func (f *recordingFront) Cancel(string, int)        {}
func (f *recordingFront) CloseIdle(Route)           {}
func (f *recordingFront) UpdateRoutes(list []Route) { f.changed = list }

func (f *recordingFront) expect(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(f.answers) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", f.answers, want)
	}
	f.answers = nil
}

func testSettings() (s scheduler.Settings) {
	s.Senders, s.TickUs, s.Discovery, s.MachineTypes = 1, 5000, "pushed", []string{"k"}
	s.Classes = []scheduler.Class{{
		Name: "once", Idempotency: "once", LatencyObjectiveUs: 1e6, DeadlineUs: 9e6,
		PriorityWeight: 1,
	}}
	s.Calls.EndpointLimits, s.Calls.MessagesPerCall, s.Calls.ConcurrentCalls = []bool{false}, []int{1}, 4
	s.Limits.MaxMessages, s.Limits.MaxAttempts, s.Limits.CanSendRetryAfter, s.Limits.MaxRetryAfterUs = 3, 8, true, 1e6
	return s
}

func newTestSender(t *testing.T, dir string, disk int64) (*Sender, *recordingFront) {
	t.Helper()
	return newTestSenderWith(t, dir, disk, testSettings())
}

func newTestSenderWith(t *testing.T, dir string, disk int64, set scheduler.Settings) (*Sender, *recordingFront) {
	t.Helper()
	s, err := New(Options{Settings: set, StateDir: dir, DiskBytes: disk, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	f := &recordingFront{sender: s, mustNotify: true}
	s.AddIngress("f", f)
	s.AddEgress("p", f)
	s.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
		Addr: "a", MachineType: "k", Destination: 1,
		State: "live",
	}, Protocol: "p"}})
	f.step(t)
	return s, f
}

func (f *recordingFront) step(t *testing.T, offers ...*Request) {
	t.Helper()
	f.sender.Submit(offers...)
	f.sender.runIteration()
}

func request(s *Sender, id string, leftUs int64) *Request {
	return &Request{
		ID: id, Class: "once", Destination: 1, Deadline: s.Now().Add(clock.Microseconds(leftUs)), Front: "f",
		Body: make([]byte, 100),
	}
}

// What one step takes in and gives up at once is rejected and never written: its client will come
// again.
func TestExpiredRequestIsRejected(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	f.step(t, request(s, "late", 0))
	f.expect(t, "late 1")
	if s.journal.Get("late") != nil || s.pending != 0 {
		t.Fatal("it is accepted")
	}
}

// The same id is never accepted twice, and its final answer is sent again to a client that hands it
// in again.
func TestDuplicateID(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	f.deduplicates = true
	f.step(t, request(s, "m", 9e6), request(s, "m", 9e6))
	f.expect(t, "m 1", "m 0")
	f.step(t, request(s, "m", 9e6))
	f.expect(t, "m 0")
	s.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t)
	f.expect(t, "m delivered")
	s.Acknowledge("m")
	f.step(t, request(s, "m", 9e6))
	f.expect(t, "m 0", "m delivered again")
	if len(f.attempts) != 1 {
		t.Fatal("sent", len(f.attempts), "times")
	}
}

// The id of a message that is over is not sent again, nor in the next incarnation: a client that
// uses another's id must not repeat its charge.
func TestEndedID(t *testing.T) {
	dir := t.TempDir()
	s, f := newTestSender(t, dir, 1<<20)
	f.mustNotify = false
	f.step(t, request(s, "m", 9e6))
	s.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t, request(s, "m", 9e6))
	f.expect(t, "m 0", "m 0")
	_ = s.journal.Close()
	n := len(f.attempts)
	s, f = newTestSender(t, dir, 1<<20)
	s.restoreJournal()
	f.step(t, request(s, "m", 9e6))
	if f.expect(t, "m 0"); n != 1 || len(f.attempts) > 0 {
		t.Fatal("sent again")
	}
}

// What a whole list lacks is gone: its idle connections must not stay for its successor at the same
// address.
func TestEndpointMissingFromFullList(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	s.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
		Addr: "b", MachineType: "k", Destination: 1,
		State: "live",
	}, Protocol: "p"}})
	f.step(t)
	_, old := s.routes["a"]
	if len(f.changed) == 0 || f.changed[0].Addr != "a" || f.changed[0].State != "dead" || old ||
		s.routes["b"].State != "live" {
		t.Fatal(f.changed)
	}
}

// With the limit of messages or the disk budget reached a message is rejected, and accepted ones
// are not harmed.
func TestMessageLimitAndDiskBudget(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	f.step(t, request(s, "a", 9e6), request(s, "b", 9e6), request(s, "c", 9e6), request(s, "d", 9e6))
	f.expect(t, "d 1", "a 1", "b 0", "c 0") // the module makes room for the next among those that wait
	s, f = newTestSender(t, t.TempDir(), 64<<10)
	big := request(s, "big", 9e6)
	big.Body = make([]byte, 40<<10)
	f.step(t, big, request(s, "small", 9e6))
	f.expect(t, "big 1", "small 0")
}

// A charge whose attempt was recorded without a result may have run: it fails in the next
// incarnation, which repeats that final answer until it is acknowledged. It is marked as repeated
// where its client may have got it.
func TestAmbiguousMessageAfterRestart(t *testing.T) {
	dir := t.TempDir()
	s, f := newTestSender(t, dir, 1<<20)
	f.step(t, request(s, "m", 9e6))
	if len(f.attempts) != 1 {
		t.Fatal("no attempt")
	}
	for _, want := range []string{"m failed", "m failed again"} {
		_ = s.journal.Close()
		s, f = newTestSender(t, dir, 1<<20)
		s.restoreJournal()
		f.step(t)
		f.expect(t, want)
	}
	f.step(t, request(s, "m", 9e6))
	f.expect(t, "m 0", "m failed again")
	s.Acknowledge("m")
	f.step(t)
	_ = s.journal.Close()
	s, f = newTestSender(t, dir, 1<<20)
	s.restoreJournal()
	f.step(t)
	f.expect(t)
}

// A keyed attempt that follows one that may have run says by when it must be written.
func TestStartBy(t *testing.T) {
	s := &Sender{classes: map[string]scheduler.Class{
		"key":  {Idempotency: "by_key", KeyWindowUs: 1000},
		"once": {Idempotency: "once", KeyWindowUs: 1000},
	}}
	for _, c := range []struct {
		class string
		first clock.Instant
		want  clock.Instant
	}{{"key", 0, 0}, {"key", 500, 1500}, {"once", 500, 0}} {
		if got := s.startBy(&journal.Entry{Class: c.class, FirstRun: c.first}); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}

// Where the disk has no room nothing is accepted, sent or notified that is not written. Attempts in
// flight go on, and all goes on as soon as there is room.
func TestFullDisk(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	f.step(t, request(s, "out", 9e6))
	if f.answers = nil; len(f.attempts) != 1 {
		t.Fatal(f.attempts)
	}
	room := func(on bool) {
		if err := fleet.FullDisk(os.Getpid(), !on); err != nil {
			t.Fatal(err)
		}
	}
	room(false)
	defer room(true)
	f.step(t, request(s, "m", 9e6))
	f.expect(t, "m 1")
	f.step(t, request(s, "n", 9e6))
	f.expect(t, "n 1")
	s.ReportAttempts(AttemptResult{ID: "out", Attempt: f.attempts[0].Number, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t)
	f.expect(t)
	if ok, why := s.Ready(); ok || len(f.attempts) != 1 || s.pending != 0 {
		t.Fatal(ok, why, f.attempts, s.pending)
	}
	room(true)
	f.step(t)
	f.expect(t, "out delivered")
	f.step(t, request(s, "m", 9e6))
	f.expect(t, "m 0")
	if ok, why := s.Ready(); !ok || len(f.attempts) != 2 || f.attempts[1].ID != "m" {
		t.Fatal(ok, why, f.attempts)
	}
}

// A journal that cannot be written, whatever the reason, ends nothing: what comes is rejected,
// nothing is sent, and the sender says why it is not ready. A missing folder is an error at the
// start.
func TestUnwritableJournal(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	_ = s.journal.Close() // EBADF from here on
	f.step(t, request(s, "m", 9e6))
	f.expect(t) // the cut fails too: nobody knows what the next process would find
	f.step(t, request(s, "n", 9e6))
	f.expect(t, "n 1")
	if ok, why := s.Ready(); ok || len(f.attempts) > 0 || s.pending != 0 || s.journal.Get("m") != nil {
		t.Fatal(ok, why, f.attempts, s.pending)
	}
	if _, err := New(Options{
		Settings: testSettings(), StateDir: filepath.Join(os.TempDir(), "no", "such"),
		DiskBytes: 1 << 20,
	}); err == nil {
		t.Fatal("a missing folder was accepted")
	}
}

// While the journal cannot be written, a message whose deadline passes fails all the same, once,
// and nothing else is answered. Where the cut of a failed write fails too, nobody is told that a
// retry does no harm until nothing can be read back.
func TestDeadlinesWhileJournalFails(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	f.deduplicates = true
	// pending, with no attempt in flight
	for id, left := range map[string]time.Duration{"long": time.Hour, "short": 100 * time.Millisecond} {
		s.journal.Accept(&journal.Entry{ID: id, Class: "once", Destination: 1, Front: "f", Deadline: s.Now().Add(left)})
		s.pending++
	}
	if err := s.journal.Flush(); err != nil {
		t.Fatal(err)
	}
	cuts := 0
	undo := statefs.SetHook(func(c statefs.Call, name string) *statefs.Fault {
		switch {
		case c == statefs.CallTruncate && cuts < 2:
			cuts++
			return &statefs.Fault{Err: syscall.EIO}
		case c == statefs.CallWrite && name == "spool":
			return &statefs.Fault{Err: syscall.EIO, After: 1 << 20}
		}
		return nil
	})
	defer undo()
	f.step(t, request(s, "new", 9e6)) // the cut fails
	f.expect(t)
	f.step(t) // and again
	f.expect(t)
	f.step(t) // it is cut off, and the write fails once more
	f.expect(t, "new 1")
	for s.Now() < s.journal.Get("short").Deadline {
		time.Sleep(time.Millisecond)
	}
	f.step(t)
	f.expect(t, "short failed")
	f.step(t)
	f.expect(t)
	if ok, _ := s.Ready(); ok || len(f.attempts) > 0 || s.journal.Get("new") != nil {
		t.Fatal(ok, f.attempts)
	}
	undo()
	f.step(t)
	f.expect(t)
	if ok, _ := s.Ready(); !ok || s.journal.Get("long") == nil || s.journal.Get("long").FinalAnswer != "" {
		t.Fatal(ok, s.journal.Get("long"))
	}
}
