package sender

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
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

// recordingFront is an ingress and an egress that records its calls.
type recordingFront struct {
	sender       *Sender
	answers      []string
	notices      []Notice
	attempts     []Attempt
	changed      []Route
	deduplicates bool
	mustNotify   bool
}

func (f *recordingFront) Answer(request *Request, verdict Verdict, retryAfterMs int64) {
	f.answers = append(f.answers, fmt.Sprintf("%s %d", request.ID, verdict))
	if verdict == Accepted && f.sender.journal.Get(request.ID) == nil && !f.sender.endedIDs.has(request.ID) {
		f.answers = append(f.answers, "taken before it was written")
	}
}
func (f *recordingFront) MustNotify(string) bool { return f.mustNotify }
func (f *recordingFront) Deduplicates() bool     { return f.deduplicates }
func (f *recordingFront) IsTransient(correlation string) bool {
	return strings.HasPrefix(correlation, "transient")
}

func (f *recordingFront) Notify(notice Notice) {
	answer := notice.Answer
	if notice.Repeated {
		answer += " again"
	}
	f.answers = append(f.answers, notice.ID+" "+answer)
	f.notices = append(f.notices, notice)
}

func (f *recordingFront) Send(_ Route, attempts []Attempt) {
	f.attempts = append(f.attempts, attempts...)
}
func (f *recordingFront) Cancel(string, int)        {}
func (f *recordingFront) UpdateRoutes(list []Route) { f.changed = list }

// expect checks the replies since the last call: "ID VERDICT" or "ID FINAL-ANSWER".
func (f *recordingFront) expect(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(f.answers) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", f.answers, want)
	}
	f.answers = nil
}

// testSettings returns settings with one unsafe class and a limit of three messages.
func testSettings() (settings scheduler.Settings) {
	settings.Senders, settings.TickUs, settings.Discovery, settings.MachineTypes = 1, 5000, "pushed", []string{"k"}
	settings.Classes = []scheduler.Class{{
		Name: "once", Idempotency: "once", LatencyObjectiveUs: 1e6, DeadlineUs: 9e6,
		PriorityWeight: 1,
	}}
	settings.Calls.EndpointLimits, settings.Calls.MessagesPerCall, settings.Calls.ConcurrentCalls =
		[]bool{false}, []int{1}, 4
	settings.Limits.MaxMessages, settings.Limits.MaxAttempts, settings.Limits.CanSendRetryAfter,
		settings.Limits.MaxRetryAfterUs = 3, 8, true, 1e6
	return settings
}

// newTestSender returns a sender with one endpoint, a, and the front of its ingress and egress.
func newTestSender(t *testing.T, dir string, disk int64) (*Sender, *recordingFront) {
	t.Helper()
	return newTestSenderWith(t, dir, disk, testSettings())
}

func newTestSenderWith(t *testing.T, dir string, disk int64, settings scheduler.Settings) (*Sender, *recordingFront) {
	t.Helper()
	core, err := New(Options{Settings: settings, StateDir: dir, DiskBytes: disk, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	front := &recordingFront{sender: core, mustNotify: true}
	core.AddIngress("f", front)
	core.AddEgress("p", front)
	core.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
		Addr: "a", MachineType: "k", Destination: 1,
		State: "live",
	}, Protocol: "p"}})
	front.step(t)
	return core, front
}

// step submits requests and runs one iteration of the sender's loop.
func (f *recordingFront) step(t *testing.T, requests ...*Request) {
	t.Helper()
	f.sender.Submit(requests...)
	f.sender.runIteration()
}

func request(core *Sender, id string, leftUs int64) *Request {
	return &Request{
		ID: id, Class: "once", Destination: 1, Deadline: core.Now().Add(clock.Microseconds(leftUs)), Front: "f",
		Body: make([]byte, 100),
	}
}

// A request that the step receiving it finds expired is rejected and never recorded: its client is
// expected to submit it again.
func TestExpiredRequestIsRejected(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.step(t, request(core, "late", 0))
	front.expect(t, "late 1")
	if core.journal.Get("late") != nil || core.pending != 0 {
		t.Fatal("an expired request was accepted")
	}
}

// A message id is never accepted twice. A client that submits it again gets its final answer again.
func TestDuplicateID(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	front.step(t, request(core, "m", 9e6), request(core, "m", 9e6))
	front.expect(t, "m 1", "m 0")
	front.step(t, request(core, "m", 9e6))
	front.expect(t, "m 0")
	core.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	front.step(t)
	front.expect(t, "m delivered")
	core.Acknowledge("m")
	front.step(t, request(core, "m", 9e6))
	front.expect(t, "m 0", "m delivered again")
	if len(front.attempts) != 1 {
		t.Fatal("sent", len(front.attempts), "times")
	}
}

