package sender

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/provenance"
	"brackendale/scheduler"
)

// ids returns names of the golden folder's messages: each state with each class.
func ids(classes []string, states ...string) (list []string) {
	for _, state := range states {
		for _, class := range classes {
			list = append(list, state+"-"+class)
		}
	}
	slices.Sort(list)
	return list
}

// without returns list without the names in drop.
func without(list, drop []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(id string) bool { return slices.Contains(drop, id) })
}

// goldenStart is a way in which the golden folder is restored, and what becomes of each message.
type goldenStart struct {
	name, boot           string // boot is that in which it is taken up
	trust                FolderTrust
	now                  clock.Instant // 0: the machine's
	problem              string
	continued, ambiguous []string
	expired              []string
	notified             provenance.Disposition
	start                string
}

var (
	allClasses = []string{"once", "key", "free"}
	charges    = []string{"once", "key"}
	free       = []string{"free"}
)

const copied = "its files are copies of those of life 1"

// goldenStarts lists the ways for both tests. Those with a time are only planned: a sender goes by
// the machine's clock.
func goldenStarts() []goldenStart {
	untouched := ids(allClasses, "untried", "turned")
	inDoubt := ids(charges, "open", "mayrun")
	goOn := append(ids(free, "open", "mayrun"), untouched...)
	keyed := append(ids([]string{"key"}, "open", "mayrun"), goOn...)
	charge := ids([]string{"once"}, "open", "mayrun")
	allFree := ids(free, "untried", "open", "turned", "mayrun")
	allCharges := ids(charges, "untried", "open", "turned", "mayrun")
	// A keyed message that was never tried goes on in an old folder of another boot: it counts as
	// ten seconds old, which is within the window, since its time left is that of the last
	// incarnation.
	keyedOn := ids([]string{"key"}, "untried", "turned")
	oldOn, oldFail := append(slices.Clone(keyedOn), allFree...), without(allCharges, keyedOn)
	return []goldenStart{
		{"another boot", otherBoot, FolderMoved, 0, "", goOn, inDoubt, nil, provenance.DispositionNotify, "kept"},
		{
			"another boot, trusted", otherBoot, FolderTrusted, 0, "", goOn, inDoubt, nil,
			provenance.DispositionNotify, "kept",
		},
		{
			"another boot, a copy", otherBoot, FolderJudged, 0, copied, oldOn, oldFail, nil,
			provenance.DispositionNotifyAgain, "old",
		},
		{
			"another boot, restored", otherBoot, FolderRestored, 0, "by the operator's word", oldOn, oldFail, nil,
			provenance.DispositionNotifyAgain, "old",
		},
		{
			"this boot, a second later", goldenBoot, FolderMoved, 2_000_000, "", keyed, charge, nil,
			provenance.DispositionNotify, "",
		},
		{
			"this boot, behind the window", goldenBoot, FolderMoved, 31_000_000, "", goOn, inDoubt, nil,
			provenance.DispositionNotify, "",
		},
		{
			"this boot, too late", goldenBoot, FolderMoved, 51_000_000, "", nil, inDoubt, goOn,
			provenance.DispositionNotify, "",
		},
		{
			"this boot, a copy behind the window", goldenBoot, FolderJudged, 31_000_000, copied, allFree, allCharges, nil,
			provenance.DispositionNotifyAgain, "",
		},
	}
}

// The plan for the golden folder names the same fate for each message.
func TestGoldenFolderPlan(t *testing.T) {
	for _, c := range goldenStarts() {
		t.Run(c.name, func(t *testing.T) {
			t.Cleanup(clock.SetBootID(c.boot))
			now := c.now
			if now == 0 {
				now = clock.Steady()
			}
			p, err := PlanRecovery(goldenFolder(t), "n1", c.trust, goldenSettings(), goldenDisk, now)
			if err != nil || p.Problem != c.problem {
				t.Fatal(p.Problem, err)
			}
			got := map[string]provenance.Disposition{}
			for _, x := range p.Messages {
				got[x.ID] = x.Fate
			}
			want := map[string]provenance.Disposition{"ended": c.notified, "back": c.notified}
			for fate, list := range map[provenance.Disposition][]string{
				provenance.DispositionContinue:  c.continued,
				provenance.DispositionAmbiguous: c.ambiguous,
				provenance.DispositionExpired:   c.expired,
			} {
				for _, id := range list {
					want[id] = fate
				}
			}
			if !maps.Equal(got, want) || p.Counts[provenance.DispositionAcknowledged] != 1 || len(want) != 14 {
				t.Errorf("got  %v\nwant %v\n%v", got, want, p.Counts)
			}
		})
	}
}

