package soak

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"brackendale/internal/testing/fleet"
)

// Run plays one day. The error says that it could not be played.
func Run(opt Options) (Report, error) {
	w := newWorld(opt)
	w.sockets = []int{128, 256}[w.rng.Intn(2)]
	w.errno = w.rng.Intn(2) == 0
	w.judge.clientsReset = w.errno
	if err := w.open(); err != nil {
		return Report{}, err
	}
	defer w.close()
	if err := w.play(); err != nil {
		return Report{}, err
	}
	broken, counts := w.judge.close()
	return Report{Seed: opt.Seed, Acts: w.acts, Counts: counts, Broken: broken}, nil
}

func newWorld(opt Options) *world {
	w := &world{options: opt, judge: newJudge(), rng: rand.New(rand.NewSource(opt.Seed))}
	for _, l := range classes {
		w.judge.effects[l.Name], w.judge.windows[l.Name] = l.Idempotency,
			time.Duration(l.KeyWindowUs)*time.Microsecond
	}
	w.discovery = newDiscovery(w.judge, rand.New(rand.NewSource(opt.Seed+1)))
	return w
}

// close ends all that the world runs.
func (w *world) close() {
	w.expected = true
	w.proc.Kill()
	for _, e := range w.endpoints {
		e.close()
	}
	if w.launcher != nil {
		w.launcher.close()
	}
	_ = w.log.Close()
}

// open builds the world and starts the sender.
func (w *world) open() (err error) {
	if err := os.MkdirAll(w.path("state"), 0o700); err != nil {
		return err
	}
	if w.log, err = os.Create(w.path("log")); err != nil {
		return err
	}
	if w.options.Upgrades {
		if w.launcher, err = newLauncher(w.rng.Intn(2) == 0); err != nil {
			return err
		}
		w.listen = w.launcher.addr
	} else if w.listen, err = fleet.FreePort(); err != nil {
		return err
	}
	for dest := range int64(w.destinations()) {
		n := 1 + w.rng.Intn(3)
		if w.options.Destinations > 0 {
			n = 2
		}
		for range n {
			if err := w.add(dest + 1); err != nil {
				return err
			}
		}
	}
	addr, err := w.discovery.agent()
	if err != nil {
		return err
	}
	if err := w.configure(addr); err != nil {
		return err
	}
	return w.start()
}

// crew is how many clients hand messages in.
const crew = 8

// play lets clients come and troubles happen, and then waits for all ends in quiet.
func (w *world) play() error {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.Length)
	defer cancel()
	var all sync.WaitGroup
	for n := range crew {
		c := &client{world: w, number: n, rng: rand.New(rand.NewSource(w.options.Seed*100 + int64(n)))}
		all.Add(1)
		go func() { defer all.Done(); c.run(ctx) }()
	}
	for range w.openClients() {
		all.Add(1)
		go func() { defer all.Done(); w.pingOpenConnection(ctx) }()
	}
	for ctx.Err() == nil {
		if w.crashed() {
			break
		}
		for n := 1 + w.rng.Intn(3); n > 0; n-- { // several in one window
			if err := w.trouble(); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+w.rng.Intn(900)) * time.Millisecond):
		}
	}
	cancel()
	all.Wait()
	w.calm()
	// All deadlines, a restart's grace and the slack are over by then.
	lastDeadline := time.Duration(classes[len(classes)-1].DeadlineUs) * time.Microsecond
	time.Sleep(lastDeadline + finalAnswerSlack + 2*slack + restartGrace)
	w.crashed()
	return nil
}

// calm ends all troubles.
func (w *world) calm() {
	w.act("calm")
	_ = os.Remove(w.diskFails())
	_ = os.Remove(w.diskFails() + "-to-cut")
	w.discovery.setDown(false)
	for _, e := range w.endpoints {
		e.setBehavior(answering)
	}
}

// trouble is one, drawn.
func (w *world) trouble() error {
	if w.options.Upgrades && w.rng.Intn(3) == 0 {
		return w.upgradeTrouble()
	}
	e := w.endpoints[w.rng.Intn(len(w.endpoints))]
	switch n := w.rng.Intn(20); n {
	case 0, 1, 2, 3, 4, 5:
		m := behavior(w.rng.Intn(int(behaviors)))
		w.act("%s of %d: mood %d", e.name, e.dest, m)
		e.setBehavior(m)
		time.AfterFunc(time.Duration(500+w.rng.Intn(4000))*time.Millisecond, func() { e.setBehavior(answering) })
	case 6:
		m := behavior(w.rng.Intn(int(behaviors)))
		w.act("all of %d: mood %d", e.dest, m)
		for _, o := range w.endpoints {
			if o.dest == e.dest {
				o.setBehavior(m)
				time.AfterFunc(time.Duration(1000+w.rng.Intn(5000))*time.Millisecond, func() { o.setBehavior(answering) })
			}
		}
	case 7:
		w.act("connections to %s are reset", e.name)
		e.dropAll()
	case 8, 9:
		return w.replace()
	case 10:
		d := time.Duration(300+w.rng.Intn(5000)*(1+w.rng.Intn(3))) * time.Millisecond
		w.act("discovery is down for %v", d)
		w.discovery.setDown(true)
		time.AfterFunc(d, func() { w.discovery.setDown(false) })
	case 11:
		w.act("open watches fall silent")
		w.discovery.fallSilent()
	case 12, 13:
		return w.reload()
	case 14, 15:
		w.diskTrouble()
	case 16:
		w.crowd()
	case 17:
		return w.kill()
	case 18:
		return w.restart()
	default:
		w.wall = []time.Duration{0, time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second}[w.rng.Intn(5)]
		w.act("the wall clock of the next process is off by %v", w.wall)
	}
	return nil
}

// String is a line for the list of seeds.
func (r Report) String() string {
	verdict := "passed"
	if len(r.Broken) > 0 {
		verdict = "FAILED"
	}
	return fmt.Sprintf("seed %d: %s, %d acts, %v", r.Seed, verdict, len(r.Acts), r.Counts)
}