// A request with the id of a removed message is not sent, also in the next incarnation: a client that
// uses another client's id must not cause a repeat of an unsafe message.
func TestEndedID(t *testing.T) {
	dir := t.TempDir()
	core, front := newTestSender(t, dir, 1<<20)
	front.mustNotify = false
	front.step(t, request(core, "m", 9e6))
	core.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	front.step(t, request(core, "m", 9e6))
	front.expect(t, "m 0", "m 0")
	_ = core.journal.Close()
	sentBefore := len(front.attempts)
	core, front = newTestSender(t, dir, 1<<20)
	core.restoreJournal()
	front.step(t, request(core, "m", 9e6))
	if front.expect(t, "m 0"); sentBefore != 1 || len(front.attempts) > 0 {
		t.Fatal("the message was sent again")
	}
}

// An endpoint that is missing from a full list is removed, and its egress is notified: idle connections
// to it must not be used for another endpoint at the same address.
func TestEndpointMissingFromFullList(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	core.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
		Addr: "b", MachineType: "k", Destination: 1,
		State: "live",
	}, Protocol: "p"}})
	front.step(t)
	_, stillListed := core.routes["a"]
	if len(front.changed) == 0 || front.changed[0].Addr != "a" || front.changed[0].State != "dead" || stillListed ||
		core.routes["b"].State != "live" {
		t.Fatal(front.changed)
	}
}

// A message that exceeds the limit on messages or the disk budget is rejected, and accepted messages
// are not affected.
func TestMessageLimitAndDiskBudget(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.step(t, request(core, "a", 9e6), request(core, "b", 9e6), request(core, "c", 9e6), request(core, "d", 9e6))
	front.expect(t, "d 1", "a 1", "b 0", "c 0") // d exceeds the limit; the scheduler sheds a, to have room for the next
	core, front = newTestSender(t, t.TempDir(), 64<<10)
	big := request(core, "big", 9e6)
	big.Body = make([]byte, 40<<10)
	front.step(t, big, request(core, "small", 9e6))
	front.expect(t, "big 1", "small 0")
}

// An unsafe message whose attempt was recorded without a result may have run: it fails in the next
// incarnation. Each later incarnation repeats that final answer until it is acknowledged, marked as
// repeated if the client may have received it.
func TestAmbiguousMessageAfterRestart(t *testing.T) {
	dir := t.TempDir()
	core, front := newTestSender(t, dir, 1<<20)
	front.step(t, request(core, "m", 9e6))
	if len(front.attempts) != 1 {
		t.Fatal("no attempt")
	}
	for _, want := range []string{"m failed", "m failed again"} {
		_ = core.journal.Close()
		core, front = newTestSender(t, dir, 1<<20)
		core.restoreJournal()
		front.step(t)
		front.expect(t, want)
	}
	front.step(t, request(core, "m", 9e6))
	front.expect(t, "m 0", "m failed again")
	core.Acknowledge("m")
	front.step(t)
	_ = core.journal.Close()
	core, front = newTestSender(t, dir, 1<<20)
	core.restoreJournal()
	front.step(t)
	front.expect(t)
}

// A message with an idempotency key that may have run before must be written within its idempotency
// window.
func TestStartBy(t *testing.T) {
	core := &Sender{classes: map[string]scheduler.Class{
		"key":  {Idempotency: "by_key", KeyWindowUs: 1000},
		"once": {Idempotency: "once", KeyWindowUs: 1000},
	}}
	for _, test := range []struct {
		class string
		first clock.Instant
		want  clock.Instant
	}{{"key", 0, 0}, {"key", 500, 1500}, {"once", 500, 0}} {
		if got := core.startBy(&journal.Entry{Class: test.class, Key: "k", FirstRun: test.first}); got != test.want {
			t.Errorf("%+v: got %d", test, got)
		}
	}
}

