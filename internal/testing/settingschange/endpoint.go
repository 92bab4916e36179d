package settingschange

import (
	"time"

	"brackendale/scheduler"
	"brackendale/sender"
)

// call is an attempt on its way to an endpoint and back.
type call struct {
	process  *process
	attempt  sender.Attempt
	route    sender.Route
	outcome  sender.Outcome
	runs     bool // it is executed if it leaves
	canceled bool
}

// Send implements sender.Egress.
func (p *process) Send(route sender.Route, attempts []sender.Attempt) {
	if !p.world.registry.mayUse(route) {
		p.world.report("an attempt at %+v, which the registry has reported as gone", idOf(route))
	}
	for _, attempt := range attempts {
		c := &call{process: p, attempt: attempt, route: route}
		p.calls[c] = true
		time.AfterFunc(between(p.world.rng, 0, 20*time.Millisecond), c.leave)
	}
}

// Cancel implements sender.Egress: an attempt that has not left does not leave.
func (p *process) Cancel(id string, attempt int) {
	for c := range p.calls {
		if c.attempt.ID == id && c.attempt.Number == attempt {
			c.canceled = true
		}
	}
}

// UpdateRoutes implements sender.Egress.
func (p *process) UpdateRoutes([]sender.Route) {}

// leave writes the attempt, which runs at once, and lets it end later.
func (c *call) leave() {
	w := c.process.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.process.calls[c] {
		return // killed
	}
	now := c.process.core.Now()
	tooLate := now >= c.attempt.Deadline || c.attempt.StartBy > 0 && now > c.attempt.StartBy
	if c.canceled || tooLate || !c.attempt.MayLeave() {
		c.end(sender.OutcomeNotSent)
		return
	}
	c.attempt.Left()
	c.drawOutcome()
	if c.runs {
		w.run(c)
	}
	delay := between(w.rng, time.Millisecond, 60*time.Millisecond)
	if c.outcome == sender.OutcomeTimedOut {
		delay = time.Duration(c.attempt.TimeoutUs) * time.Microsecond
	}
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if c.process.calls[c] {
			c.end(c.outcome)
		}
	})
}

// drawOutcome draws what happens to a call that leaves.
func (c *call) drawOutcome() {
	rng := c.process.world.rng
	switch draw := rng.Intn(100); {
	case draw < 45:
		c.outcome, c.runs = sender.OutcomeSuccess, true
	case draw < 60:
		c.outcome = sender.OutcomeRejected
	case draw < 70:
		c.outcome = sender.OutcomeConnectFailed
	case draw < 80:
		c.outcome, c.runs = sender.OutcomeFailed, true
	case draw < 90:
		c.outcome, c.runs = sender.OutcomeReset, percent(rng, 50)
	default:
		c.outcome, c.runs = sender.OutcomeTimedOut, true
	}
}

// end reports the outcome.
func (c *call) end(outcome sender.Outcome) {
	delete(c.process.calls, c)
	c.process.core.ReportAttempts(sender.AttemptResult{
		ID: c.attempt.ID, Attempt: c.attempt.Number, Endpoint: c.route.Addr, Outcome: outcome,
	})
}

// run records that an endpoint executes a message.
func (w *world) run(sent *call) {
	m := w.messages[sent.attempt.ID]
	if m == nil {
		w.report("%s has run, which nobody has submitted", sent.attempt.ID)
		return
	}
	m.runs = append(m.runs, run{
		at: time.Now(), zone: sent.route.Zone, afterEnd: !m.answeredAt.IsZero(), number: sent.attempt.Number,
		process: sent.process.number,
	})
	if sent.route.State == scheduler.StatusDraining {
		w.report("%s has left to %s, which was draining", sent.attempt.ID, sent.route.Addr)
	}
}
