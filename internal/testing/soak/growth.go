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

// Need is what a sender needed on a calm day with endpoints that are replaced now and then.
type Need struct {
	Endpoints, Senders int
	CPU                time.Duration
	PeakMB             float64
	Descriptors        int // most
	Connections        int // made to endpoints
	ListKB             float64
	Served             float64 // delivered, of what was handed in
	Broken             []string
}

// Measure plays such a day: the traffic is the same whatever the number of endpoints and of senders that share them.
func Measure(opt Options) (n Need, err error) {
	w := newWorld(opt)
	w.sockets, w.discovery.changesOnly = 512, true
	if err := w.open(); err != nil {
		return n, err
	}
	defer w.close()
	ctx, cancel := context.WithTimeout(context.Background(), opt.Length)
	defer cancel()
	var all sync.WaitGroup
	for i := range crew {
		c := &client{world: w, number: i, rng: rand.New(rand.NewSource(opt.Seed*100 + int64(i)))}
		all.Add(1)
		go func() { defer all.Done(); c.run(ctx) }()
	}
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		if err := w.replace(); err != nil {
			return n, err
		}
		if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.proc.Pid())); err == nil {
			n.Descriptors = max(n.Descriptors, len(fds))
		}
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	n.Endpoints, n.Senders = len(w.endpoints), max(1, opt.Senders)
	n.CPU, n.PeakMB = used(w.proc)
	time.Sleep(time.Duration(classes[len(classes)-1].DeadlineUs) * time.Microsecond)
	var counts map[string]int
	n.Broken, counts = w.judge.close()
	n.Connections, n.ListKB = counts["connections"], float64(counts["list bytes"])/1024
	n.Served = float64(counts["delivered"]) / float64(max(1, counts["submitted"]))
	return n, nil
}

// used is the processor time and the peak of the memory of a process.
func used(proc *fleet.Proc) (cpu time.Duration, peakMB float64) {
	const tick = 10 * time.Millisecond // of the kernel's accounting as it shows it
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
