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
	"brackendale/internal/eventlog"
	"brackendale/internal/net/reactor"
	"brackendale/internal/settings"
	"brackendale/internal/statefs"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"
)

// Options are the settings of one run.
type Options struct {
	Seed    int64
	Program string   // path of the sender's executable
	Args    []string // arguments with which it serves
	Env     []string
	Dir     string // for its state folder, configuration and log
	Length  time.Duration

	// Upgrades: a launcher owns the listening socket, which the processes inherit. The faults include upgrades in quick
	// succession, a socket that is returned to blocking mode, and many clients that never complete a command.
	Upgrades bool

	// KillPointEnv is the environment variable with the failpoint at which a process has to kill itself. If it is set,
	// half of the upgrade faults are new processes that are killed in their start.
	KillPointEnv string

	// Strays: endpoints and the agent write answers that belong to no request, of these kinds.
	Strays []strayKind
	// OnlyStrays: no other fault is injected, and the endpoints are busy.
	OnlyStrays bool

	// Links are the faults of the connections between the sender and its peers; nil: they have none.
	Links *LinkOptions
	// Quiet: no fault is injected but those of Links.
	Quiet bool

	// The number of destinations, with two endpoints each, and of senders that share them, in place of the defaults.
	Destinations int
	Senders      int
}

// Report is the result of one run.
type Report struct {
	Seed       int64
	Actions    []string // injected faults and other actions, with their times
	Counts     map[string]int
	Violations []string
	Notes      []string // what looks like a violation and is none
	Timelines  string   // of the first messages with violations, by the sender's own log

	involved []string // the messages with violations
}

// simulation is the state of one run.
type simulation struct {
	options       Options
	judge         *Judge
	discovery     *discovery
	rng           *rand.Rand // for the choice of faults
	listen        string
	endpoints     []*endpoint
	endpointCount int
	proc          *fleet.Proc
	log           *os.File
	actions       []string
	expected      bool         // the end of the process is expected
	ports         *fleet.Ports // of everything but what callers connect from
	sockets       int
	wallStep      time.Duration // wall clock offset of processes started from now on
	socketFaults  bool          // some socket calls of the processes fail
	launcher      *launcher     // nil: each process opens its own listening socket
	links         *links        // nil: all connections are direct
}

// The deployment has one class of each idempotency, three destinations with one to three endpoints each, and calls
// of up to two messages.
const (
	drainGrace = 2 * time.Second
	keyWindow  = 4 * time.Second
)

var classes = []scheduler.Class{
	{Name: "safe", Idempotency: "repeatable", LatencyObjectiveUs: 1.5e6, DeadlineUs: 5e6, PriorityWeight: 1},
	{
		Name: "key", Idempotency: "by_key", KeyScope: "all", LatencyObjectiveUs: 2e6, DeadlineUs: 8e6,
		KeyWindowUs: keyWindow.Microseconds(), PriorityWeight: 2,
	},
	{Name: "charge", Idempotency: "once", LatencyObjectiveUs: 2e6, DeadlineUs: 9e6, PriorityWeight: 4},
}

// wireSettings returns the settings of the sender under test in the form of the configuration file.
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
	s.Rules.DrainWithinUs, s.Rules.AnswerMarginUs = drainGrace.Microseconds(), 20e3
	return s
}

// newMessage draws a message for a client.
func (s *simulation) newMessage(id string, rng *rand.Rand) *message {
	class := classes[rng.Intn(len(classes))]
	deadline := time.Duration(class.DeadlineUs) * time.Microsecond
	if rng.Intn(4) == 0 { // a short deadline
		deadline = time.Duration(30+rng.Intn(1500)) * time.Millisecond
	}
	if fixed := s.links.deadline(); fixed > 0 {
		deadline = fixed
	}
	msg := &message{
		id: fmt.Sprintf("%x-%s", s.options.Seed, id), class: class.Name,
		dest: int64(1 + rng.Intn(s.destinations())), deadline: time.Now().Add(deadline),
	}
	msg.body = fmt.Sprintf("body of %s\r\n", msg.id) + s.links.filling(rng)
	if class.Idempotency == scheduler.IdempotentByKey {
		msg.key = "k" + msg.id
	}
	return msg
}

// defaultDestinations is the number of destinations if Options does not set it.
const defaultDestinations = 3

func (s *simulation) destinations() int { return cmp.Or(s.options.Destinations, defaultDestinations) }

