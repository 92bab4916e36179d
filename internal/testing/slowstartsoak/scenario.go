package slowstartsoak

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/testing/fleet"
)

// Outage is an outage of one destination.
type Outage struct {
	Destination int // its index
	Kind        OutageKind
	Start       time.Duration // after the warm-up
	Length      time.Duration
	ClumpShare  float64 // share of all messages that goes to the destination from clumpLead before its return
}

func (o Outage) end() time.Duration { return o.Start + o.Length }

// String returns an outage in a few words.
func (o Outage) String() string {
	return fmt.Sprintf("%d: %s from %.1f to %.1f s, clump %.2f", o.Destination+1, o.Kind, o.Start.Seconds(),
		o.end().Seconds(), o.ClumpShare)
}

// Scenario is one run: many senders that share destinations, some of which have outages.
type Scenario struct {
	Seed    int64
	Program string
	Env     []string
	Dir     string

	Senders      int
	MessageRate  float64 // per second and sender
	Destinations int
	Endpoints    int     // of each destination
	Load         float64 // demand over the capacity of each destination
	Outages      []Outage
	Advertises   bool    // answers tell the destination's limit
	Falls        bool    // a destination falls under too many calls, and so has further outages
	Refuses      bool    // destinations refuse calls above their capacity
	KilledShare  float64 // share of the senders that are killed and started again
	// UpgradedShare is the share of the senders that are upgraded: a successor starts beside the process.
	UpgradedShare float64
	RestartAfter  time.Duration // of the kills or upgrades, after the warm-up
	Moves         bool          // destinations return at other addresses
	// OwnLimits means that each endpoint has a capacity of its own, which is judged by itself.
	OwnLimits   bool
	Observation time.Duration // after the last return
}

// The times of a run.
const (
	warmUp      = 8 * time.Second
	clumpLead   = 2 * time.Second
	clumpLength = 4 * time.Second
	readyLimit  = 20 * time.Second
)

// zipfExponent is the skew of the messages over the destinations.
const zipfExponent = 0.8

// The ranges from which outages are drawn.
const (
	maxOutages       = 4
	minOutageLength  = 1200 * time.Millisecond
	outageLengthSpan = 8 * time.Second
	outageStartSpan  = 6 * time.Second
	minFlapGap       = 800 * time.Millisecond
	flapGapSpan      = 4 * time.Second
)

// Draw returns a random scenario of a soak.
func Draw(seed int64) Scenario {
	rng := rand.New(rand.NewSource(seed))
	s := Scenario{
		Seed: seed, Senders: 10 + rng.Intn(51), Destinations: 6 + rng.Intn(8), Endpoints: 1 + rng.Intn(2),
		MessageRate: []float64{3, 4, 8}[rng.Intn(3)],
		Load:        []float64{0.8, 1, 1.2, 1.2}[rng.Intn(4)],
		Advertises:  rng.Intn(4) == 0,
		Falls:       rng.Intn(2) == 0,
		Refuses:     rng.Intn(4) == 0,
		Observation: slowStartTime,
	}
	for _, destination := range rng.Perm(s.Destinations)[:2+rng.Intn(maxOutages-1)] {
		s.Outages = append(s.Outages, drawOutages(rng, destination)...)
	}
	if rng.Intn(3) == 0 {
		s.KilledShare = 1.0 / 3
		s.RestartAfter = time.Duration(rng.Int63n(int64(outageStartSpan + outageLengthSpan)))
	} else if rng.Intn(2) == 0 {
		s.UpgradedShare = 1.0 / 3
		s.RestartAfter = time.Duration(rng.Int63n(int64(outageStartSpan + outageLengthSpan)))
	}
	s.Moves = rng.Intn(3) == 0
	s.OwnLimits = rng.Intn(3) == 0
	return s
}

// drawOutages draws an outage of a destination, and at random a second one soon after its return.
func drawOutages(rng *rand.Rand, destination int) []Outage {
	draw := func(earliest, span time.Duration) Outage {
		kind := MostlyFailing // drawn more often: it is noticed the least
		if rng.Intn(5) > 1 {
			kind = OutageKind(rng.Intn(int(outageKinds)))
		}
		return Outage{
			Destination: destination, Kind: kind, Start: earliest + time.Duration(rng.Int63n(int64(span))),
			Length:     minOutageLength + time.Duration(rng.Int63n(int64(outageLengthSpan))),
			ClumpShare: []float64{0, 0.1, 0.2, 0.3}[rng.Intn(4)],
		}
	}
	outages := []Outage{draw(0, outageStartSpan)}
	if rng.Intn(4) == 0 {
		outages = append(outages, draw(outages[0].end()+minFlapGap, flapGapSpan))
	}
	return outages
}

