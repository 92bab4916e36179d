package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/config"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/platform"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// serve starts a sender that accepts up to maxClients clients, and an endpoint that delivers every message.
func serve(t *testing.T, proto Proto, maxClients int) string {
	t.Helper()
	partner, err := startPartner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = partner.Close() })
	addr, _ := standin.Start(t, t.TempDir(),
		func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			connectionLimit := conntable.NewSharedLimit(maxClients)
			core.AddEgress(platform.Proto, platform.NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(50)))
			core.UpdateRoutes("whole", platform.Routes(config.EndpointList{Hosts: []config.Host{{
				Host: "p", Dial: partner.Addr().String(), Class: "k",
				Block: 7, Health: "active",
			}}}))
			if proto == RESP {
				in := platform.NewIngress(core, r, partner.Addr().String(),
					connectionLimit.NewTable(conntable.Limits{MaxConns: maxClients, PressureShare: 1}), true)
				core.AddIngress(platform.Front, in)
				return in.Accept
			}
			in := amqpfront.NewIngress(core, r, amqpfront.Options{Policy: access.OpenPolicy("messages"), Channels: 16},
				connectionLimit.NewTable(amqpfront.Limits(maxClients)))
			return in.Accept
		})
	return addr
}

func plan(proto Proto, addr string, steps ...int) Plan {
	return Plan{
		Proto: proto, Addr: addr, Pid: os.Getpid(), Sources: Sources(3), Steps: steps, Each: 400 * time.Millisecond,
		Beat: 2 * time.Second, Ping: 200 * time.Millisecond, AtOnce: 8, Storms: true,
		Active: Active{
			Proto: proto, Addr: addr, Rate: 50, Clients: 4, Dest: 7, Class: "safe", Exchange: "messages",
			Body: 20,
		},
	}
}

// Every row of the report must have the requested number of idle connections and completed active messages, also while
// all clients ping or half of them reconnect. The report must be written as a table and as a plot.
func TestRun(t *testing.T) {
	for _, proto := range []Proto{AMQP, RESP} {
		t.Run(string(proto), func(t *testing.T) {
			rep, err := Run(context.Background(), plan(proto, serve(t, proto, 100), 0, 30))
			if err != nil || len(rep.Steps) != 4 {
				t.Fatal(err, rep.Steps)
			}
			for i, step := range rep.Steps {
				if step.Accepted.Count == 0 || step.Lost > 0 || step.Failed > 0 || step.Rejected > 0 ||
					step.RSS == 0 || (step.Idle == 30) != (i > 0) ||
					proto == AMQP && step.Answered.Count == 0 || step.Accepted.P50 > step.Accepted.P99 ||
					step.Accepted.P99 > step.Accepted.Max {
					t.Errorf("row %d: %+v", i, step)
				}
			}
			if rep.Steps[1].Opened != 30 || rep.Steps[2].HeartbeatsSent < 30 {
				t.Errorf("%+v", rep.Steps[1:])
			}
			var table bytes.Buffer
			file := filepath.Join(t.TempDir(), "knee.png")
			if err := errors.Join(rep.Table(&table), rep.Plot(file)); err != nil ||
				!strings.Contains(table.String(), "half reset and back") {
				t.Error(err, table.String())
			}
			if raw, err := os.ReadFile(file); err != nil || !bytes.HasPrefix(raw, []byte("\x89PNG")) {
				t.Error(err)
			}
		})
	}
}

// When the sender accepts fewer connections than requested, the error must contain the sender's own reply.
func TestTooFewConnections(t *testing.T) {
	p := plan(AMQP, serve(t, AMQP, 10), 40)
	p.Active.Clients, p.Limit = 1, 300*time.Millisecond
	if _, err := Run(context.Background(), p); !errors.Is(err, errTooFewConnections) ||
		!strings.Contains(err.Error(), "506") {
		t.Fatal(err)
	}
}

// A worker must wait for its parent before each step, and the reports of several workers must be merged from their
// histograms: percentiles cannot be averaged.
func TestMergeWorkerReports(t *testing.T) {
	toWorker, in := io.Pipe()
	out, fromWorker := io.Pipe()
	done := make(chan error, 1)
	go func() { done <- Worker(context.Background(), toWorker, fromWorker); _ = fromWorker.Close() }()
	p := plan(AMQP, serve(t, AMQP, 100), 0, 10)
	p.Storms = false
	if err := json.NewEncoder(in).Encode(p); err != nil {
		t.Fatal(err)
	}
	var rep *Report
	ready := 0
	for dec := json.NewDecoder(out); rep == nil; {
		var m message
		if err := dec.Decode(&m); err != nil {
			t.Fatal(err, <-done)
		}
		if rep = m.Report; m.Ready {
			ready++
			if _, err := io.WriteString(in, "\n"); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := <-done; err != nil || ready != 3 {
		t.Fatal(err, ready)
	}
	other := *rep
	other.Steps = append([]Step(nil), rep.Steps...)
	slow := hdrhistogram.New(1, maxLatency, 3)
	for range 1000 {
		_ = slow.RecordValue(5_000_000)
	}
	raw, err := slow.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		t.Fatal(err)
	}
	other.Steps[1].AcceptedHist = raw
	both, err := Senders{Plan: p}.merge([]*Report{rep, &other})
	if err != nil || both.Steps[1].Accepted.Count != rep.Steps[1].Accepted.Count+1000 ||
		both.Steps[1].Accepted.P50 < 4900 || both.Knee != 10 {
		t.Fatalf("%v %+v", err, both.Steps)
	}
}

// A client that records late changed a step's histograms after its count was taken: the merged counts did not match.
func TestLateRecordInAFinishedStep(t *testing.T) {
	seen, step := newTally(), &Step{}
	seen.update(func() { seen.record(seen.accepted, time.Now()) })
	now := time.Now()
	step.record(sample{at: now.Add(-time.Second)}, sample{at: now}, seen)
	seen.update(func() { seen.record(seen.accepted, time.Now()) })
	if count := step.accepted.TotalCount(); count != 1 || step.Accepted.Count != 1 {
		t.Errorf("%d recorded in the step's histogram, %d counted, want 1 and 1", count, step.Accepted.Count)
	}
}
