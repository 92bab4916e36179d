package soak

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/eventlog"
	"brackendale/internal/testing/fleet"
)

// Run runs one scenario. An error means that it could not be run; violations are in the report.
func Run(opt Options) (Report, error) {
	s := newSimulation(opt)
	s.sockets = []int{128, 256}[s.rng.Intn(2)]
	s.socketFaults = s.rng.Intn(2) == 0 && !opt.OnlyStrays && !opt.Quiet
	s.judge.clientsReset = s.socketFaults
	if err := s.open(); err != nil {
		return Report{}, err
	}
	defer s.close()
	if s.links != nil {
		watched := make(chan struct{})
		defer close(watched)
		go s.judge.watch(watched)
	}
	if err := s.runScenario(); err != nil {
		return Report{}, err
	}
	s.checkGuard()
	report := Report{Seed: opt.Seed, Actions: s.actions}
	s.judge.close(&report)
	s.addTimelines(&report)
	return report, nil
}

func newSimulation(opt Options) *simulation {
	s := &simulation{options: opt, judge: newJudge(), rng: rand.New(rand.NewSource(opt.Seed)), ports: &fleet.Ports{}}
	for _, class := range classes {
		s.judge.effects[class.Name], s.judge.windows[class.Name] = class.Idempotency,
			time.Duration(class.KeyWindowUs)*time.Microsecond
	}
	s.discovery = newDiscovery(s.judge, rand.New(rand.NewSource(opt.Seed+1)), s.ports)
	s.discovery.strays = s.strays("agent", opt.Seed+2)
	if opt.Links != nil {
		s.links = newLinks(*opt.Links, s.judge, opt.Seed, s.ports)
		s.discovery.links = s.links
	}
	return s
}

// checkGuard records a violation that the sender's own guard has found.
func (s *simulation) checkGuard() {
	raw, _ := os.ReadFile(s.log.Name())
	for line := range bytes.Lines(raw) {
		if bytes.Contains(line, []byte(eventlog.ViolationMessage)) {
			s.judge.Violate("guard: %s", line)
		}
	}
}

// maxTimelines is the number of messages whose timelines a report has.
const maxTimelines = 5

// addTimelines adds what the sender's log tells of the messages with violations.
func (s *simulation) addTimelines(report *Report) {
	involved := report.involved[:min(maxTimelines, len(report.involved))]
	if len(involved) == 0 {
		return
	}
	log, err := os.Open(s.log.Name())
	if err != nil {
		report.Timelines = err.Error()
		return
	}
	defer log.Close()
	var events eventlog.Report
	var text strings.Builder
	fmt.Fprintf(&text, "the run began at %.3f\n", clock.Steady().Sub(0).Seconds()-time.Since(s.judge.start).Seconds())
	if err := errors.Join(events.Read(log), events.WriteMessages(&text, involved)); err != nil {
		fmt.Fprintln(&text, err)
	}
	report.Timelines = text.String()
}

// close stops the sender and everything that the simulation runs.
func (s *simulation) close() {
	s.expected = true
	if s.links != nil {
		s.links.silentLog.close() // the end of a process is waited for with the end of its log
	}
	s.proc.Kill()
	for _, endpoint := range s.endpoints {
		endpoint.close()
	}
	if s.launcher != nil {
		s.launcher.close()
	}
	s.links.close()
	s.ports.Release()
	_ = s.log.Close()
}

// open prepares the simulation and starts the sender.
func (s *simulation) open() (err error) {
	if err := os.MkdirAll(s.path("state"), 0o700); err != nil {
		return err
	}
	if s.log, err = os.Create(s.path("log")); err != nil {
		return err
	}
	if s.options.Upgrades {
		if s.launcher, err = newLauncher(s.rng.Intn(2) == 0, s.ports); err != nil {
			return err
		}
		s.listen = s.launcher.addr
	} else if s.listen, err = s.ports.Reserve(); err != nil {
		return err
	}
	if err := s.links.relayClients(s.listen); err != nil {
		return err
	}
	for dest := range int64(s.destinations()) {
		count := 1 + s.rng.Intn(3)
		if s.options.Destinations > 0 {
			count = 2
		}
		for range count {
			if err := s.addEndpoint(dest + 1); err != nil {
				return err
			}
		}
	}
	addr, err := s.discovery.startAgent()
	if err != nil {
		return err
	}
	if err := s.configure(addr); err != nil {
		return err
	}
	return s.start()
}

