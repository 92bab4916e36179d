package slowstartsoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/settings"
	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"
)

// senderSettings returns the settings of each sender.
func senderSettings(senders int, advertised, ownLimits bool) settings.Settings {
	var s scheduler.Settings
	s.Senders, s.TickUs, s.Discovery, s.CapacityHints, s.MachineTypes = senders, 5000, "pushed", "silent", []string{"k"}
	s.Classes = []scheduler.Class{{
		Name: "safe", Idempotency: "repeatable", LatencyObjectiveUs: 3e6, DeadlineUs: 9e6, LateValue: 0.5, PriorityWeight: 1,
	}}
	s.Calls.EndpointLimits, s.Calls.MessagesPerCall = []bool{ownLimits}, []int{1}
	s.Calls.ConcurrentCalls, s.Calls.ValueDecay = 12, "halves"
	s.Limits.CanCancel, s.Limits.CanSendRetryAfter = true, true
	s.Limits.MaxMessages, s.Limits.MaxAttempts, s.Limits.MaxRetryAfterUs = 175, 8, 3e6
	s.Limits.ConnectTimeoutUs, s.Limits.KeepAliveUs, s.Limits.StreamsPerConnection = 1500e3, 5e6, 1
	s.Rules.SlowStartInitialShare, s.Rules.OverloadMultiple = 0.18, overloadMultiple
	s.Rules.OverloadWindowUs, s.Rules.SlowStartUs = overloadWindow.Microseconds(), 13e6
	s.Rules.DrainWithinUs, s.Rules.AnswerMarginUs = 2e6, 20e3
	if advertised {
		s.LoadReport.Mode, s.LoadReport.Fields = scheduler.ReportInAnswers, []string{"x0", "x1"}
	}
	return settings.Wire(&s)
}

// sender is one process with its files; the process may be killed and started again.
type sender struct {
	name   string
	dir    string
	listen string

	program string
	env     []string
	log     *os.File
	proc    *fleet.Proc
}

// agent is the stand-in registry: it serves the endpoint list and takes notices of final answers.
type agent struct {
	listener net.Listener

	mu      sync.Mutex
	list    config.EndpointList
	changed chan struct{} // closed when the list changes
}

func newAgent(list config.EndpointList, ports *fleet.Ports) (*agent, error) {
	listener, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	a := &agent{list: list, listener: listener, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: a, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return a, nil
}

// ServeHTTP answers a poll, a watch or a request with notices.
func (a *agent) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/v2/finals" {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.WriteHeader(http.StatusNoContent)
		return
	}
	list, changed := a.current()
	if index, err := strconv.ParseInt(request.URL.Query().Get("index"), 10, 64); err == nil && index >= list.Seq {
		waitMs, _ := strconv.Atoi(request.URL.Query().Get("wait"))
		select {
		case <-request.Context().Done():
			return
		case <-changed:
			list, _ = a.current()
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
			list = config.EndpointList{Seq: list.Seq, Hosts: []config.Host{}}
		}
	}
	_ = json.NewEncoder(writer).Encode(list)
}

// current returns the list and the channel that is closed when it changes.
func (a *agent) current() (list config.EndpointList, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list, a.changed
}

// replace replaces the endpoints of a destination.
func (a *agent) replace(destination int64, hosts []config.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	kept := slices.DeleteFunc(slices.Clone(a.list.Hosts), func(host config.Host) bool { return host.Block == destination })
	a.list = config.EndpointList{Seq: a.list.Seq + 1, Whole: true, Hosts: append(kept, hosts...)}
	close(a.changed)
	a.changed = make(chan struct{})
}

// configure writes the sender's configuration file.
func (s *sender) configure(agent *agent, seed int64, wire settings.Settings) error {
	list, _ := agent.current()
	raw, err := json.Marshal(map[string]any{
		"name": s.name, "listen": s.listen, "discovery": agent.listener.Addr().String(), "seed": fmt.Sprintf("%x", seed),
		"limits": config.Limits{Cores: 1, MemoryMB: 64, Sockets: 256, DiskMB: 4}, "known": list, "settings": wire,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.dir, "config.json"), raw, 0o600)
}

func (s *sender) start() (err error) {
	env := append([]string{
		"LB_CONFIG=" + filepath.Join(s.dir, "config.json"), "LB_STATE=" + filepath.Join(s.dir, "state"),
	}, s.env...)
	s.proc, err = fleet.Start(s.program, nil, env, s.log)
	return err
}

// upgradeOverlap is how long both processes of an upgrade run before the old one is told to end.
const (
	upgradeOverlap = 1500 * time.Millisecond
	endTimeout     = 8 * time.Second
)

// upgrade starts a successor beside the process and ends the old one as a platform does.
func (s *sender) upgrade() error {
	old := s.proc
	if err := s.start(); err != nil {
		return err
	}
	time.Sleep(upgradeOverlap)
	if ended, err := s.proc.Ended(); ended {
		return fmt.Errorf("slowstartsoak: the successor of %s ended: %w", s.name, err)
	}
	if err := old.Terminate(endTimeout); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("slowstartsoak: the old process of %s: %w", s.name, err)
	}
	return nil
}

// awaitReady waits until the sender accepts connections.
func (s *sender) awaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; {
		conn, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("slowstartsoak: %s is not ready: %w", s.name, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// client hands messages to one sender on one connection, without waiting for replies.
type client struct {
	addr, name string
	serial     int
	conn       net.Conn
	pending    sync.WaitGroup
}

// submit hands in a message. It is lost if the sender is down.
func (c *client) submit(dest int64) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, 200*time.Millisecond)
		if err != nil {
			return
		}
		c.conn = conn
		c.pending.Go(func() { _, _ = io.Copy(io.Discard, conn) })
	}
	c.serial++
	id := fmt.Sprintf("%s-%d", c.name, c.serial)
	var text strings.Builder
	text.WriteString("*5\r\n")
	for _, argument := range []string{"SUBMIT", "0", id, fmt.Sprintf("c=safe,t=x,d=9000,dest=%d", dest), "body"} {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(argument), argument)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c.conn, text.String()); err != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.pending.Wait()
}

// run hands in messages at random times until ctx ends. draw returns the time until the next message and its
// destination.
func (c *client) run(ctx context.Context, rng *rand.Rand, draw func(rng *rand.Rand) (time.Duration, int64)) {
	defer c.close()
	next := time.Now()
	for {
		wait, dest := draw(rng)
		next = next.Add(wait)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		c.submit(dest)
	}
}
