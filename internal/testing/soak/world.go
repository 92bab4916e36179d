package soak

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/net/reactor"
	"brackendale/internal/settings"
	"brackendale/internal/statefs"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"
)

// Options is one run.
type Options struct {
	Seed    int64
	Program string   // the sender's
	Args    []string // that let it serve
	Env     []string
	Dir     string // for its folder, its configuration and its log
	Length  time.Duration

	// Upgrades: a launcher holds the clients' socket, which the processes inherit, and among the troubles are upgrades in
	// series, with the socket made a blocking one in some, and crowds of clients that never end a command.
	Upgrades bool

	// A fleet of another size: destinations with two endpoints each, and senders that share them, in place of those drawn.
	Destinations int
	Senders      int
}

// Report is the result of one run.
type Report struct {
	Seed   int64
	Acts   []string // what was done, and when
	Counts map[string]int
	Broken []string
}

// world is one run while it is played.
type world struct {
	options   Options
	judge     *Judge
	discovery *discovery
	rng       *rand.Rand // the director's
	listen    string
	endpoints []*endpoint
	named     int
	proc      *fleet.Proc
	log       *os.File
	acts      []string
	expected  bool // the process is being ended
	sockets   int
	wall      time.Duration // of the processes that start from now on
	errno     bool          // and some of their socket calls fail
	launcher  *launcher     // nil: each process listens by itself
}

// The deployment: one class of each effect, three destinations with one to three endpoints, calls
// of up to two messages.
const (
	grace  = 2 * time.Second
	window = 4 * time.Second
)

var classes = []scheduler.Class{
	{Name: "safe", Idempotency: "repeatable", LatencyObjectiveUs: 1.5e6, DeadlineUs: 5e6, PriorityWeight: 1},
	{
		Name: "key", Idempotency: "by_key", KeyScope: "all", LatencyObjectiveUs: 2e6, DeadlineUs: 8e6,
		KeyWindowUs: window.Microseconds(), PriorityWeight: 2,
	},
	{Name: "charge", Idempotency: "once", LatencyObjectiveUs: 2e6, DeadlineUs: 9e6, PriorityWeight: 4},
}

// wireSettings is the settings of the sender under test in the form of the configuration file.
func wireSettings(senders int) settings.Settings {
	s := schedulerSettings(senders)
	return settings.Wire(&s)
}

func schedulerSettings(senders int) (s scheduler.Settings) {
	s.Senders, s.TickUs, s.Discovery, s.CapacityHints, s.MachineTypes = senders, 5000, "pushed", "silent", []string{"k"}
	s.Classes = classes
	s.Calls.EndpointLimits, s.Calls.MessagesPerCall, s.Calls.ConcurrentCalls, s.Calls.ValueDecay = []bool{false},
		[]int{2}, 24, "halves"
	s.Limits.CanCancel, s.Limits.MaxMessages, s.Limits.MaxAttempts, s.Limits.CanSendRetryAfter,
		s.Limits.MaxRetryAfterUs = true, 400, 8, true, 3e6
	s.Limits.ConnectTimeoutUs, s.Limits.KeepAliveUs, s.Limits.StreamsPerConnection = 1500e3, 5e6, 1
	s.Rules.OverloadWindowUs, s.Rules.SlowStartInitialShare, s.Rules.OverloadMultiple, s.Rules.SlowStartUs = 2e6,
		0.2, 2, 4e6
	s.Rules.DrainWithinUs, s.Rules.AnswerMarginUs = grace.Microseconds(), 20e3
	return s
}

// message draws one for a client.
func (w *world) message(id string, rng *rand.Rand) *message {
	l := classes[rng.Intn(len(classes))]
	d := time.Duration(l.DeadlineUs) * time.Microsecond
	if rng.Intn(4) == 0 { // little time left
		d = time.Duration(30+rng.Intn(1500)) * time.Millisecond
	}
	m := &message{
		id: fmt.Sprintf("%x-%s", w.options.Seed, id), class: l.Name,
		dest: int64(1 + rng.Intn(w.destinations())), deadline: time.Now().Add(d),
	}
	m.body = fmt.Sprintf("body of %s\r\n", m.id)
	if l.Idempotency == scheduler.IdempotentByKey {
		m.key = "k" + m.id
	}
	return m
}

// usualDestinations is how many there are on an ordinary day.
const usualDestinations = 3

