package notice

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// deadline is how long the platform waits for a notice, with its slack.
const deadline = 350 * time.Millisecond

func add(q *Queue, ids ...string) {
	for _, id := range ids {
		q.Add(&Notice{ID: id})
	}
}

// simulation runs a queue in steps of a millisecond against an agent.
type simulation struct {
	queue   Queue
	now     time.Duration
	limit   int
	answers func(request *Request) (after time.Duration, ok bool) // false: the request is never answered

	due     map[*Request]time.Duration
	started int
	told    map[string]time.Duration // when a request with the notice was answered first
}

func newSimulation(answers func(*Request) (time.Duration, bool)) *simulation {
	return &simulation{
		limit: MaxRequests, answers: answers, due: map[*Request]time.Duration{}, told: map[string]time.Duration{},
	}
}

func (s *simulation) run(t *testing.T, until time.Duration) {
	t.Helper()
	for ; s.now < until; s.now += time.Millisecond {
		for request, at := range s.due {
			if at <= s.now {
				delete(s.due, request)
				for _, id := range s.queue.Acknowledge(request) {
					s.told[id] = s.now
				}
			}
		}
		for {
			step := s.queue.Next(s.now, s.limit)
			if step.GiveUp != nil {
				delete(s.due, step.GiveUp)
			}
			if step.Start == nil {
				break
			}
			s.started++
			if after, ok := s.answers(step.Start); ok {
				s.due[step.Start] = s.now + after
			}
			if open := len(s.queue.Open()); open > s.limit {
				t.Fatalf("%d requests are open at once, %d may be", open, s.limit)
			}
		}
	}
}

// One request in three is silent, with any limit on the requests: each notice is told within the platform's time.
func TestNoticeBehindSilentRequests(t *testing.T) {
	for limit := 2; limit <= MaxRequests; limit++ {
		rng := rand.New(rand.NewSource(int64(limit)))
		s := newSimulation(func(*Request) (time.Duration, bool) { return time.Millisecond, rng.Intn(3) > 0 })
		s.limit = limit
		added := map[string]time.Duration{}
		for i := range 200 {
			id := fmt.Sprint("m", i)
			add(&s.queue, id)
			added[id] = s.now
			s.run(t, s.now+17*time.Millisecond)
		}
		s.run(t, s.now+deadline)
		for id, at := range added {
			if told, ok := s.told[id]; !ok || told-at > deadline {
				t.Fatalf("limit %d: the notice of %s was told after %v, %v", limit, id, told-at, ok)
			}
		}
	}
}

// An end that comes just after the agent's return is told late, since a silent request holds up the next ones.
func TestNoticeBehindAnOutageAndSilentRequests(t *testing.T) {
	const outage = 3 * time.Second
	for offset := time.Duration(0); offset < maxResendInterval; offset += 5 * time.Millisecond {
		silent := true
		left := 0 // requests behind the outage that are silent too
		s := newSimulation(func(*Request) (time.Duration, bool) {
			if !silent {
				left--
			}
			return time.Millisecond, !silent && left < 0
		})
		add(&s.queue, "before")
		s.run(t, outage+offset)
		silent, left = false, 2
		add(&s.queue, "after")
		returned := s.now
		s.run(t, returned+deadline)
		if told, ok := s.told["after"]; !ok {
			t.Errorf("%v behind the outage, a notice was not told within %v: %v", offset, deadline, told-returned)
		}
	}
}

// The agent answers nothing for 8 s while thousands of notices become due: the requests are few meanwhile, and all
// notices are told soon after its return, each request after the answer to the one before.
func TestStampedeOnASilentAgent(t *testing.T) {
	const outage, notices = 8 * time.Second, 4000
	var s *simulation
	silent := true
	s = newSimulation(func(*Request) (time.Duration, bool) { return 2 * time.Millisecond, !silent })
	for i := range notices {
		add(&s.queue, fmt.Sprint("m", i))
		if i%2 == 0 {
			s.run(t, s.now+outage/(notices/2))
		}
	}
	if most := silentRequests + int(outage/maxResendInterval) + 10; s.started > most {
		t.Errorf("%d requests to a silent agent in %v, at most %d are expected", s.started, outage, most)
	}
	silent = false
	before := s.started
	s.run(t, s.now+deadline)
	if s.queue.Len() > 0 {
		t.Errorf("%d notices are not told %v after the agent's return", s.queue.Len(), deadline)
	}
	if most := notices/maxPerRequest + 2; s.started-before > most {
		t.Errorf("%d requests to the agent that has returned, at most %d are expected", s.started-before, most)
	}
}

// An agent that answers each request late, within the time-out of one, gets the notices acknowledged all the same.
func TestSlowAgentIsNeverAcknowledged(t *testing.T) {
	for _, latency := range []time.Duration{600 * time.Millisecond, 950 * time.Millisecond} {
		s := newSimulation(func(*Request) (time.Duration, bool) { return latency, true })
		for i := range 100 {
			add(&s.queue, fmt.Sprint("m", i))
			s.run(t, s.now+20*time.Millisecond)
		}
		s.run(t, s.now+3*time.Second)
		if s.queue.Len() > 0 {
			t.Errorf("%v: %d notices are not acknowledged", latency, s.queue.Len())
		}
	}
}

// An acknowledgement counts for the notices of its request alone, and a request that was given up before, or another
// agent's, changes nothing that was told.
func TestAcknowledgementOfOtherNotices(t *testing.T) {
	var q Queue
	add(&q, "a")
	first := q.Next(0, MaxRequests).Start
	add(&q, "b")
	second := q.Next(resendInterval, MaxRequests).Start
	if len(first.Notices) != 1 || len(second.Notices) != 2 {
		t.Fatal(len(first.Notices), len(second.Notices))
	}
	if ids := q.Acknowledge(first); fmt.Sprint(ids) != "[a]" || q.Len() != 1 {
		t.Fatal(ids, q.Len())
	}
	q.Restart()
	if again := q.Next(resendInterval, MaxRequests).Start; again == nil || again.Notices[0].ID != "b" {
		t.Fatal("the notice is not sent to the other agent at once")
	}
	if ids := q.Acknowledge(second); fmt.Sprint(ids) != "[b]" || !q.Next(0, MaxRequests).Idle {
		t.Fatal(ids)
	}
}
