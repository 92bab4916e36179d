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

// serve begins a sender with room for most clients, and a partner that delivers all.
func serve(t *testing.T, proto Proto, most int) string {
	t.Helper()
	partner, err := startPartner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = partner.Close() })
	addr, _ := standin.Start(t, t.TempDir(),
		func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			room := conntable.NewSharedLimit(most)
			core.AddEgress(platform.Proto, platform.NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(50)))
			core.UpdateRoutes("whole", platform.Routes(config.EndpointList{Hosts: []config.Host{{
				Host: "p", Dial: partner.Addr().String(), Class: "k",
				Block: 7, Health: "active",
			}}}))
			if proto == RESP {
				in := platform.NewIngress(core, r, partner.Addr().String(),
					room.NewTable(conntable.Limits{MaxConns: most, PressureShare: 1}), true)
				core.AddIngress(platform.Front, in)
				return in.Accept
			}
			in := amqpfront.NewIngress(core, r, amqpfront.Options{Policy: access.OpenPolicy("messages"), Channels: 16},
				room.NewTable(amqpfront.Limits(most)))
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

// The tool's rows say what is there: as many idle connections as asked for, active messages answered on top, storms
// survived; and the figures go into a table and a picture.
func TestRun(t *testing.T) {
	for _, proto := range []Proto{AMQP, RESP} {
		t.Run(string(proto), func(t *testing.T) {
			rep, err := Run(context.Background(), plan(proto, serve(t, proto, 100), 0, 30))
			if err != nil || len(rep.Steps) != 4 {
				t.Fatal(err, rep.Steps)
			}
			for i, s := range rep.Steps {
				if s.Taken.Count == 0 || s.Lost > 0 || s.Failed > 0 || s.Refused > 0 || s.RSS == 0 || (s.Idle == 30) != (i > 0) ||
					proto == AMQP && s.Ended.Count == 0 || s.Taken.P50 > s.Taken.P99 || s.Taken.P99 > s.Taken.Max {
					t.Errorf("row %d: %+v", i, s)
				}
			}
			if rep.Steps[1].Opened != 30 || rep.Steps[2].Beats < 30 {
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

// A sender that does not take as many as asked for is told with what it said.
func TestTooFewPlaces(t *testing.T) {
	p := plan(AMQP, serve(t, AMQP, 10), 40)
	p.Active.Clients, p.Limit = 1, 300*time.Millisecond
	if _, err := Run(context.Background(), p); !errors.Is(err, errShort) || !strings.Contains(err.Error(), "506") {
		t.Fatal(err)
	}
}

// A worker keeps step with its parent, and what several say is put together from their distributions, not from their
// percentiles.
func TestWorkersTogether(t *testing.T) {
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
	other.Steps[1].TakenHist = raw
	both, err := Senders{Plan: p}.merge([]*Report{rep, &other})
	if err != nil || both.Steps[1].Taken.Count != rep.Steps[1].Taken.Count+1000 ||
		both.Steps[1].Taken.P50 < 4900 || both.Knee != 10 {
		t.Fatalf("%v %+v", err, both.Steps)
	}
}