func (w *world) destinations() int { return cmp.Or(w.options.Destinations, usualDestinations) }

// act records what the director does.
func (w *world) act(format string, args ...any) {
	w.acts = append(w.acts, fmt.Sprintf("%.3f ", time.Since(w.judge.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) path(name string) string { return filepath.Join(w.options.Dir, name) }

// diskFails is the path of a file that exists while writes to the journal fail.
func (w *world) diskFails() string { return w.path("disk-fails") }

// configure replaces the configuration's file.
func (w *world) configure(addr string) error {
	raw, err := json.Marshal(map[string]any{
		"name": "n1", "listen": w.listen, "discovery": addr, "seed": fmt.Sprintf("%x", w.rng.Int63()),
		"limits": config.Limits{Cores: 1, MemoryMB: 64, Sockets: w.sockets, DiskMB: 1}, "known": w.discovery.known(),
		"settings": wireSettings(max(1, w.options.Senders)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(w.path("next.json"), raw, 0o600); err != nil {
		return err
	}
	return os.Rename(w.path("next.json"), w.path("config.json"))
}

// launch starts a process.
func (w *world) launch(injected faults.Faults) (*fleet.Proc, error) {
	env := []string{"LB_CONFIG=" + w.path("config.json"), "LB_STATE=" + w.path("state"), injected.Env()}
	env = append(env, w.options.Env...)
	if w.launcher == nil {
		return fleet.Start(w.options.Program, w.options.Args, env, w.log)
	}
	own, err := w.launcher.env()
	if err != nil {
		return nil, err
	}
	return fleet.Start(w.options.Program, w.options.Args, append(env, own...), w.log, w.launcher.file)
}

// drawFaults are those of the next process.
func (w *world) drawFaults() faults.Faults {
	f := faults.Faults{WallStep: w.wall, Folder: []faults.Folder{
		{Call: statefs.CallWrite, Name: "spool", Errno: syscall.EIO, After: w.rng.Intn(300), While: w.diskFails()},
		{Call: statefs.CallTruncate, Name: "spool", Errno: syscall.EIO, While: w.diskFails() + "-to-cut"},
		{Call: statefs.CallWrite, Name: "memory.new", Errno: syscall.ENOSPC, While: w.diskFails()},
	}}
	if w.errno {
		for i, call := range []reactor.SocketCall{
			reactor.CallConnect, reactor.CallAccept, reactor.CallRead,
			reactor.CallWrite, reactor.CallPoll,
		} {
			errnos := map[reactor.SocketCall][]syscall.Errno{
				reactor.CallConnect: {
					syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.EINTR,
					syscall.EHOSTUNREACH,
				},
				reactor.CallAccept: {syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EINTR},
				reactor.CallRead:   {syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS},
				reactor.CallWrite:  {0, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, 0},
				reactor.CallPoll:   {syscall.ENOMEM, syscall.ENOSPC},
			}[call]
			after := w.rng.Intn(200)
			if call == reactor.CallRead {
				after = 1 << 20 // what has come is read before the error
			}
			f.Sockets = append(f.Sockets, faults.Socket{
				Call: call, Errno: errnos[w.rng.Intn(len(errnos))], After: after,
				First: 5 + w.rng.Intn(20), Count: 1 + w.rng.Intn(3), Every: 23 + 10*i + w.rng.Intn(40),
			})
		}
	}
	return f
}

// start starts a process and waits until it answers PING, in the background.
func (w *world) start() error {
	f := w.drawFaults()
	p, err := w.launch(f)
	if err != nil {
		return err
	}
	w.proc, w.expected = p, false
	w.judge.recordStart()
	began := time.Now()
	for !w.pings() {
		if time.Since(began) > readyDue {
			w.judge.Violate("ready: not within %v", readyDue)
			return nil
		}
		if w.crashed() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.judge.recordReady()
	w.act("ready after %v", time.Since(began).Round(time.Millisecond))
	return nil
}

// crashed tells whether the process has ended with nobody asking for it, and books it.
func (w *world) crashed() bool {
	select {
	case <-w.proc.Done():
		if !w.expected {
			w.expected = true
			w.judge.Violate("crash: the process ended by itself\n%s", w.tail())
		}
		return true
	default:
		return false
	}
}

// tail is the end of the log.
func (w *world) tail() string {
	raw, _ := os.ReadFile(w.log.Name())
	lines := bytes.Split(raw, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-12):], []byte("\n")))
}

func (w *world) pings() bool {
	c, err := net.DialTimeout("tcp", w.listen, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(answerWait))
	_, _ = io.WriteString(c, command("PING"))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line == pong
}

// kill ends the process as a crash, and starts the next one.
func (w *world) kill() error {
	w.act("SIGKILL")
	w.judge.recordStop()
	w.expected = true
	w.proc.Kill()
	time.Sleep(killToStart)
	return w.start()
}

// restart is a planned one: SIGTERM, twice in some, or behind a SIGHUP, and SIGKILL at the page's earliest.
func (w *world) restart() error {
	n := w.rng.Intn(4)
	w.act("SIGTERM, form %d", n)
	w.judge.recordStop()
	w.expected = true
	began := time.Now()
	_ = w.proc.Signal(syscall.SIGTERM)
	switch n {
	case 1:
		_ = w.proc.Signal(syscall.SIGTERM)
	case 2:
		_ = w.proc.Signal(syscall.SIGHUP)
	case 3:
		time.Sleep(time.Duration(w.rng.Intn(3000)) * time.Millisecond)
		_ = w.proc.Signal(syscall.SIGTERM)
	}
	select {
	case <-w.proc.Done():
	case <-time.After(termToKill - time.Since(began)):
		w.act("still there at the kill")
	}
	w.proc.Kill()
	time.Sleep(killToStart)
	return w.start()
}

// reload moves discovery, several times in a row in some.
func (w *world) reload() error {
	for n := 1 + w.rng.Intn(3); n > 0; n-- {
		addr, err := w.discovery.agent()
		if err != nil {
			return err
		}
		if err := w.configure(addr); err != nil {
			return err
		}
		w.discovery.recordReload()
		w.act("SIGHUP")
		_ = w.proc.Signal(syscall.SIGHUP)
		time.Sleep(time.Duration(w.rng.Intn(300)) * time.Millisecond)
	}
	return nil
}

// add lists a new endpoint.
func (w *world) add(dest int64) error {
	w.named++
	e, err := newEndpoint(fmt.Sprintf("e%d", w.named), dest, grace, w.judge,
		rand.New(rand.NewSource(w.options.Seed*1000+int64(w.named))))
	if err != nil {
		return err
	}
	w.endpoints = append(w.endpoints, e)
	w.discovery.update(w.host(e, healthActive), e)
	return nil
}

func (w *world) host(e *endpoint, health string) config.Host {
	return config.Host{Host: e.name, Dial: e.dial(), Site: "a", Class: "k", Block: e.dest, Health: health, Share: 1}
}

// replace drains an endpoint, in some lets it go at once, and lists another in its place.
func (w *world) replace() error {
	i := w.rng.Intn(len(w.endpoints))
	e := w.endpoints[i]
	w.act("%s of %d is replaced", e.name, e.dest)
	if err := w.add(e.dest); err != nil {
		return err
	}
	w.endpoints = append(w.endpoints[:i:i], w.endpoints[i+1:]...)
	health := []string{healthLeaving, healthLeft}[w.rng.Intn(2)]
	w.discovery.update(w.host(e, health), e)
	time.AfterFunc(9*time.Second, func() {
		if health == healthLeaving {
			w.discovery.update(w.host(e, healthLeft), e)
		}
		e.close()
	})
	return nil
}

// crowd fills descriptors with clients that say nothing, and in some with bad ones.
func (w *world) crowd() {
	n := 50 + w.rng.Intn(2*w.sockets)
	w.act("a crowd of %d", n)
	w.judge.mu.Lock()
	w.judge.floodUntil = time.Now().Add(time.Duration(n)*2*time.Millisecond + badClientDue)
	w.judge.mu.Unlock()
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		text := badText[w.rng.Intn(len(badText))]
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			w.bad(text)
		}()
	}
}

// diskTrouble lets writes to the folder fail for a while; in some the cut behind them too.
func (w *world) diskTrouble() {
	d := []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[w.rng.Intn(3)]
	names := []string{w.diskFails()}
	if w.rng.Intn(2) == 0 {
		names = append(names, w.diskFails()+"-to-cut")
	}
	w.act("the folder fails for %v, the cuts too: %v", d, len(names) == 2)
	for _, name := range names {
		_ = os.WriteFile(name, nil, 0o600)
		time.AfterFunc(d, func() { _ = os.Remove(name) })
	}
}
