// Package group coordinates several senders, the members of a group: it divides duties, each of which
// only one member may execute at a time, by means of leases, and divides common limits into quotas.
// The rules are in internal/lease and internal/assignment, which do no I/O and read no clock; this
// package adds a replicated log (hashicorp/raft), one TCP port, a folder, a clock, and the execution
// of the duties. It runs on goroutines of its own: delivery never waits for it.
//
// Each member sends heartbeats to the leader (member.go, reply.go). The leader replies to them and
// grants the leases (leader.go, heartbeat_handler.go, assign.go, quotas.go, commands.go). A voter also
// has a replica of the log (log_keeper.go, raft_node.go). All traffic between members uses one port
// (transport.go, hello.go).
//
// One lock, Group.mu, guards the state. No log entry is written and nothing is sent while it is held.
package group

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"brackendale/internal/assignment"
	"brackendale/internal/lease"

	"github.com/rs/zerolog"
)

// Group is a member of a group: the part of the group that runs in this process.
type Group struct {
	opt          Options
	log          zerolog.Logger
	process      uint64 // a random number that identifies this process
	clock        func() time.Duration
	heartbeatNow chan struct{} // requests an immediate heartbeat; its buffer is 1
	leaveOnce    sync.Once     // of Leaving
	createdAt    time.Duration

	mu sync.Mutex // guards all fields below
	folderState
	logReplica
	leaderState
	holderState

	peers map[string]peerProcess // by member
}

// folderState is the state of a member's folder and of its own participation.
type folderState struct {
	folder         *folder
	openedAt       time.Duration // of the folder
	incarnation    uint64
	inactiveReason string // why this member does not participate; empty if it does
	resigning      bool   // a call of Leave is in progress: heartbeats do not offer a vote

	superseded       bool   // another member has recorded a later state of this folder
	supersededBy     uint64 // the incarnation of that later state
	supersedePending bool   // Options.OnSuperseded has not recorded it yet
}

// logReplica is the state of a member's replica of the log.
type logReplica struct {
	node     *raftNode // nil while the log does not run
	state    logState
	position logPosition  // at the start of this process
	table    *lease.Table // as applied by this member's log; empty without a log
	watch    *lease.ExpiryWatch
}

// holderState is what a member holds, and what it has received from the leader.
type holderState struct {
	holder     *lease.Holder
	runners    map[string]*runner
	released   map[string]lease.Ref // releases that the leader has not confirmed yet, by duty
	successors map[string]string    // the next holder of a duty that is being released, if it is determined
	leaving    bool
	counters   counters

	lastView       view
	hints          publishedHints
	pendingCommand *command

	quotaMembers       int // members that use the limits, by the leader's last reply
	storedQuotaMembers int // the value of quotaMembers in the folder
}

// New creates a member. It participates in the group once Run is called.
func New(opt Options) *Group {
	if opt.Clock == nil {
		opt.Clock = Boottime
	}
	if opt.Ready == nil {
		opt.Ready = func() bool { return true }
	}
	g := &Group{
		opt:          opt,
		log:          opt.Log.With().Str("group", opt.Name).Logger(),
		process:      rand.Uint64(),
		clock:        opt.Clock,
		heartbeatNow: make(chan struct{}, 1),
		peers:        map[string]peerProcess{},
		folderState:  folderState{inactiveReason: "starting"},
		logReplica: logReplica{
			state: stateOpening,
			table: lease.NewTable(),
			watch: lease.NewExpiryWatch(opt.Terms),
		},
		holderState: holderState{
			holder:       lease.NewHolder(opt.Terms),
			runners:      map[string]*runner{},
			released:     map[string]lease.Ref{},
			successors:   map[string]string{},
			quotaMembers: max(1, len(opt.Voters)),
		},
	}
	for _, duty := range opt.Duties {
		g.runners[duty.Name] = &runner{
			Duty: duty, schedule: assignment.Schedule{Every: duty.Every}, wake: make(chan struct{}, 1),
		}
	}
	g.resetMembers()
	g.createdAt = g.clock()
	g.quotaMembers = max(g.quotaMembers, readQuotaMembers(opt.Dir))
	g.applyEvenQuotas() // another process of this sender may have the folder for some time yet
	return g
}

// Joining reports whether this member cannot know yet what other members hold: another process of this
// sender still takes part in the group (hot restart), or no leader has replied yet. It ends after a
// limited time.
func (g *Group) Joining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	if g.folder == nil {
		return now-g.createdAt < maxPredecessorTime
	}
	return g.lastView.leaderRepliedAt == 0 && now-g.openedAt < g.leaseFraction(joinFraction)
}

// maxPredecessorTime is how long a member waits for its predecessor in a hot restart before it acts
// without the group.
const maxPredecessorTime = 30 * time.Second

// LeaseLength returns the duration of the group's leases.
func (g *Group) LeaseLength() time.Duration { return g.opt.Terms.Length }

// Run participates in the group until ctx ends. It then releases what this member holds, stops and
// returns.
func (g *Group) Run(ctx context.Context) {
	stored, err := g.openOwnFolder(ctx)
	if err != nil {
		return // ctx ended before the folder could be opened
	}
	defer stored.close()
	listener, err := g.listen(ctx)
	if err != nil {
		return
	}
	g.log.Info().Str("listen", listener.Addr().String()).Uint64("incarnation", g.currentIncarnation()).
		Bool("voter", g.isVoter()).Msg("group: this member has started; its connections are not encrypted")
	taskCtx, stop := context.WithCancel(context.Background()) // of the tasks that run until the duties are released
	var running sync.WaitGroup
	run := func(task func(context.Context)) {
		running.Add(1)
		go func() { defer running.Done(); task(taskCtx) }()
	}
	run(func(ctx context.Context) { g.accept(ctx, listener) })
	run(func(ctx context.Context) { g.maintainLog(ctx, stored) })
	run(g.runHeartbeats)
	for _, duty := range g.dutyRunners() {
		run(func(ctx context.Context) { g.runDuty(ctx, duty) })
	}
	<-ctx.Done()
	g.Leaving()
	stop()
	_ = listener.Close()
	running.Wait()
}

// dutyRunners returns the runners of the duties of the settings. What is claimed is not executed here.
func (g *Group) dutyRunners() (runners []*runner) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, runner := range g.runners {
		if !runner.claimed {
			runners = append(runners, runner)
		}
	}
	return runners
}

func (g *Group) currentIncarnation() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.incarnation
}

// setInactive records why this member does not participate at present; an empty reason means that it
// does. A change to another reason is logged.
func (g *Group) setInactive(reason string) {
	g.mu.Lock()
	changed := g.inactiveReason != reason
	g.inactiveReason = reason
	g.mu.Unlock()
	if changed && reason != "" {
		g.log.Warn().Str("reason", reason).Msg("group: this member does not participate for now")
	}
}

// otherVoters returns the names of the voters of the settings without this member, sorted.
func (g *Group) otherVoters() (names []string) {
	for name := range g.opt.Voters {
		if name != g.opt.Name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// sleep waits for a duration. It returns false as soon as ctx ends.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