// While the disk is full, nothing is accepted, sent or notified, since it cannot be recorded. Attempts in
// flight continue, and so does everything else as soon as the disk has space.
func TestFullDisk(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.step(t, request(core, "out", 9e6))
	if front.answers = nil; len(front.attempts) != 1 {
		t.Fatal(front.attempts)
	}
	setDiskSpace := func(available bool) {
		if err := fleet.FullDisk(os.Getpid(), !available); err != nil {
			t.Fatal(err)
		}
	}
	setDiskSpace(false)
	defer setDiskSpace(true)
	front.step(t, request(core, "m", 9e6))
	front.expect(t, "m 1")
	front.step(t, request(core, "n", 9e6))
	front.expect(t, "n 1")
	core.ReportAttempts(AttemptResult{
		ID: "out", Attempt: front.attempts[0].Number, Endpoint: "a",
		Outcome: OutcomeSuccess,
	})
	front.step(t)
	front.expect(t)
	if ok, reason := core.Ready(); ok || len(front.attempts) != 1 || core.pending != 0 {
		t.Fatal(ok, reason, front.attempts, core.pending)
	}
	setDiskSpace(true)
	front.step(t)
	front.expect(t, "out delivered")
	front.step(t, request(core, "m", 9e6))
	front.expect(t, "m 0")
	if ok, reason := core.Ready(); !ok || len(front.attempts) != 2 || front.attempts[1].ID != "m" {
		t.Fatal(ok, reason, front.attempts)
	}
}

// A journal that cannot be written, for whatever reason, does not end the sender: new messages are
// rejected, nothing is sent, and the sender is not ready. A missing state folder is an error at the
// start.
func TestUnwritableJournal(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	_ = core.journal.Close() // writes return EBADF from here on
	front.step(t, request(core, "m", 9e6))
	front.expect(t) // truncating the record fails too: the next process may or may not read it back
	front.step(t, request(core, "n", 9e6))
	front.expect(t, "n 1")
	if ok, reason := core.Ready(); ok || len(front.attempts) > 0 || core.pending != 0 || core.journal.Get("m") != nil {
		t.Fatal(ok, reason, front.attempts, core.pending)
	}
	if _, err := New(Options{
		Settings: testSettings(), StateDir: filepath.Join(os.TempDir(), "no", "such"),
		DiskBytes: 1 << 20,
	}); err == nil {
		t.Fatal("a missing folder was accepted")
	}
}

// While the journal cannot be written, a message whose deadline passes still fails, once, and nothing
// else is answered. If truncating a failed write fails too, no client is notified that a retry is safe
// until no part of the record can be read back.
func TestDeadlinesWhileJournalFails(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	// pending, with no attempt in flight
	for id, left := range map[string]time.Duration{"long": time.Hour, "short": 100 * time.Millisecond} {
		core.journal.Accept(&journal.Entry{ID: id, Class: "once", Destination: 1, Front: "f", Deadline: core.Now().Add(left)})
		core.pending++
	}
	if err := core.journal.Flush(); err != nil {
		t.Fatal(err)
	}
	truncations := 0
	undo := statefs.SetHook(func(call statefs.Call, name string) *statefs.Fault {
		switch {
		case call == statefs.CallTruncate && truncations < 2:
			truncations++
			return &statefs.Fault{Err: syscall.EIO}
		case call == statefs.CallWrite && name == "spool":
			return &statefs.Fault{Err: syscall.EIO, After: 1 << 20}
		}
		return nil
	})
	defer undo()
	front.step(t, request(core, "new", 9e6)) // truncating the record fails
	front.expect(t)
	front.step(t) // it fails again
	front.expect(t)
	front.step(t) // the record is truncated, and the write fails once more
	front.expect(t, "new 1")
	for core.Now() < core.journal.Get("short").Deadline {
		time.Sleep(time.Millisecond)
	}
	front.step(t)
	front.expect(t, "short failed")
	front.step(t)
	front.expect(t)
	if ok, _ := core.Ready(); ok || len(front.attempts) > 0 || core.journal.Get("new") != nil {
		t.Fatal(ok, front.attempts)
	}
	undo()
	front.step(t)
	front.expect(t)
	if ok, _ := core.Ready(); !ok || core.journal.Get("long") == nil || core.journal.Get("long").FinalAnswer != "" {
		t.Fatal(ok, core.journal.Get("long"))
	}
}

// No byte of an attempt may leave once its message has its final answer. The failure: a call that carries several
// messages could be written until the deadline of the earliest, which has its final answer shortly before.
func TestNoByteAfterTheFinalAnswer(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.step(t, request(core, "m", 300_000))
	if len(front.attempts) != 1 {
		t.Fatalf("attempts %v", front.attempts)
	}
	front.answers = nil
	for started := time.Now(); len(front.answers) == 0; time.Sleep(time.Millisecond) {
		core.runIteration()
		if time.Since(started) > time.Second {
			t.Fatal("no final answer")
		}
	}
	if now, lastByte := core.Now(), front.attempts[0].Deadline; lastByte >= now {
		t.Errorf("bytes may leave until %v us after the final answer %v", lastByte.Sub(now).Microseconds(), front.answers)
	}
}
