package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

// Senders is a measurement against senders that it starts itself. Each has its own worker process for its clients'
// connections, because the file descriptors of a single process may not suffice for all of them.
type Senders struct {
	Program  string // path of the sender's executable
	Worker   string // path of the load tool's own executable
	Count    int
	Pin      int // the core that all senders share; negative: any
	MemoryMB int
	Plan     Plan // its steps count the connections of all senders together
	Log      io.Writer
}

// Run starts all senders and workers, measures each step in all workers at the same time, and merges the
// distributions.
func (s Senders) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	partner, err := startPartner()
	if err != nil {
		return Report{}, err
	}
	defer partner.Close()
	dir, err := os.MkdirTemp("", "brackendale-load")
	if err != nil {
		return Report{}, fmt.Errorf("load: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var workers []*worker
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	for i := range s.Count {
		w, err := s.startWorker(ctx, filepath.Join(dir, strconv.Itoa(i)), partner.Addr().String(), i)
		if err != nil {
			return Report{}, err
		}
		workers = append(workers, w)
	}
	return s.measure(workers)
}

func (s Senders) measure(workers []*worker) (Report, error) {
	var mu sync.Mutex
	open := map[*worker]int{}
	stages := s.Plan.stages()
	for step := range len(stages) + 1 {
		if err := forEachWorker(workers, func(w *worker) error {
			return w.readUntil(func(m message) bool {
				mu.Lock()
				defer mu.Unlock()
				if m.Open > 0 && s.Plan.Progress != nil && step < len(stages) {
					open[w] = m.Open
					n := 0
					for _, count := range open {
						n += count
					}
					s.Plan.Progress(n, stages[step].idle)
				}
				return m.Ready
			})
		}); err != nil {
			return Report{}, err
		}
		if err := forEachWorker(workers, func(w *worker) error {
			_, err := io.WriteString(w.in, "\n")
			return err
		}); err != nil {
			return Report{}, fmt.Errorf("load: %w", err)
		}
	}
	var reps []*Report
	if err := forEachWorker(workers, func(w *worker) error {
		return w.readUntil(func(m message) bool {
			if m.Report != nil {
				mu.Lock()
				reps = append(reps, m.Report)
				mu.Unlock()
			}
			return m.Report != nil
		})
	}); err != nil {
		return Report{}, err
	}
	return s.merge(reps)
}

// forEachWorker calls run for all workers concurrently and joins the errors.
func forEachWorker(workers []*worker, run func(*worker) error) error {
	errs := make([]error, len(workers))
	var done sync.WaitGroup
	for i, w := range workers {
		done.Add(1)
		go func() {
			defer done.Done()
			errs[i] = run(w)
		}()
	}
	done.Wait()
	return errors.Join(errs...)
}

// merge combines the reports of all workers: histograms are merged and counters are added.
func (s Senders) merge(reps []*Report) (Report, error) {
	rep := Report{Plan: s.Plan, Cores: reps[0].Cores}
	for i, st := range s.Plan.stages() {
		n := st.idle
		total := Step{
			Name: st.name, Idle: n, accepted: hdrhistogram.New(1, maxLatency, 3),
			answered: hdrhistogram.New(1, maxLatency, 3),
		}
		for _, r := range reps {
			step := r.Steps[i]
			for raw, into := range map[*[]byte]*hdrhistogram.Histogram{
				&step.AcceptedHist: total.accepted, &step.AnsweredHist: total.answered,
			} {
				histogram, err := hdrhistogram.Decode(*raw)
				if err != nil {
					return rep, fmt.Errorf("load: decoding a worker's distribution: %w", err)
				}
				into.Merge(histogram)
			}
			total.Opened += step.Opened
			total.OpenSeconds = max(total.OpenSeconds, step.OpenSeconds)
			total.Rejected, total.Failed, total.Missed = total.Rejected+step.Rejected,
				total.Failed+step.Failed, total.Missed+step.Missed
			total.TimersFired += step.TimersFired
			total.Lost, total.HeartbeatsSent, total.RSS, total.CPU = total.Lost+step.Lost,
				total.HeartbeatsSent+step.HeartbeatsSent, total.RSS+step.RSS, total.CPU+step.CPU
		}
		if total.Accepted, total.Answered = newLatency(total.accepted), newLatency(total.answered); total.OpenSeconds > 0 {
			total.ConnectionsPerSecond = float64(total.Opened) / total.OpenSeconds
		}
		if i > 0 && n > s.Plan.Steps[0] {
			total.BytesPerConnection = float64(total.RSS-rep.Steps[0].RSS) / float64(n-s.Plan.Steps[0])
		}
		rep.Steps = append(rep.Steps, total)
	}
	rep.findKnee()
	return rep, nil
}

// worker is a sender and the process with its client connections.
type worker struct {
	sender, clients *exec.Cmd
	in              io.WriteCloser
	out             *bufio.Reader
}

// readUntil reads messages up to the first that accept returns true for.
func (w *worker) readUntil(accept func(message) bool) error {
	for {
		line, err := w.out.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("%w: %w", errWorkerEnded, err)
		}
		var m message
		if err := json.Unmarshal(line, &m); err != nil {
			return fmt.Errorf("load: parsing a worker's message: %w", err)
		}
		if accept(m) {
			return nil
		}
	}
}

