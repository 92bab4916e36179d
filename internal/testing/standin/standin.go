// Package standin starts senders for the tests of the fronts, and stops them without a graceful shutdown.
package standin

import (
	"context"
	"crypto/tls"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/metrics"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/reactor"
	"brackendale/scheduler"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// Long is the time limit of waits; it only fails a test that hangs.
const Long = 20 * time.Second

// reactorMemory is the buffer memory of a sender's reactor, in bytes.
const reactorMemory = 8 << 20

// Settings returns a small deployment with a class of each idempotency and one kind of destination.
func Settings() (s scheduler.Settings) {
	s.Senders, s.TickUs, s.Discovery, s.CapacityHints, s.MachineTypes = 1, 1000, "pushed", "silent", []string{"k"}
	for _, class := range [][2]string{{"safe", "repeatable"}, {"key", "by_key"}, {"once", "once"}} {
		s.Classes = append(s.Classes, scheduler.Class{
			Name: class[0], Idempotency: scheduler.Idempotency(class[1]), KeyScope: "all",
			LatencyObjectiveUs: 2e6, DeadlineUs: 60e6, KeyWindowUs: 60e6, PriorityWeight: 1,
		})
	}
	s.Calls.EndpointLimits, s.Calls.MessagesPerCall, s.Calls.ConcurrentCalls = []bool{false}, []int{3}, 8
	s.Limits.MaxMessages, s.Limits.MaxAttempts, s.Limits.CanSendRetryAfter, s.Limits.MaxRetryAfterUs = 100, 8, true, 3e6
	s.Limits.ConnectTimeoutUs, s.Limits.KeepAliveUs, s.Limits.StreamsPerConnection = 1500e3, 5e6, 1
	s.Rules.OverloadWindowUs, s.Rules.SlowStartInitialShare, s.Rules.OverloadMultiple, s.Rules.SlowStartUs = 2e6,
		0.2, 2, 1e6
	return s
}

// Start starts one incarnation of a sender in dir. join adds its fronts and returns the accept function
// of the one that listens, at addr. kill ends the incarnation without a graceful shutdown.
func Start(t *testing.T, dir string, join func(*sender.Sender, *reactor.Reactor) func(*reactor.Conn) reactor.Handler) (
	addr string, kill func(),
) {
	t.Helper()
	return StartWith(t, dir, Settings(), 2<<20, nil, join)
}

// StartWith is Start with the caller's settings and disk limit in bytes, and under TLS if secure is not nil.
func StartWith(t testing.TB, dir string, set scheduler.Settings, disk int64, secure *tls.Config,
	join func(*sender.Sender, *reactor.Reactor) func(*reactor.Conn) reactor.Handler,
) (addr string, kill func()) {
	t.Helper()
	eventLoop := loop.New()
	var classes []string
	for _, class := range set.Classes {
		classes = append(classes, class.Name)
	}
	core, err := sender.New(sender.Options{
		Settings: set, Metrics: metrics.New(classes), StateDir: dir, DiskBytes: disk,
		Log: zerolog.Nop(), RunOnFronts: eventLoop.Post, KeepSnapshot: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	react, err := reactor.New(eventLoop, reactorMemory)
	if err != nil {
		t.Fatal(err)
	}
	var ln *reactor.Listener
	if accept := join(core, react); secure != nil {
		ln, err = react.ListenTLS("tcp", "127.0.0.1:0", secure, accept)
	} else {
		ln, err = react.Listen("tcp", "127.0.0.1:0", nil, accept)
	}
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go eventLoop.Run(ctx)
	go func() { done <- core.Run(ctx) }()
	var once sync.Once
	kill = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
			if count := core.Violations(); count > 0 {
				t.Errorf("the guard has found %d violations", count)
			}
			_ = ln.Close()
			react.Stop()
		})
	}
	t.Cleanup(kill)
	return ln.Addr().String(), kill
}

// ExpectMetric fails the test unless the sender's metrics contain the line.
func ExpectMetric(t testing.TB, core *sender.Sender, line string) {
	t.Helper()
	var text strings.Builder
	if err := core.WriteMetrics(&text); err != nil || !strings.Contains(text.String(), "\n"+line+"\n") {
		t.Errorf("no line %q in the metrics, error %v\n%s", line, err, &text)
	}
}
