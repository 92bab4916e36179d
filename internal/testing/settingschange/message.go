package settingschange

import (
	"fmt"
	"time"

	"brackendale/internal/clock"
	"brackendale/scheduler"
	"brackendale/sender"
)

// message is what the clients and endpoints know of one message. Its terms are those of its class when the process that
// it was first submitted to accepted it.
type message struct {
	id       string
	front    string
	class    scheduler.Class
	request  sender.Request // as it was first submitted
	accepted bool           // a client has received the verdict
	resolved bool           // a client has received any verdict
	runs     []run
	answers  []string  // distinct final answers that clients received
	toldAt   time.Time // a client has received the final answer, so that nothing may run any more; zero: none has
	toldBy   int       // the process that gave it first
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

// answered records a final answer.
func (m *message) answered(answer string, process int) {
	if m.toldAt.IsZero() {
		m.toldAt, m.toldBy = time.Now(), process
	}
	for _, known := range m.answers {
		if known == answer {
			return
		}
	}
	m.answers = append(m.answers, answer)
}

// violations returns the rules that were broken for the message.
func (m *message) violations() (broken []string) {
	report := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s (%s, front %s): ", m.id, m.class.Idempotency, m.front)+
			fmt.Sprintf(format, args...))
	}
	switch {
	case m.accepted && len(m.answers) == 0:
		report("no final answer")
	case len(m.answers) > 1:
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
				r.at.Sub(m.toldAt), m.answers, m.toldBy)
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