// kill ends both processes and waits for them.
func (w *worker) kill() {
	for _, c := range []*exec.Cmd{w.clients, w.sender} {
		if c == nil || c.Process == nil {
			continue
		}
		if c == w.clients {
			_ = w.in.Close()
		}
		_ = c.Process.Kill() // through its own process handle, so that only processes started here are killed
		_ = c.Wait()
	}
}

func (s Senders) startWorker(ctx context.Context, dir, partner string, index int) (*worker, error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	file := filepath.Join(dir, "sender.toml")
	if err := os.WriteFile(file, s.config(addr, partner, int(min(limit.Cur, 20_000))), 0o600); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	w := &worker{sender: exec.CommandContext(ctx, s.Program, "serve", "--config", file)}
	w.sender.Env = append(os.Environ(), "LB_STATE="+dir, "LB_CONFIG=")
	w.sender.Stderr = s.Log
	if err := startOnCore(s.Pin, w.sender); err != nil {
		return w, fmt.Errorf("load: starting a sender: %w", err)
	}
	if err := waitForListener(addr); err != nil {
		return w, err
	}
	p := s.Plan
	p.Socket = filepath.Join(dir, "console")
	p.Addr, p.Active.Addr, p.Pid = addr, addr, w.sender.Process.Pid
	p.Active.Rate /= float64(s.Count)
	p.Steps = slices.Clone(p.Steps)
	for k, n := range p.Steps {
		p.Steps[k] = n / s.Count
		if index < n%s.Count {
			p.Steps[k]++
		}
	}
	w.clients = exec.CommandContext(ctx, s.Worker, "worker")
	w.clients.Stderr = os.Stderr
	out, err := w.clients.StdoutPipe()
	if err != nil {
		return w, fmt.Errorf("load: %w", err)
	}
	if w.in, err = w.clients.StdinPipe(); err != nil {
		return w, fmt.Errorf("load: %w", err)
	}
	w.out = bufio.NewReader(out)
	if err := w.clients.Start(); err != nil {
		return w, fmt.Errorf("load: starting a worker: %w", err)
	}
	return w, json.NewEncoder(w.in).Encode(p)
}

// startOnCore starts a command on one core: a child inherits the CPU affinity of the thread that starts it.
func startOnCore(core int, command *exec.Cmd) error {
	if core < 0 {
		return command.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var previous, single unix.CPUSet
	if err := unix.SchedGetaffinity(0, &previous); err != nil {
		return fmt.Errorf("reading the CPU affinity: %w", err)
	}
	single.Set(core)
	if err := unix.SchedSetaffinity(0, &single); err != nil {
		return fmt.Errorf("setting the CPU affinity to core %d: %w", core, err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &previous) }() // restores the affinity that the thread had before
	return command.Start()
}

func (s Senders) config(addr, partner string, sockets int) []byte {
	front := fmt.Sprintf("[amqp]\nlisten = %q\nexchange = %q\nheartbeat_s = %d\n", addr, s.Plan.Active.Exchange,
		int(s.Plan.Beat.Seconds()))
	if s.Plan.Proto == RESP {
		front = fmt.Sprintf("[resp]\nlisten = %q\nfinals = %q\n", addr, partner)
	}
	return fmt.Appendf(nil, `name = "load"
[limits]
memory_mb = %d
sockets = %d
disk_mb = 64
[clients]
share = 0.95
targets = 0.01
%s[console]
socket = "console"
[sender]
slots = 64
hold = 4000
[[class]]
name = %q
effect = "repeatable"
aim_ms = 3000
deadline_ms = 20000
worth = 1
[[route]]
name = "partner"
dest = %d
proto = "http"
dial = %q
`, s.MemoryMB, sockets, front, s.Plan.Active.Class, s.Plan.Active.Dest, partner)
}

// freeAddr returns a loopback address that no process is listening on at the time of the call.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("load: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// finalsPath is the path that the sender posts final answers to.
const finalsPath = "/v2/finals"

// startPartner starts an endpoint that delivers every message immediately and accepts every final answer.
func startPartner() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	server := &http.Server{
		ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == finalsPath {
				w.WriteHeader(http.StatusNoContent)
			}
		}),
	}
	go func() { _ = server.Serve(ln) }() // returns when its listener is closed
	return ln, nil
}
