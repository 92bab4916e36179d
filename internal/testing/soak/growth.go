package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"time"

	"brackendale/internal/testing/fleet"
)

// Usage is the resource use of a sender in a run without faults, in which endpoints are regularly replaced.
type Usage struct {
	Endpoints, Senders int
	CPU                time.Duration
	PeakMB             float64
	MaxDescriptors     int
	Connections        int // opened to endpoints
	ListKB             float64
	DeliveredShare     float64 // of the messages submitted
	Violations         []string
}

// Measure runs the sender and measures its Usage. The traffic does not depend on the number of endpoints or senders.
func Measure(opt Options) (usage Usage, err error) {
	s := newSimulation(opt)
	s.sockets, s.discovery.changesOnly = 512, true
	if err := s.open(); err != nil {
		return usage, err
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), opt.Length)
	defer cancel()
	var pending sync.WaitGroup
	for i := range clientCount {
		submitter := &client{simulation: s, number: i, rng: rand.New(rand.NewSource(opt.Seed*100 + int64(i)))}
		pending.Add(1)
		go func() { defer pending.Done(); submitter.run(ctx) }()
	}
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		if err := s.replaceEndpoint(); err != nil {
			return usage, err
		}
		if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.proc.Pid())); err == nil {
			usage.MaxDescriptors = max(usage.MaxDescriptors, len(fds))
		}
	}
	pending.Wait()
	time.Sleep(2 * time.Second)
	usage.Endpoints, usage.Senders = len(s.endpoints), max(1, opt.Senders)
	usage.CPU, usage.PeakMB = processUsage(s.proc)
	time.Sleep(time.Duration(classes[len(classes)-1].DeadlineUs) * time.Microsecond)
	var report Report
	s.judge.close(&report)
	counts := report.Counts
	usage.Violations = report.Violations
	usage.Connections, usage.ListKB = counts["connections"], float64(counts["list bytes"])/1024
	usage.DeliveredShare = float64(counts["delivered"]) / float64(max(1, counts["submitted"]))
	return usage, nil
}

// processUsage returns the CPU time and the peak resident memory of a process.
func processUsage(proc *fleet.Proc) (cpu time.Duration, peakMB float64) {
	const tick = 10 * time.Millisecond // unit of CPU time in /proc
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", proc.Pid())); err == nil {
		if fields := bytes.Fields(raw[bytes.LastIndexByte(raw, ')')+1:]); len(fields) > 12 {
			user, _ := strconv.Atoi(string(fields[11]))
			system, _ := strconv.Atoi(string(fields[12]))
			cpu = time.Duration(user+system) * tick
		}
	}
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Pid())); err == nil {
		if _, after, ok := bytes.Cut(raw, []byte("VmHWM:")); ok {
			kb, _ := strconv.Atoi(string(bytes.Fields(after)[0]))
			peakMB = float64(kb) / 1024
		}
	}
	return cpu, peakMB
}