// Report is the result of a run.
type Report struct {
	Scenario  Scenario
	Recovery  []string // one for each return
	Worst     float64  // share of the allowance in the worst window
	Falls     int      // recoveries in which the destination got more calls than it could take
	Broken    int      // falls of which over two thirds came from senders that knew of the outage
	Submitted int64
	Delivered int64
}

// String returns a report in one line.
func (r Report) String() string {
	s := r.Scenario
	return fmt.Sprintf("seed %d: %d senders at %.0f/s, load %.1f, advertised %v, falls %v, refuses %v, killed %.2f, "+
		"upgraded %.2f, moves %v, own limits %v, %v: worst %.2f, falls %d, broken %d, delivered %.3f; %v",
		s.Seed, s.Senders, s.MessageRate, s.Load, s.Advertises, s.Falls, s.Refuses, s.KilledShare, s.UpgradedShare,
		s.Moves, s.OwnLimits, s.Outages, r.Worst, r.Falls, r.Broken,
		float64(r.Delivered)/float64(max(1, r.Submitted)), r.Recovery)
}

// run is a scenario in progress.
type run struct {
	Scenario
	rng       *rand.Rand
	ports     fleet.Ports
	routes    [][]*destination // by destination: all of its endpoints, or each endpoint that has its own limit
	shares    []float64        // of the messages, by destination
	agent     *agent
	senders   []*sender
	clumps    []atomic.Bool // by outage
	submitted atomic.Int64
}

