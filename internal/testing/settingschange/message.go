package settingschange

import (
	"fmt"
	"slices"
	"time"

	"brackendale/internal/clock"
	"brackendale/scheduler"
	"brackendale/sender"
)

// message is what the clients and endpoints know of one message. Its terms are those of its class when the process that
// it was first submitted to accepted it.
type message struct {
	id         string
	front      string
	class      scheduler.Class
	request    sender.Request // as it was first submitted
	asks       []*ask         // its submissions, in their order
	runs       []run
	answers    []string  // distinct final answers that clients received
	answeredAt time.Time // a client has received the final answer, so that nothing may run any more; zero: none has
	answeredBy int       // the process that gave it first
}

// ask is one submission of a message.
type ask struct {
	message  *message
	front    *front
	address  string // where the answer is to go
	accepted bool   // its client has received the verdict
	heard    bool   // its client has received the final answer
}

// exists reports whether the answer can reach the client.
func (asked *ask) exists(present *process) bool {
	if !asked.front.IsTransient(asked.address) {
		return true
	}
	return asked.front.process == present && asked.front.open[asked.address]
}

// accepted reports whether a client knows that the message was accepted.
func (m *message) accepted() bool {
	return slices.ContainsFunc(m.asks, func(asked *ask) bool { return asked.accepted })
}

// verdict records the verdict on a submission.
func (m *message) verdict(asked *ask, verdict sender.Verdict) {
	asked.accepted = verdict == sender.Accepted
}

// heard records that the client at an address has received the final answer.
func (m *message) heard(address, answer string, process int) {
	if m.answeredAt.IsZero() {
		m.answeredAt, m.answeredBy = time.Now(), process
	}
	for _, asked := range m.asks {
		asked.heard = asked.heard || asked.address == address
	}
	if !slices.Contains(m.answers, answer) {
		m.answers = append(m.answers, answer)
	}
}

// waiting returns the submission whose client waits for the final answer: the latest one that was accepted and whose
// address exists, unless a later one was answered. A permanent address exists always, others in the present process.
func (m *message) waiting(present *process) *ask {
	for _, asked := range slices.Backward(m.asks) {
		switch {
		case asked.heard:
			return nil
		case asked.accepted && asked.exists(present):
			return asked
		}
	}
	return nil
}

// run is one execution of a message at an endpoint.
type run struct {
	at       time.Time
	zone     string
	afterEnd bool
	number   int // of earlier attempts
	process  int // that sent it
}

// rememberedUntil returns the time until which its id must be recognized; a request that is on its way then may still
// be late.
func (m *message) rememberedUntil() clock.Instant {
	const late = 100 * time.Millisecond
	return m.request.Deadline.Add(clock.Microseconds(m.class.DeadlineUs) - late)
}

// violations returns the rules that were broken for the message.
func (m *message) violations(present *process) (broken []string) {
	report := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s (%s, front %s): ", m.id, m.class.Idempotency, m.front)+
			fmt.Sprintf(format, args...))
	}
	if asked := m.waiting(present); asked != nil {
		report("no final answer for %q, the last of %d submissions that can get it", asked.address, len(m.asks))
	}
	if len(m.answers) > 1 {
		report("final answers %q", m.answers)
	}
	unsafe := m.class.Idempotency == scheduler.NotIdempotent
	for _, answer := range m.answers {
		if answer == sender.Returned && unsafe && len(m.runs) > 0 {
			report("returned, but it has run")
		}
		if answer == sender.Delivered && len(m.runs) == 0 {
			report("delivered, but it has not run")
		}
	}
	for i, r := range m.runs {
		if r.afterEnd {
			report("run by process %d, %d attempts before, %v behind its final answer %q of process %d", r.process, r.number,
				r.at.Sub(m.answeredAt), m.answers, m.answeredBy)
		}
		if i > 0 {
			m.checkRepeat(r, report)
		}
	}
	return broken
}

// checkRepeat checks a run that is not the first one.
func (m *message) checkRepeat(repeated run, report func(format string, args ...any)) {
	first := m.runs[0]
	window := time.Duration(m.class.KeyWindowUs) * time.Microsecond
	switch {
	case m.class.Idempotency == scheduler.Idempotent:
	case m.class.Idempotency == scheduler.NotIdempotent:
		report("run %d times", len(m.runs))
	case repeated.at.Sub(first.at) > window:
		report("run again after %v, its window is %v", repeated.at.Sub(first.at), window)
	case m.class.KeyScope == scheduler.KeyScopeZone && repeated.zone != first.zone:
		report("run in %s and again in %s, where its key is not known", first.zone, repeated.zone)
	}
}