// clientCount is the number of clients that submit messages.
const clientCount = 8

// runScenario runs clients and injects faults, and then waits without faults for all final answers.
func (s *simulation) runScenario() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.options.Length)
	defer cancel()
	var pending sync.WaitGroup
	for i := range s.links.clients() {
		submitter := &client{simulation: s, number: i, rng: rand.New(rand.NewSource(s.options.Seed*100 + int64(i)))}
		pending.Add(1)
		go func() { defer pending.Done(); submitter.run(ctx) }()
	}
	for range s.pingClientCount() {
		pending.Add(1)
		go func() { defer pending.Done(); s.pingOpenConnection(ctx) }()
	}
	s.pauseOnce()
	for ctx.Err() == nil {
		if s.crashed() {
			break
		}
		for i := 1 + s.rng.Intn(3); i > 0 && !s.options.OnlyStrays && !s.options.Quiet; i-- { // several faults at once
			if err := s.injectFault(); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+s.rng.Intn(900)) * time.Millisecond):
		}
	}
	cancel()
	pending.Wait()
	s.endFaults()
	// Long enough for all deadlines, the grace period of a restart and the slack.
	lastDeadline := cmp.Or(s.links.deadline(), time.Duration(classes[len(classes)-1].DeadlineUs)*time.Microsecond)
	time.Sleep(lastDeadline + finalAnswerSlack + 2*slack + restartGrace)
	s.crashed()
	return nil
}

// endFaults ends all faults.
func (s *simulation) endFaults() {
	s.recordAction("calm")
	_ = os.Remove(s.diskFaultFile())
	_ = os.Remove(s.diskFaultFile() + "-to-cut")
	s.discovery.setDown(false)
	s.links.stopFaults()
	for _, endpoint := range s.endpoints {
		endpoint.setBehavior(normal)
	}
}

// injectFault injects a random fault.
func (s *simulation) injectFault() error {
	if s.options.Upgrades && s.rng.Intn(3) == 0 {
		return s.injectUpgradeFault()
	}
	if s.links != nil && s.links.options.Cuts && s.rng.Intn(3) == 0 {
		s.injectLinkFault()
		return nil
	}
	chosen := s.endpoints[s.rng.Intn(len(s.endpoints))]
	switch kind := s.rng.Intn(20); kind {
	case 0, 1, 2, 3, 4, 5:
		mode := behavior(s.rng.Intn(int(behaviorCount)))
		s.recordAction("%s of %d: mood %d", chosen.name, chosen.dest, mode)
		chosen.setBehavior(mode)
		time.AfterFunc(time.Duration(500+s.rng.Intn(4000))*time.Millisecond, func() { chosen.setBehavior(normal) })
	case 6:
		mode := behavior(s.rng.Intn(int(behaviorCount)))
		s.recordAction("all of %d: mood %d", chosen.dest, mode)
		for _, other := range s.endpoints {
			if other.dest == chosen.dest {
				other.setBehavior(mode)
				time.AfterFunc(time.Duration(1000+s.rng.Intn(5000))*time.Millisecond, func() { other.setBehavior(normal) })
			}
		}
	case 7:
		s.recordAction("connections to %s are reset", chosen.name)
		chosen.resetConnections()
	case 8, 9:
		return s.replaceEndpoint()
	case 10:
		duration := time.Duration(300+s.rng.Intn(5000)*(1+s.rng.Intn(3))) * time.Millisecond
		s.recordAction("discovery is down for %v", duration)
		s.discovery.setDown(true)
		time.AfterFunc(duration, func() { s.discovery.setDown(false) })
	case 11:
		s.recordAction("open watches fall silent")
		s.discovery.makeWatchesUnresponsive()
	case 12, 13:
		return s.reload()
	case 14, 15:
		s.diskFault()
	case 16:
		s.connectionFlood()
	case 17:
		return s.kill()
	case 18:
		return s.gracefulRestart()
	default:
		s.wallStep = []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second}[s.rng.Intn(5)]
		s.recordAction("the wall clock of the next process is off by %v", s.wallStep)
	}
	return nil
}

// String returns a one-line summary.
func (r Report) String() string {
	verdict := "passed"
	if len(r.Violations) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("seed %d: %s, %d acts, %v", r.Seed, verdict, len(r.Actions), r.Counts)
}
