package app

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/group"
	"brackendale/internal/journal"
	"brackendale/internal/lease"
	"brackendale/scheduler"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

const (
	// healthReportsPerLease is how often the health of the destinations is reported to the group within one lease.
	healthReportsPerLease   = 8
	minHealthReportInterval = 10 * time.Millisecond

	// noProbeLeases is for how many leases the core is told not to probe a destination.
	noProbeLeases = 2

	milliPerUnit = 1000 // the group's unit of rates is a thousandth of a call per second
)

// peers connects a sender's core to its group: the core's health reports are published to the group, and the group's
// hints and quotas are posted to the core. Neither waits for the other.
type peers struct {
	core  *sender.Sender
	group *group.Group
	log   zerolog.Logger
	name  string // of this member

	probeDuty string         // name of the duty of the kind "return"; empty if there is none
	limited   []int64        // destinations that have a shared limit
	demand    []atomic.Int64 // demand for each of the limited destinations, as last reported by the core

	health chan healthReport // the last report of the core
	// probing has the destinations that only this member probes. It is used by the goroutine that calls OnHints.
	probing map[int64]bool
	leaving atomic.Bool // this member leaves the group: it probes no more

	mu sync.Mutex
	// withdrawn has the destinations that this member has to stop probing.
	withdrawn map[int64]bool
}

// healthReport is a report of the core. What withdrawn has was withdrawn before the report was requested: the core
// begins no probe of it any more, and the report shows those that are in flight.
type healthReport struct {
	destinations []scheduler.Health
	withdrawn    map[int64]bool
}

// GroupDir returns the folder of the group's state.
func GroupDir(cfg config.Config) string { return filepath.Join(cfg.State, "group") }

func newPeers(core *sender.Sender, cfg config.Config, log zerolog.Logger) *peers {
	p := &peers{
		core:      core,
		log:       log,
		name:      cfg.Group.Name,
		health:    make(chan healthReport, 1),
		probing:   map[int64]bool{},
		withdrawn: map[int64]bool{},
	}
	opt := group.Options{
		Name:          cfg.Group.Name,
		Listen:        cfg.Group.Listen,
		Voters:        cfg.Group.Voters,
		Dir:           GroupDir(cfg),
		Weight:        cfg.Group.Weight,
		Log:           log,
		Terms:         lease.Terms{Length: milliseconds(cfg.Group.LeaseMs), Drift: cfg.Group.Drift},
		Ready:         func() bool { ok, _ := core.Ready(); return ok },
		OnHints:       p.onHints,
		OnWithdraw:    p.onWithdraw,
		OnSuperseded:  p.onSuperseded,
		OnIncarnation: p.onIncarnation,
		Notes:         map[string]string{},
	}
	for _, duty := range cfg.Group.Duties {
		p.addDuty(&opt, duty, cfg)
	}
	p.demand = make([]atomic.Int64, len(p.limited))
	p.group = group.New(opt)
	return p
}

// onIncarnation records an incarnation of this member beside the journal: the group's folder may be lost alone.
func (p *peers) onIncarnation(incarnation uint64) {
	if err := p.core.RecordGroupIncarnation(incarnation); err != nil {
		p.log.Warn().Err(err).Uint64("incarnation", incarnation).
			Msg("group: recording this incarnation beside the journal failed: if the group's folder is lost, " +
				"the whole state folder counts as an older state")
	}
}

// onSuperseded distrusts the state folder if another member has seen a later incarnation than the group's folder has,
// unless the journal is of that incarnation or a later one: then the group's folder alone is an older state, or empty.
func (p *peers) onSuperseded(incarnation uint64, recorded func()) {
	if p.core.EarlierGroupIncarnation() >= incarnation {
		p.log.Info().Uint64("incarnation", incarnation).
			Msg("group: the group's folder is an older state, the journal is not: its messages are trusted")
		p.core.Post(recorded)
		return
	}
	p.core.DistrustFolder(fmt.Sprintf("others have seen life %d of this member", incarnation), recorded)
}

