package soak

import (
	"time"

	"brackendale/internal/failpoint"
)

// killPoints are the failpoints at which a new process is killed in its start, once it has the journal. At the last one
// its predecessor knows that it serves, and has to start from the journal.
var killPoints = []failpoint.Point{failpoint.JournalOpened, failpoint.SocketInherited, failpoint.ServingConfirmed}

// failStart starts a new process beside the serving one and has it killed in its start. Only where the new process
// serves already may clients notice: no restart is recorded otherwise, so that any missing reply is a violation.
func (s *simulation) failStart() error {
	point := killPoints[s.rng.Intn(len(killPoints))]
	s.recordAction("a new process is killed at: %s", point)
	served := point == failpoint.ServingConfirmed
	ready := s.discovery.recordUpgrade()
	if served {
		s.judge.recordStop()
	}
	control := s.launcher.control
	killed, err := s.launch(s.drawFaults(), s.options.KillPointEnv+"="+string(point))
	if err != nil {
		return err
	}
	select {
	case <-killed.Done():
	case <-time.After(readyTimeout):
		s.judge.Violate("start: a new process neither reaches \"%s\" nor ends within %v", point, readyTimeout)
		killed.Kill()
	}
	s.launcher.control = control
	startTime := time.Now()
	for !s.launcher.ready() && !s.crashed() {
		if time.Since(startTime) > readyTimeout {
			s.judge.Violate("ready: the old process is not ready %v after a start that failed", readyTimeout)
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if served {
		s.judge.recordStart()
		s.judge.recordReady()
	}
	ready()
	s.judge.count("starts that failed", 1)
	s.recordAction("the old process is ready after %v", time.Since(startTime).Round(time.Millisecond))
	return nil
}
