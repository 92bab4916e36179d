package scheduler

import "brackendale/internal/slowstart"

// The reasons of transitions that follow from no outcome.
const (
	reasonRestored = "restored"
	reasonListed   = "listed as recovering"
	reasonElapsed  = "slow start elapsed"
)

// phaseLog is the phase of a route that was reported last.
type phaseLog struct {
	reported slowstart.Phase
	calls    int // since it was reported
}

// Transitions returns the changes of the phases of routes in the last step, in order.
func (s *Scheduler) Transitions() []slowstart.Transition { return s.transitions }

// phase returns the phase of a route's recovery.
func (s *Scheduler) phase(rt *route) slowstart.Phase {
	switch {
	case rt.health.unavailable:
		return slowstart.Unavailable
	case s.now < rt.gate.Until:
		return slowstart.Recovering
	case rt.gate.Suspected:
		return slowstart.Suspected
	}
	return slowstart.Healthy
}

// reportPhase reports the phase of a route if it has changed.
func (s *Scheduler) reportPhase(rt *route, reason string) {
	phase := s.phase(rt)
	if phase == rt.phaseLog.reported {
		return
	}
	s.transitions = append(s.transitions, s.transition(rt, phase, reason))
	rt.phaseLog = phaseLog{reported: phase}
}

// reportViolation reports a call that the gate of its route does not let through.
func (s *Scheduler) reportViolation(rt *route) {
	violation := s.transition(rt, s.phase(rt), "")
	violation.Violation = true
	s.transitions = append(s.transitions, violation)
}

func (s *Scheduler) transition(rt *route, phase slowstart.Phase, reason string) slowstart.Transition {
	transition := slowstart.Transition{
		Destination:       rt.destination.id,
		Endpoint:          rt.endpointAddr,
		From:              rt.phaseLog.reported,
		To:                phase,
		Reason:            reason,
		CapacityPerSecond: s.capacityEstimate(rt),
		Calls:             rt.phaseLog.calls,
	}
	if phase != slowstart.Healthy {
		transition.CallsPerSecond = s.slowStartRate(rt)
	}
	return transition
}