// addDuty adds the options of one configured duty to the group's options.
func (p *peers) addDuty(opt *group.Options, duty config.Duty, cfg config.Config) {
	switch duty.Kind {
	case config.DutyCall:
		opt.Duties = append(opt.Duties, group.Duty{
			Name:        duty.Name,
			Every:       milliseconds(duty.IntervalMs),
			MaxDuration: milliseconds(duty.MaxDurationMs),
			Execute:     group.HTTPExecutor(duty.URL),
		})
	case config.DutyVerify:
		opt.Duties = append(opt.Duties, group.Duty{
			Name:        duty.Name,
			Every:       milliseconds(duty.IntervalMs),
			MaxDuration: milliseconds(duty.MaxDurationMs),
			RoundRobin:  true,
			Execute:     verifyJournal(cfg, p.log),
		})
	case config.DutyReturn:
		p.probeDuty = duty.Name
		opt.Notes[duty.Name] = "nothing is out, or see " + duty.Name + "@DESTINATION"
	case config.DutyLimit:
		p.limited = append(p.limited, duty.Dest)
		opt.Limits = append(opt.Limits, p.sharedLimit(duty, len(p.limited)-1))
		opt.Notes[duty.Name] = "it is divided: see " + duty.Name + "/MEMBER"
	case config.DutyRoll:
		opt.Rollouts = append(opt.Rollouts, group.Rollout{
			Name:          duty.Name,
			MaxConcurrent: duty.ConcurrentRestarts,
			MaxDowntime:   milliseconds(duty.MaxDowntimeMs),
		})
		opt.Notes[duty.Name] = "nobody is out, or see " + duty.Name + "#1"
	}
}

// sharedLimit connects a shared limit of the group to the core; index is the index of its destination in p.limited.
// Until the group has assigned quotas, an even share of the limit applies.
func (p *peers) sharedLimit(duty config.Duty, index int) group.Limit {
	return group.Limit{
		Name:   duty.Name,
		Rate:   int64(duty.PerSecond * milliPerUnit),
		Demand: func() int64 { return p.demand[index].Load() },
		Apply: func(quota int64, expiresAt time.Duration, evenQuota int64) {
			p.core.Inject(scheduler.Event{
				Kind:        scheduler.QuotaAssigned,
				Destination: duty.Dest,
				Quota:       quota,
				EvenQuota:   evenQuota,
				Deadline:    eventTime(expiresAt),
			})
		},
	}
}

// eventTime converts a time of the group's clock to the scheduler's microseconds. Both are based on the machine's
// monotonic clock.
func eventTime(instant time.Duration) int64 { return instant.Microseconds() }

// verifyJournal returns the function that executes the duty of the kind "verify": it reads the journal back from disk.
func verifyJournal(cfg config.Config, log zerolog.Logger) func(context.Context, group.Execution) error {
	return func(_ context.Context, execution group.Execution) error {
		records, err := journal.Verify(cfg.State, journalBytes(cfg))
		if err != nil {
			log.Error().Err(err).Str("duty", execution.Duty).Msg("the journal cannot be verified")
			return err
		}
		log.Debug().Str("duty", execution.Duty).Int("records", records).Msg("the journal has been verified")
		return nil
	}
}

// onHints posts to the core the hints and probe leases in a reply of the group's leader. holders has the member that
// holds the lease on probing a destination, by the name of the lease; it is valid until expiresAt.
func (p *peers) onHints(hints []group.Hint, holders map[string]string, expiresAt time.Duration) {
	if p.probeDuty == "" {
		return
	}
	events, recovering := p.hintEvents(hints)
	withdrawn := p.withdrawnDestinations()
	for lease, holder := range holders {
		dest, ok := p.probedDestination(lease)
		if !ok || recovering[dest] {
			continue
		}
		event := scheduler.Event{Kind: scheduler.ProbeDelegated, Destination: dest, Deadline: eventTime(expiresAt)}
		own := holder == p.name && !withdrawn[dest] && !p.leaving.Load()
		if own {
			event.Deadline = 0
		}
		if own != p.probing[dest] {
			p.probing[dest] = own
			p.log.Info().Int64("dest", dest).Bool("mine", own).Str("by", holder).
				Msg("unavailable destination is tried by one member") // the fleet harness matches "tried by one member"
		}
		events = append(events, event)
	}
	p.core.Inject(events...)
}

// onWithdraw has the core stop probing destinations whose lease this member has to give up. Once none of its calls
// to such a destination is in flight, the lease is claimed no more.
func (p *peers) onWithdraw(leases []string) {
	var events []scheduler.Event
	for _, name := range leases {
		if dest, ok := p.probedDestination(name); ok {
			events = append(events, p.noProbe(dest))
		}
	}
	p.core.Inject(events...)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, event := range events {
		p.withdrawn[event.Destination] = true
	}
}

// noProbe returns an event with which the core does not probe a destination for the next leases. It is repeated as long
// as that is to last.
func (p *peers) noProbe(destination int64) scheduler.Event {
	return scheduler.Event{
		Kind: scheduler.ProbeDelegated, Destination: destination,
		Deadline: int64(p.core.Now().Add(noProbeLeases * p.group.LeaseLength())),
	}
}

func (p *peers) withdrawnDestinations() map[int64]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.withdrawn)
}

