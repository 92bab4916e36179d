package settingschange

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"brackendale/scheduler"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// process is one process of the sender: a core with fronts, and endpoints in place of egresses. world.mu guards it.
type process struct {
	world   *world
	number  int // in the order of the starts
	core    *sender.Sender
	before  *process // that it has replaced by an upgrade; nil: none
	classes map[string]scheduler.Class
	fronts  map[string]*front
	calls   map[*call]bool // that it has out

	dead   bool // killed: nothing of it leaves any more
	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// start makes a process with the settings and fronts of a change.
func (w *world) start(change replacement, checkpoint *sender.Checkpoint) (*process, error) {
	w.started++
	p := &process{
		world:   w,
		number:  w.started,
		classes: map[string]scheduler.Class{},
		fronts:  map[string]*front{},
		calls:   map[*call]bool{},
	}
	core, err := sender.New(sender.Options{
		Name: "model", Settings: change.settings, StateDir: w.dir, DiskBytes: diskBytes, Log: zerolog.Nop(),
		Checkpoint: checkpoint, RunOnFronts: p.runOnFronts, KeepSnapshot: true,
	})
	if err != nil {
		return nil, fmt.Errorf("starting a process: %w", err)
	}
	p.core = core
	for _, class := range change.settings.Classes {
		p.classes[class.Name] = class
	}
	for _, name := range change.fronts {
		p.addFront(name)
	}
	core.AddEgress(protocol, p)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sendEndpointList(p, change)
	return p, nil
}

const diskBytes = 4 << 20

// run starts Run.
func (p *process) run() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.ended.Go(func() { _ = p.core.Run(ctx) })
}

// addFront adds a front before Run.
func (p *process) addFront(name string) {
	p.fronts[name] = newFront(p, name)
	p.core.AddIngress(name, p.fronts[name])
}

// addFrontLater adds a front while the core runs, as a reload does.
func (p *process) addFrontLater(name string) {
	if p.fronts[name] == nil {
		added := newFront(p, name)
		p.fronts[name] = added
		p.core.Post(func() { p.core.AddIngress(name, added) })
	}
}

// runOnFronts makes calls of the core to the fronts, unless the process was killed.
func (p *process) runOnFronts(calls func()) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	if !p.dead {
		calls()
	}
}

// kill ends the process and those before it: what their calls have not written does not leave, and the results are
// lost.
func (p *process) kill() {
	if p.before != nil {
		p.before.kill()
	}
	p.world.mu.Lock()
	p.dead = true
	clear(p.calls)
	p.world.mu.Unlock()
	p.cancel()
	p.ended.Wait()
}

// stop ends the process gracefully: its calls get a time to end in.
func (p *process) stop() {
	const grace = 150 * time.Millisecond
	p.core.Stop(p.core.Now().Add(grace))
	for started := time.Now(); time.Since(started) < grace && p.busy(); time.Sleep(time.Millisecond) {
	}
	p.kill()
}

// busy reports whether the process has calls out.
func (p *process) busy() bool {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	return len(p.calls) > 0
}

// upgrade replaces the process by one with the settings and fronts of a change. It ends once its calls have.
func (p *process) upgrade(change replacement) (*process, error) {
	pause := <-p.core.Quiesce()
	pause.ReleaseJournal()
	raw, err := json.Marshal(pause.Checkpoint)
	if err != nil {
		return nil, fmt.Errorf("encoding the checkpoint: %w", err)
	}
	checkpoint := &sender.Checkpoint{}
	if err = json.Unmarshal(raw, checkpoint); err != nil {
		return nil, fmt.Errorf("decoding the checkpoint: %w", err)
	}
	next, err := p.world.start(change, checkpoint)
	if err != nil {
		return nil, err
	}
	next.before = p
	next.core.SetPredecessor(predecessor{p})
	next.run()
	pause.HandOver(successor{next})
	next.ended.Go(func() {
		for p.busy() {
			time.Sleep(time.Millisecond)
		}
		p.kill()
		next.core.PredecessorEnded()
	})
	return next, nil
}

// successor forwards what a predecessor's fronts report.
type successor struct{ process *process }

// Submit forwards a request.
func (s successor) Submit(request *sender.Request) { s.process.core.Submit(request) }

// Withdraw forwards a withdrawal.
func (s successor) Withdraw(request *sender.Request) { s.process.core.Withdraw(request) }

// Report forwards results.
func (s successor) Report(results []sender.AttemptResult) { s.process.core.ReportAttempts(results...) }

// predecessor cancels calls of the process before.
type predecessor struct{ process *process }

// Cancel cancels an attempt that has not left yet.
func (p predecessor) Cancel(id string, attempt int) {
	p.process.world.mu.Lock()
	defer p.process.world.mu.Unlock()
	p.process.Cancel(id, attempt)
}