// recordAction records an injected fault or another action for the report.
func (s *simulation) recordAction(format string, args ...any) {
	s.actions = append(s.actions, fmt.Sprintf("%.3f ", time.Since(s.judge.start).Seconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) path(name string) string { return filepath.Join(s.options.Dir, name) }

// diskFaultFile returns the path of a file that exists while writes to the journal fail.
func (s *simulation) diskFaultFile() string { return s.path("disk-fails") }

// configure replaces the configuration file; addr is the discovery agent's.
func (s *simulation) configure(addr string) error {
	raw, err := json.Marshal(map[string]any{
		"name": "n1", "listen": s.listen, "discovery": addr, "seed": fmt.Sprintf("%x", s.rng.Int63()),
		"limits": config.Limits{Cores: 1, MemoryMB: 64, Sockets: s.sockets, DiskMB: 1}, "known": s.discovery.currentList(),
		"settings": wireSettings(max(1, s.options.Senders)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.path("next.json"), raw, 0o600); err != nil {
		return err
	}
	return os.Rename(s.path("next.json"), s.path("config.json"))
}

// launch starts a process.
func (s *simulation) launch(injected faults.Faults, extraEnv ...string) (*fleet.Proc, error) {
	env := []string{"LB_CONFIG=" + s.path("config.json"), "LB_STATE=" + s.path("state"), injected.Env()}
	env = append(append(env, s.options.Env...), extraEnv...)
	if s.links != nil {
		env = append(env, "LB_EVENTS="+eventlog.Calls.String())
	}
	if s.launcher == nil {
		return fleet.Start(s.options.Program, s.options.Args, env, s.logWriter())
	}
	own, err := s.launcher.env()
	if err != nil {
		return nil, err
	}
	return fleet.Start(s.options.Program, s.options.Args, append(env, own...), s.logWriter(), s.launcher.file)
}

// drawFaults draws the system call faults of the next process.
func (s *simulation) drawFaults() faults.Faults {
	drawn := faults.Faults{WallStep: s.wallStep, Folder: []faults.Folder{
		{Call: statefs.CallWrite, Name: "spool", Errno: syscall.EIO, After: s.rng.Intn(300), While: s.diskFaultFile()},
		{Call: statefs.CallTruncate, Name: "spool", Errno: syscall.EIO, While: s.diskFaultFile() + "-to-cut"},
		{Call: statefs.CallWrite, Name: "memory.new", Errno: syscall.ENOSPC, While: s.diskFaultFile()},
	}}
	if s.socketFaults {
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
			after := s.rng.Intn(200)
			if call == reactor.CallRead {
				after = 1 << 20 // data that has arrived is read before the error
			}
			drawn.Sockets = append(drawn.Sockets, faults.Socket{
				Call: call, Errno: errnos[s.rng.Intn(len(errnos))], After: after,
				First: 5 + s.rng.Intn(20), Count: 1 + s.rng.Intn(3), Every: 23 + 10*i + s.rng.Intn(40),
			})
		}
	}
	return drawn
}

// start starts a process and waits until it replies to PING.
func (s *simulation) start() error {
	injected := s.drawFaults()
	process, err := s.launch(injected)
	if err != nil {
		return err
	}
	s.proc, s.expected = process, false
	s.judge.recordStart()
	startTime := time.Now()
	for !s.repliesToPing() {
		if time.Since(startTime) > readyTimeout {
			s.judge.Violate("ready: not within %v", readyTimeout)
			return nil
		}
		if s.crashed() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.judge.recordReady()
	s.recordAction("ready after %v", time.Since(startTime).Round(time.Millisecond))
	return nil
}

// crashed reports whether the process has ended, and records a violation if that was not expected.
func (s *simulation) crashed() bool {
	select {
	case <-s.proc.Done():
		if !s.expected {
			s.expected = true
			s.judge.Violate("crash: the process ended by itself\n%s", s.tail())
		}
		return true
	default:
		return false
	}
}

// tail returns the last lines of the log.
func (s *simulation) tail() string {
	raw, _ := os.ReadFile(s.log.Name())
	lines := bytes.Split(raw, []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-12):], []byte("\n")))
}

func (s *simulation) repliesToPing() bool {
	conn, err := net.DialTimeout("tcp", s.listen, 100*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(replyTimeout))
	_, _ = io.WriteString(conn, encodeCommand("PING"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == pong
}

// kill kills the process and starts the next one.
func (s *simulation) kill() error {
	s.recordAction("SIGKILL")
	s.judge.recordStop()
	s.expected = true
	s.proc.Kill()
	time.Sleep(killToStart)
	return s.start()
}

// gracefulRestart restarts the process with SIGTERM, in random forms with a second SIGTERM or a SIGHUP after it, and
// SIGKILL after termToKill, the shortest time that the protocol allows.
func (s *simulation) gracefulRestart() error {
	form := s.rng.Intn(4)
	s.recordAction("SIGTERM, form %d", form)
	s.judge.recordStop()
	s.expected = true
	startTime := time.Now()
	_ = s.proc.Signal(syscall.SIGTERM)
	switch form {
	case 1:
		_ = s.proc.Signal(syscall.SIGTERM)
	case 2:
		_ = s.proc.Signal(syscall.SIGHUP)
	case 3:
		time.Sleep(time.Duration(s.rng.Intn(3000)) * time.Millisecond)
		_ = s.proc.Signal(syscall.SIGTERM)
	}
	select {
	case <-s.proc.Done():
	case <-time.After(termToKill - time.Since(startTime)):
		s.recordAction("still there at the kill")
	}
	s.proc.Kill()
	time.Sleep(killToStart)
	return s.start()
}

// reload moves the discovery agent to a new address and sends SIGHUP, up to three times in quick succession.
func (s *simulation) reload() error {
	for count := 1 + s.rng.Intn(3); count > 0; count-- {
		addr, err := s.discovery.startAgent()
		if err != nil {
			return err
		}
		if err := s.configure(addr); err != nil {
			return err
		}
		s.discovery.recordReload()
		s.recordAction("SIGHUP")
		_ = s.proc.Signal(syscall.SIGHUP)
		time.Sleep(time.Duration(s.rng.Intn(300)) * time.Millisecond)
	}
	return nil
}

// addEndpoint adds a new endpoint to the list.
func (s *simulation) addEndpoint(dest int64) error {
	s.endpointCount++
	name, seed := fmt.Sprintf("e%d", s.endpointCount), s.options.Seed*1000+int64(s.endpointCount)
	rng := rand.New(rand.NewSource(seed))
	added, err := newEndpoint(name, dest, drainGrace, s.judge, rng, s.strays(name, seed), s.ports)
	if err != nil {
		return err
	}
	if s.options.OnlyStrays {
		added.setBehavior(busy)
	}
	if s.options.Quiet {
		added.setBehavior(flaky)
	}
	if err := s.links.relayEndpoint(added, seed); err != nil {
		return err
	}
	s.endpoints = append(s.endpoints, added)
	s.discovery.update(s.hostEntry(added, healthActive), added)
	return nil
}

// strays returns the plan of a peer's stray answers, or nil if it writes none.
func (s *simulation) strays(peer string, seed int64) *strayPlan {
	if len(s.options.Strays) == 0 {
		return nil
	}
	return newStrayPlan(s.judge, peer, seed, s.options.Strays)
}

func (s *simulation) hostEntry(e *endpoint, health string) config.Host {
	return config.Host{Host: e.name, Dial: e.dial(), Site: "a", Class: "k", Block: e.dest, Health: health, Share: 1}
}

// replaceEndpoint drains an endpoint, or removes it from the list at once, and adds another one in its place.
func (s *simulation) replaceEndpoint() error {
	i := s.rng.Intn(len(s.endpoints))
	replaced := s.endpoints[i]
	s.recordAction("%s of %d is replaced", replaced.name, replaced.dest)
	if err := s.addEndpoint(replaced.dest); err != nil {
		return err
	}
	s.endpoints = append(s.endpoints[:i:i], s.endpoints[i+1:]...)
	health := []string{healthLeaving, healthLeft}[s.rng.Intn(2)]
	s.discovery.update(s.hostEntry(replaced, health), replaced)
	time.AfterFunc(9*time.Second, func() {
		if health == healthLeaving {
			s.discovery.update(s.hostEntry(replaced, healthLeft), replaced)
		}
		replaced.close()
	})
	return nil
}

// connectionFlood opens many connections of bad clients, some of which send nothing, to exhaust descriptors.
func (s *simulation) connectionFlood() {
	count := 50 + s.rng.Intn(2*s.sockets)
	s.recordAction("a crowd of %d", count)
	s.judge.mu.Lock()
	s.judge.floodUntil = time.Now().Add(time.Duration(count)*2*time.Millisecond + badClientTimeout)
	s.judge.mu.Unlock()
	var pending sync.WaitGroup
	for i := range count {
		pending.Add(1)
		input := badInputs[s.rng.Intn(len(badInputs))]
		go func() {
			defer pending.Done()
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			s.badClient(input)
		}()
	}
}

// diskFault makes writes to the state folder fail for a random time, and at random also the truncation after them.
func (s *simulation) diskFault() {
	duration := []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[s.rng.Intn(3)]
	names := []string{s.diskFaultFile()}
	if s.rng.Intn(2) == 0 {
		names = append(names, s.diskFaultFile()+"-to-cut")
	}
	s.recordAction("the folder fails for %v, the cuts too: %v", duration, len(names) == 2)
	for _, name := range names {
		_ = os.WriteFile(name, nil, 0o600)
		time.AfterFunc(duration, func() { _ = os.Remove(name) })
	}
}
