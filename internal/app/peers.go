package app

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
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
	// healthReportsPerLease is how often the group hears of the destinations' health within one lease.
	healthReportsPerLease   = 8
	minHealthReportInterval = 10 * time.Millisecond

	milliPerUnit = 1000 // the group counts rates in thousandths of a call per second
)

// peers joins a sender's core to its group: the core's health reports go to the group, and the group's hints and quotas
// are posted to the core. Neither waits for the other.
type peers struct {
	core  *sender.Sender
	group *group.Group
	log   zerolog.Logger
	name  string // of this member

	probeDuty string         // the duty of the kind "return"; empty: none
	limited   []int64        // destinations that have a shared limit
	demand    []atomic.Int64 // of the limited destinations, as the core reported it last

	health chan []scheduler.Health // the core's last report
	// probing has the destinations that this member alone probes. It belongs to the goroutine that calls OnHints.
	probing map[int64]bool
}

// GroupDir is the folder of a group's state.
func GroupDir(cfg config.Config) string { return filepath.Join(cfg.State, "group") }

func newPeers(core *sender.Sender, cfg config.Config, log zerolog.Logger) *peers {
	p := &peers{
		core:    core,
		log:     log,
		name:    cfg.Group.Name,
		health:  make(chan []scheduler.Health, 1),
		probing: map[int64]bool{},
	}
	opt := group.Options{
		Name:    cfg.Group.Name,
		Listen:  cfg.Group.Listen,
		Voters:  cfg.Group.Voters,
		Dir:     GroupDir(cfg),
		Weight:  cfg.Group.Weight,
		Log:     log,
		Terms:   lease.Terms{Length: milliseconds(cfg.Group.LeaseMs), Drift: cfg.Group.Drift},
		Ready:   func() bool { ok, _ := core.Ready(); return ok },
		OnHints: p.onHints,
		OnSuperseded: func(incarnation uint64, recorded func()) {
			core.DistrustFolder(fmt.Sprintf("others have seen life %d of this member", incarnation), recorded)
		},
		Notes: map[string]string{},
	}
	for _, duty := range cfg.Group.Duties {
		p.addDuty(&opt, duty, cfg)
	}
	p.demand = make([]atomic.Int64, len(p.limited))
	p.group = group.New(opt)
	return p
}

// addDuty adds what the configuration says of one duty to the group's options.
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

// sharedLimit joins a limit of the group to the core; index is its place among the limited destinations. Until the
// group has assigned quotas the even part counts.
func (p *peers) sharedLimit(duty config.Duty, index int) group.Limit {
	return group.Limit{
		Name:   duty.Name,
		Rate:   int64(duty.PerSecond * milliPerUnit),
		Demand: func() int64 { return p.demand[index].Load() },
		Apply: func(quota int64, until time.Duration, even int64) {
			p.core.Inject(scheduler.Event{
				Kind:        scheduler.QuotaAssigned,
				Destination: duty.Dest,
				Quota:       quota,
				EvenQuota:   even,
				Deadline:    eventTime(until),
			})
		},
	}
}

// eventTime converts a time of the group's clock to the scheduler's microseconds: both read the machine's steady clock.
func eventTime(at time.Duration) int64 { return at.Microseconds() }

// verifyJournal is the act of the duty that reads the journal back.
func verifyJournal(cfg config.Config, log zerolog.Logger) func(context.Context, group.Execution) error {
	return func(_ context.Context, act group.Execution) error {
		records, err := journal.Verify(cfg.State, journalBytes(cfg))
		if err != nil {
			log.Error().Err(err).Str("duty", act.Duty).Msg("the journal does not read back")
			return err
		}
		log.Debug().Str("duty", act.Duty).Int("records", records).Msg("the journal reads back")
		return nil
	}
}

// onHints passes on to the core what came with an answer of the group's leader. holders has the member that holds the
// lease on probing a destination; it counts until until.
func (p *peers) onHints(hints []group.Hint, holders map[string]string, until time.Duration) {
	if p.probeDuty == "" {
		return
	}
	events, recovering := p.hintEvents(hints)
	for lease, holder := range holders {
		dest, err := strconv.ParseInt(strings.TrimPrefix(lease, p.probeDuty+"@"), 10, 64)
		if err != nil || recovering[dest] {
			continue
		}
		event := scheduler.Event{Kind: scheduler.ProbeDelegated, Destination: dest, Deadline: eventTime(until)}
		own := holder == p.name
		if own {
			event.Deadline = 0
		}
		if own != p.probing[dest] {
			p.probing[dest] = own
			p.log.Info().Int64("dest", dest).Bool("mine", own).Str("by", holder).
				Msg("destination that is out is tried by one member") // the fleet harness counts these lines
		}
		events = append(events, event)
	}
	p.core.Inject(events...)
}

// hintEvents gives the core's events of hints, and the destinations that recover: each member probes those by itself.
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

// reportHealth tells the group of the destinations' health and of the demand for limited ones until ctx ends.
func (p *peers) reportHealth(ctx context.Context) {
	ticker := time.NewTicker(max(p.group.LeaseLength()/healthReportsPerLease, minHealthReportInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.core.Health(p.limited, func(health []scheduler.Health, demand []int64) {
				for i, d := range demand {
					p.demand[i].Store(d)
				}
				select {
				case p.health <- health:
				default:
				}
			})
		case health := <-p.health:
			p.publish(health)
		}
	}
}

func (p *peers) publish(health []scheduler.Health) {
	if p.probeDuty == "" {
		return
	}
	var hints []group.Hint
	var claims []string
	for _, h := range health {
		hints = append(hints, group.Hint{
			Destination:  h.Destination,
			RetryAfterUs: h.RetryAfterUs,
			Unavailable:  h.Unavailable,
			Recovering:   h.Recovering,
			RecoveringUs: h.RecoveringUs,
		})
		if h.Unavailable && h.HasPending { // without pending messages there is nothing to probe with
			claims = append(claims, p.probeLease(h.Destination))
		}
	}
	p.group.PublishHints(hints)
	p.group.Claim(claims)
}

// probeLease names the lease on probing an unavailable destination.
func (p *peers) probeLease(dest int64) string { return p.probeDuty + "@" + strconv.FormatInt(dest, 10) }

// start joins the group; p may be nil. leave gives back all leases and returns once that is done; it may be called more
// than once, on any goroutine.
func (p *peers) start() (leave func()) {
	if p == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	if p.probeDuty != "" || len(p.limited) > 0 {
		go p.reportHealth(ctx)
	}
	go func() {
		defer close(done)
		p.group.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}