// An incarnation restores the golden folder: the same messages go on, the same final answers are
// sent, and its metrics are the same.
func TestGoldenFolderRestored(t *testing.T) {
	for _, c := range goldenStarts() {
		if c.now != 0 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Cleanup(clock.SetBootID(c.boot))
			dir := goldenFolder(t)
			s, err := New(goldenOptions(dir, c.trust))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.journal.Close() })
			if s.recovery.folderProblem != c.problem || !slices.Equal(s.draining.names, []string{"gone-target"}) {
				t.Errorf("problem %q, draining %v", s.recovery.folderProblem, s.draining.names)
			}
			checkDeadlines(t, s)
			f := restoreGolden(t, s, len(c.continued))
			checkAttempts(t, f, c.continued)
			checkAnswers(t, f, c.ambiguous)
			checkRecovery(t, s, c)
			if e := s.journal.Get("heard"); e == nil || !e.Acknowledged || e.FinalAnswer != "delivered" {
				t.Errorf("acknowledged: %+v", e)
			}
		})
	}
}

// checkDeadlines checks that each message has the time left that it had when the last incarnation
// was killed.
func checkDeadlines(t *testing.T, s *Sender) {
	t.Helper()
	for _, e := range s.journal.Entries() {
		if left := e.Deadline - s.startInstant; left > goldenLeft || left < goldenLeft-20_000_000 {
			t.Errorf("%s has %d us left", e.ID, left)
		}
	}
}

// restoreGolden makes steps until so many attempts have been sent, and some more in which none may
// be added.
func restoreGolden(t *testing.T, s *Sender, attempts int) *recordingFront {
	t.Helper()
	f := &recordingFront{sender: s, mustNotify: true, deduplicates: true}
	s.AddIngress("f", f)
	s.AddEgress("p", f)
	s.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
		Addr: "a", MachineType: "k", Destination: 1,
		State: "live",
	}, Protocol: "p"}})
	s.drainPosted()
	s.restoreJournal()
	until := time.Now().Add(15 * time.Second)
	for reported := 0; len(f.attempts) < attempts && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		f.step(t)
		for ; reported < len(f.attempts); reported++ {
			a := f.attempts[reported]
			s.ReportAttempts(AttemptResult{ID: a.ID, Attempt: a.Number, Endpoint: "a", Outcome: OutcomeSuccess})
		}
	}
	for range 5 {
		f.step(t)
	}
	return f
}

func checkAttempts(t *testing.T, f *recordingFront, want []string) {
	t.Helper()
	var got []string
	for _, a := range f.attempts {
		got = append(got, a.ID)
		if a.Key != "key-"+a.ID || string(a.Body) != a.ID {
			t.Errorf("%s leaves with key %q and body %q", a.ID, a.Key, a.Body)
		}
	}
	slices.Sort(got)
	want = slices.Sorted(slices.Values(want))
	if !slices.Equal(got, want) {
		t.Errorf("attempts:\ngot  %v\nwant %v", got, want)
	}
}

// checkAnswers checks the final answers that are sent: those from before, those of what may have
// run, and those of the attempts.
func checkAnswers(t *testing.T, f *recordingFront, fail []string) {
	t.Helper()
	want := []string{"ended delivered again", "back returned again"}
	for _, id := range fail {
		want = append(want, id+" failed")
	}
	for _, a := range f.attempts {
		want = append(want, a.ID+" delivered")
	}
	got := slices.Sorted(slices.Values(f.answers))
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("final answers:\ngot  %v\nwant %v", got, want)
	}
}

func checkRecovery(t *testing.T, s *Sender, c goldenStart) {
	t.Helper()
	want := map[string]string{
		"lb_life_start": "1 [case " + c.start + "]", "lb_life_taken_up": "12 []",
		"lb_life_doubtful": fmt.Sprintf("%d []", len(c.ambiguous)),
	}
	for _, x := range s.RecoveryFigures() {
		if w, ok := want[x.Name]; ok && w != fmt.Sprint(x.Value, x.Label) {
			t.Errorf("%s %v %v, want %s", x.Name, x.Value, x.Label, w)
		}
		delete(want, x.Name)
	}
	if len(want) > 0 {
		t.Errorf("no figures %v", want)
	}
	if s.journal.Incarnation() != map[FolderTrust]uint64{
		FolderTrusted: 1, FolderJudged: 2, FolderRestored: 2,
		FolderMoved: 2,
	}[c.trust] {
		t.Errorf("incarnation %d", s.journal.Incarnation())
	}
}