// probedDestination returns the destination of a lease on probing.
func (p *peers) probedDestination(lease string) (destination int64, ok bool) {
	number, ok := strings.CutPrefix(lease, p.probeDuty+"@")
	destination, err := strconv.ParseInt(number, 10, 64)
	return destination, ok && err == nil
}

// hintEvents converts hints to events of the core. It also returns the recovering destinations, which each member
// probes by itself.
func (p *peers) hintEvents(hints []group.Hint) (events []scheduler.Event, recovering map[int64]bool) {
	recovering = map[int64]bool{}
	for _, hint := range hints {
		if hint.RetryAfterUs > 0 {
			events = append(events, scheduler.Event{
				Kind:        scheduler.RetryAfterShared,
				Destination: hint.Destination,
				Deadline:    int64(p.core.Now()) + hint.RetryAfterUs,
			})
		}
		if hint.Recovering {
			recovering[hint.Destination] = true
			events = append(events, scheduler.Event{Kind: scheduler.RecoveryObserved, Destination: hint.Destination})
		}
	}
	return events, recovering
}

// reportHealth reports the health of the destinations and the demand for limited ones to the group until ctx ends.
func (p *peers) reportHealth(ctx context.Context) {
	ticker := time.NewTicker(max(p.group.LeaseLength()/healthReportsPerLease, minHealthReportInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.requestHealth()
		case report := <-p.health:
			p.publishHealth(report)
		}
	}
}

// requestHealth has the core report once. While this member cannot know who probes a destination, or leaves, its core
// probes none.
func (p *peers) requestHealth() {
	withdrawn := p.withdrawnDestinations()
	mustNotProbe := p.probeDuty != "" && (p.leaving.Load() || p.group.Joining())
	p.core.Health(p.limited, func(health []scheduler.Health, demand []int64) {
		if mustNotProbe {
			p.stopProbes(health)
		}
		for i, destDemand := range demand {
			p.demand[i].Store(destDemand)
		}
		select {
		case p.health <- healthReport{health, withdrawn}:
		default:
		}
	})
}

func (p *peers) stopProbes(health []scheduler.Health) {
	var events []scheduler.Event
	for _, h := range health {
		if h.Unavailable {
			events = append(events, p.noProbe(h.Destination))
		}
	}
	p.core.Inject(events...)
}

func (p *peers) publishHealth(report healthReport) {
	if p.probeDuty == "" {
		return
	}
	var hints []group.Hint
	var claims []string
	for _, h := range report.destinations {
		hints = append(hints, group.Hint{
			Destination:  h.Destination,
			RetryAfterUs: h.RetryAfterUs,
			Unavailable:  h.Unavailable,
			Recovering:   h.Recovering,
			RecoveringUs: h.RecoveringUs,
		})
		// Without messages it cannot be probed. A probe in flight still needs the lease.
		if h.Unavailable && (h.HasCalls || h.HasPending && !report.withdrawn[h.Destination]) {
			claims = append(claims, p.probeLease(h.Destination))
		}
	}
	p.group.PublishHints(hints)
	p.group.Claim(claims)
	p.forgetWithdrawn(report.withdrawn, claims)
}

// forgetWithdrawn forgets the withdrawn leases that are claimed no more: from then on they may be claimed again.
func (p *peers) forgetWithdrawn(withdrawn map[int64]bool, claims []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for dest := range withdrawn {
		if !slices.Contains(claims, p.probeLease(dest)) {
			delete(p.withdrawn, dest)
		}
	}
}

// probeLease returns the name of the lease on probing an unavailable destination.
func (p *peers) probeLease(dest int64) string { return p.probeDuty + "@" + strconv.FormatInt(dest, 10) }

// release has the member release its leases, so that other members can take them over while this sender finishes
// its messages. It still heeds the group, and keeps its part of the limits, until it leaves. p may be nil.
func (p *peers) release() {
	if p == nil {
		return
	}
	p.leaving.Store(true)
	p.requestHealth()
	p.group.Leaving()
}

// start joins the group; p may be nil. leave is called when the core has ended: it releases all leases, leaves the
// group, and returns once that is done.
func (p *peers) start() (leave func()) {
	if p == nil {
		return func() {}
	}
	p.requestHealth()
	reportCtx, stopReports := context.WithCancel(context.Background())
	groupCtx, stopGroup := context.WithCancel(context.Background())
	var reports, member sync.WaitGroup
	if p.probeDuty != "" || len(p.limited) > 0 {
		reports.Go(func() { p.reportHealth(reportCtx) })
	}
	member.Go(func() { p.group.Run(groupCtx) })
	return func() {
		stopReports()
		reports.Wait()
		p.group.Claim(nil) // none of the core's calls is in flight any more
		stopGroup()
		member.Wait()
	}
}
