package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"brackendale/internal/net/loop"
	"brackendale/internal/net/reactor"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Plan configures a measurement against one sender.
type Plan struct {
	Proto   Proto         `json:"proto"`
	Addr    string        `json:"addr"`
	Socket  string        `json:"socket,omitempty"` // path of the sender's console; empty: timers are not reported
	Pid     int           `json:"pid,omitempty"`    // process ID of the sender; 0: memory and CPU time are not reported
	Sources []string      `json:"-"`
	Steps   []int         `json:"steps"`    // numbers of idle connections, measured one after another
	Each    time.Duration `json:"each_ns"`  // measuring time of each step
	Warm    time.Duration `json:"warm_ns"`  // duration of the active load before the first step
	Beat    time.Duration `json:"beat_ns"`  // requested AMQP heartbeat interval
	Ping    time.Duration `json:"ping_ns"`  // PING interval of an idle RESP client
	AtOnce  int           `json:"at_once"`  // maximum number of handshakes in progress
	Limit   time.Duration `json:"limit_ns"` // a step fails after this time without an additional connection; 0: 10 s
	// Storms adds two stages after the last step: all idle clients send at the same time, and half of them are
	// reset and connect again.
	Storms bool   `json:"storms"`
	Active Active `json:"active"`

	// Gate, if not nil, is called before each step is measured, once its connections are open, and at
	// the end. Its error ends the measurement.
	Gate func() error `json:"-"`
	// Progress, if not nil, is called with the number of open connections and the target.
	Progress func(open, want int) `json:"-"`
}

// stage is one step of a plan with the action that runs while it is measured.
type stage struct {
	name    string
	idle    int
	perform func(*idleClients) error
}

// stages returns the plan's steps, followed by the two stages of Storms if it is set.
func (p *Plan) stages() (list []stage) {
	for _, n := range p.Steps {
		list = append(list, stage{idle: n})
	}
	if n := list[len(list)-1].idle; p.Storms {
		list = append(list, stage{"all speak at once", n, func(i *idleClients) error { i.pingAll(); return nil }},
			stage{"half reset and back", n, func(i *idleClients) error {
				i.resetHalf()
				return i.grow(n, 10*time.Second, func(int) {})
			}})
	}
	return list
}

// Step holds the results of one step.
type Step struct {
	Name                 string  `json:"name,omitempty"`
	Idle                 int     `json:"idle"`
	Opened               int     `json:"opened"`     // connections opened for this step
	OpenSeconds          float64 `json:"open_s"`     // seconds that opening them took
	ConnectionsPerSecond float64 `json:"accepted_s"` // connections opened per second
	Accepted             Latency `json:"taken"`      // until the sender has accepted a message
	Answered             Latency `json:"ended"`      // until its final answer; AMQP only
	Rejected             int64   `json:"refused"`
	Failed               int64   `json:"failed"`
	Missed               int64   `json:"missed"`       // not sent because all clients were busy
	Lost                 int     `json:"lost"`         // idle connections that ended unexpectedly
	TimersFired          int     `json:"timers_fired"` // timers that fired in the sender during the step
	HeartbeatsSent       int     `json:"beats"`        // heartbeats and PINGs that idle clients sent during the step
	RSS                  int64   `json:"rss_bytes"`    // resident memory of the sender after the step
	BytesPerConnection   float64 `json:"bytes_each"`   // RSS above that of the first step, per additional idle connection
	CPU                  float64 `json:"cpu"`          // CPU use during the step, as a share of one core
	AcceptedHist         []byte  `json:"taken_hist,omitempty"`
	AnsweredHist         []byte  `json:"ended_hist,omitempty"`

	accepted, answered *hdrhistogram.Histogram
}

// Report holds the results of a measurement.
type Report struct {
	Plan  Plan   `json:"plan"`
	Cores string `json:"cores"`
	Knee  int    `json:"knee"` // idle connections from which p99 of active messages exceeds kneeRatio; 0: not reached
	Steps []Step `json:"steps"`
}

// kneeRatio is the factor over the p99 of the first step above which a step counts as the knee.
const kneeRatio = 1.5

// reactorMemory is the buffer memory of the load tool's own reactor, in bytes.
const reactorMemory = 64 << 20

// Run runs the plan. The connections stay open from step to step. On an error it also returns the steps measured
// so far.
func Run(ctx context.Context, plan Plan) (Report, error) {
	rep := Report{Plan: plan, Cores: allowedCores(plan.Pid)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	eventLoop := loop.New()
	react, err := reactor.New(eventLoop, reactorMemory)
	if err != nil {
		return rep, fmt.Errorf("load: %w", err)
	}
	defer react.Stop()
	go eventLoop.Run(ctx)
	clients := newIdleClients(react, plan.Proto, plan.Addr, plan.Sources, plan.Beat, plan.Ping, plan.AtOnce)
	defer clients.close()
	active := plan.Active.start()
	defer active.stop()
	time.Sleep(plan.Warm)
	m := measurement{plan: plan, clients: clients, active: active}
	for _, st := range plan.stages() {
		step, err := m.step(ctx, st)
		if err != nil {
			return rep, err
		}
		if len(rep.Steps) > 0 && st.idle > rep.Steps[0].Idle {
			step.BytesPerConnection = float64(step.RSS-rep.Steps[0].RSS) / float64(st.idle-rep.Steps[0].Idle)
		}
		rep.Steps = append(rep.Steps, step)
	}
	if plan.Gate != nil { // the other workers may still be measuring
		if err := plan.Gate(); err != nil {
			return rep, fmt.Errorf("load: after the last step: %w", err)
		}
	}
	rep.findKnee()
	return rep, nil
}

// findKnee sets Knee to the first step whose p99 is over kneeRatio times that of the first.
func (rep *Report) findKnee() {
	for _, s := range rep.Steps {
		if s.Name == "" && s.Accepted.P99 > kneeRatio*rep.Steps[0].Accepted.P99 {
			rep.Knee = s.Idle
			return
		}
	}
}

// Table writes the report as a table of text.
func (rep *Report) Table(out io.Writer) error {
	_, err := fmt.Fprintf(out, "%8s %8s %8s %8s %8s %8s %8s %8s %8s %7s %7s %7s %6s\n", "idle", "taken/s", "p50 ms",
		"p99 ms", "p99.9", "max",
		"ended99", "conn/s", "B each", "cpu", "timers", "beats", "lost")
	for _, s := range rep.Steps {
		if err == nil {
			_, err = fmt.Fprintf(out, "%8d %8.0f %8.2f %8.2f %8.2f %8.2f %8.2f %8.0f %8.0f %6.0f%% %7d %7d %6d  %s\n", s.Idle,
				float64(s.Accepted.Count)/rep.Plan.Each.Seconds(), s.Accepted.P50, s.Accepted.P99, s.Accepted.P999,
				s.Accepted.Max, s.Answered.P99,
				s.ConnectionsPerSecond, s.BytesPerConnection, 100*s.CPU, s.TimersFired, s.HeartbeatsSent,
				s.Lost+int(s.Failed), s.Name)
		}
	}
	if err == nil && rep.Knee > 0 {
		_, err = fmt.Fprintf(out, "knee: at %d idle connections p99 is over %.1f times what it is at %d\n", rep.Knee,
			kneeRatio, rep.Steps[0].Idle)
	} else if err == nil {
		_, err = fmt.Fprintf(out, "knee: not reached; p99 stays under %.1f times what it is at %d\n", kneeRatio,
			rep.Steps[0].Idle)
	}
	return err
}