// Run runs a scenario. An error means that it could not be run.
func (s Scenario) Run() (report Report, err error) {
	r := &run{Scenario: s, rng: rand.New(rand.NewSource(s.Seed)), clumps: make([]atomic.Bool, len(s.Outages))}
	defer r.close()
	if err := errors.Join(r.openDestinations(), r.startSenders()); err != nil {
		return report, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i, sender := range r.senders {
		submitting := &client{addr: sender.listen, name: sender.name}
		rng := rand.New(rand.NewSource(s.Seed*1000 + int64(i)))
		clients.Go(func() { submitting.run(ctx, rng, r.drawMessage) })
	}
	err = r.play()
	cancel()
	clients.Wait()
	return r.report(), err
}

func (r *run) openDestinations() error {
	total := 0.0
	for i := range r.Destinations {
		share := math.Pow(float64(i+1), -zipfExponent)
		r.shares = append(r.shares, share)
		total += share
	}
	list := config.EndpointList{Seq: 1, Whole: true}
	for i := range r.Destinations {
		r.shares[i] /= total
		demand := r.shares[i] * r.MessageRate * float64(r.Senders)
		routes, endpoints := 1, r.Endpoints
		if r.OwnLimits {
			routes, endpoints = r.Endpoints, 1
		}
		r.routes = append(r.routes, nil)
		for number := range routes {
			added, err := newDestination(int64(i+1), demand/r.Load/float64(routes), endpoints, &r.ports)
			if err != nil {
				return err
			}
			added.number, added.advertises, added.falls, added.refuses = number, r.Advertises, r.Falls, r.Refuses
			r.routes[i] = append(r.routes[i], added)
			list.Hosts = append(list.Hosts, added.hosts()...)
		}
	}
	var err error
	r.agent, err = newAgent(list, &r.ports)
	return err
}

func (r *run) startSenders() (err error) {
	for i := range r.Senders {
		name := fmt.Sprintf("n%d", i)
		added := &sender{name: name, dir: filepath.Join(r.Dir, name), program: r.Program, env: r.Env}
		if err := os.MkdirAll(filepath.Join(added.dir, "state"), 0o700); err != nil {
			return err
		}
		if added.log, err = os.Create(filepath.Join(added.dir, "log")); err != nil {
			return err
		}
		r.senders = append(r.senders, added)
		if added.listen, err = r.ports.Reserve(); err != nil {
			return err
		}
		if err := added.configure(r.agent, r.rng.Int63(), senderSettings(r.Senders, r.Advertises, r.OwnLimits)); err != nil {
			return err
		}
		if err := added.start(); err != nil {
			return err
		}
	}
	for _, started := range r.senders {
		err = errors.Join(err, started.awaitReady(readyLimit))
	}
	return err
}

// drawMessage draws the time until a sender's next message, and its destination.
func (r *run) drawMessage(rng *rand.Rand) (time.Duration, int64) {
	r.submitted.Add(1)
	wait := time.Duration(rng.ExpFloat64() / r.MessageRate * float64(time.Second))
	for i, outage := range r.Outages {
		if r.clumps[i].Load() && rng.Float64() < outage.ClumpShare {
			return wait, int64(outage.Destination + 1)
		}
	}
	drawn := rng.Float64()
	for i, share := range r.shares {
		if drawn -= share; drawn < 0 {
			return wait, int64(i + 1)
		}
	}
	return wait, int64(r.Destinations)
}

// play injects the outages, the clumps and the kills, and waits until the destinations have recovered.
func (r *run) play() error {
	time.Sleep(warmUp)
	start := time.Now()
	var pending sync.WaitGroup
	lastEnd := time.Duration(0)
	moveErrs := make([]error, len(r.Outages))
	for i, outage := range r.Outages {
		lastEnd = max(lastEnd, outage.end())
		pending.Go(func() { moveErrs[i] = r.playOutage(start, i) })
	}
	var restartErr error
	if r.KilledShare+r.UpgradedShare > 0 {
		pending.Go(func() {
			time.Sleep(r.RestartAfter)
			restartErr = errors.Join(r.killSome(), r.upgradeSome())
		})
	}
	pending.Wait()
	time.Sleep(time.Until(start.Add(lastEnd + r.Observation)))
	return errors.Join(append(moveErrs, restartErr)...)
}

// playOutage plays an outage and the clump around its end.
func (r *run) playOutage(start time.Time, number int) (err error) {
	outage := r.Outages[number]
	routes := r.routes[outage.Destination]
	time.Sleep(time.Until(start.Add(outage.Start)))
	for _, route := range routes {
		route.beginOutage(outage.Kind)
	}
	time.Sleep(time.Until(start.Add(outage.end() - min(clumpLead, outage.Length))))
	r.clumps[number].Store(true)
	time.AfterFunc(clumpLength, func() { r.clumps[number].Store(false) })
	time.Sleep(time.Until(start.Add(outage.end())))
	if r.Moves {
		var hosts []config.Host
		for _, route := range routes {
			err = errors.Join(err, route.move(&r.ports))
			hosts = append(hosts, route.hosts()...)
		}
		r.agent.replace(routes[0].id, hosts)
	}
	for _, route := range routes {
		route.endOutage()
	}
	return err
}

// killSome kills senders at once and starts them again on their folders.
func (r *run) killSome() (err error) {
	killed := r.senders[:int(r.KilledShare*float64(r.Senders))]
	for _, sender := range killed {
		sender.proc.Kill()
	}
	for _, sender := range killed {
		err = errors.Join(err, sender.start())
	}
	return err
}

// upgradeSome upgrades senders at once.
func (r *run) upgradeSome() error {
	upgraded := r.senders[:int(r.UpgradedShare*float64(r.Senders))]
	errs := make([]error, len(upgraded))
	var pending sync.WaitGroup
	for i, sender := range upgraded {
		pending.Go(func() { errs[i] = sender.upgrade() })
	}
	pending.Wait()
	return errors.Join(errs...)
}

// report sums up the records of the destinations.
func (r *run) report() Report {
	report := Report{Scenario: r.Scenario, Submitted: r.submitted.Load()}
	for _, dest := range slices.Concat(r.routes...) {
		dest.mu.Lock()
		report.Delivered += int64(dest.delivered)
		for _, recovered := range dest.returns {
			report.Recovery = append(report.Recovery, fmt.Sprintf("%d: %v", dest.id, recovered))
			report.Worst = max(report.Worst, recovered.worst)
			if recovered.fallen {
				report.Falls++
			}
			if recovered.broken {
				report.Broken++
			}
		}
		dest.mu.Unlock()
	}
	return report
}

func (r *run) close() {
	for _, sender := range r.senders {
		if sender.proc != nil {
			sender.proc.Kill()
		}
		_ = sender.log.Close()
	}
	for _, dest := range slices.Concat(r.routes...) {
		dest.close()
	}
	if r.agent != nil {
		_ = r.agent.listener.Close()
	}
	r.ports.Release()
}
