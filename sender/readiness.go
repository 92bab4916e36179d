package sender

import (
	"errors"
	"fmt"
	"sync/atomic"
)

// readiness records whether this process accepts messages. Run's goroutine owns all fields except the
// atomic one.
type readiness struct {
	hasEndpointList bool
	stopping        bool                  // graceful shutdown has begun
	problem         atomic.Pointer[error] // why the process is not ready; nil: it is ready
}

// The reasons for not being ready, besides ErrHandedOver. Clients of the readiness check get the texts.
var (
	errStarting       = errors.New("starting")
	errNoEndpointList = errors.New("no list of endpoints is known yet")
	errStopping       = errors.New("stopping")
	errDiskStalled    = errors.New("the disk takes nothing")
)

// Ready reports whether this process accepts messages and can give each its final answer, and if not,
// the reason. Any goroutine may call it.
func (s *Sender) Ready() (ok bool, reason string) {
	if problem := s.readiness.problem.Load(); problem != nil {
		return false, (*problem).Error()
	}
	return true, ""
}

func (s *Sender) setNotReady(problem error) { s.readiness.problem.Store(&problem) }

// updateReadiness is called after each step.
func (s *Sender) updateReadiness() {
	switch {
	case !s.readiness.hasEndpointList:
		s.setNotReady(errNoEndpointList)
	case s.diskStall.err != nil:
		s.setNotReady(fmt.Errorf("%w: %w", errDiskStalled, s.diskStall.err))
	case s.readiness.stopping:
		s.setNotReady(errStopping)
	default:
		s.readiness.problem.Store(nil)
	}
}
