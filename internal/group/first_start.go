package group

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// peekVoters requests the state of the other voters of the settings. The result lacks those that do
// not reply in time.
func (g *Group) peekVoters(ctx context.Context, timeout time.Duration) map[string]welcomeMessage {
	var mu sync.Mutex
	var pending sync.WaitGroup
	replies := map[string]welcomeMessage{}
	for _, name := range g.otherVoters() {
		pending.Add(1)
		go func() {
			defer pending.Done()
			conn, welcome, err := g.connect(name, purposePeek, timeout)
			if err != nil {
				return
			}
			_ = conn.Close()
			mu.Lock()
			replies[name] = welcome
			mu.Unlock()
		}()
	}
	done := make(chan struct{})
	go func() { pending.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(replies)
}

// obtainLog gives this member a log with which it may vote: the first log of the group, started
// together with all voters of the settings, or an empty log after the group has readmitted this
// member. superseded reports whether the folder's log is not the latest one of this member.
func (g *Group) obtainLog(ctx context.Context, stored *folder, superseded bool) (*raftboltdb.BoltStore, error) {
	for {
		replies := g.peekVoters(ctx, g.helloTimeout())
		bolt, err := g.tryObtainLog(ctx, stored, replies, superseded)
		if bolt != nil || errors.As(err, new(*bootstrapError)) {
			return bolt, err
		}
		if err != nil {
			g.setInactive(err.Error())
		}
		if !sleep(ctx, g.leaseFraction(retryDelayFraction)) {
			return nil, ctx.Err()
		}
	}
}

// tryObtainLog makes as much progress as the replies of the other voters allow. A nil store without
// an error means that there is no log yet.
func (g *Group) tryObtainLog(
	ctx context.Context, stored *folder, replies map[string]welcomeMessage, superseded bool,
) (*raftboltdb.BoltStore, error) {
	groupStarted := false
	for _, welcome := range replies {
		groupStarted = groupStarted || welcome.State == stateStarted
	}
	if superseded || stored.Started || groupStarted && len(stored.FirstStartVoters) == 0 {
		return g.rejoin(ctx, stored, replies)
	}
	start, err := g.coordinateFirstStart(stored, replies)
	if err != nil || !start {
		return nil, err
	}
	return g.bootstrap(stored)
}

// coordinateFirstStart advances the first start as far as the replies of the other voters allow, and
// reports whether the log may be started. There are two steps: first each voter finds that all
// folders are empty and stores that, then it waits until all others have stored it too. Otherwise a
// voter could start its log while another one can no longer establish that all folders were empty.
func (g *Group) coordinateFirstStart(stored *folder, replies map[string]welcomeMessage) (start bool, err error) {
	voters := voterNames(g.opt.Voters)
	if stored.Forced {
		stored.FirstStartVoters = voters
		return true, nil
	}
	agreed := len(stored.FirstStartVoters) > 0
	var missing, notReady []string
	for _, name := range g.otherVoters() {
		welcome, ok := replies[name]
		switch {
		case !ok:
			missing = append(missing, name)
		case welcome.State != stateStarted && !slices.Equal(welcome.Voters, voters):
			return false, fmt.Errorf("first start: the settings of %s list other voters: %s", name,
				strings.Join(welcome.Voters, ", "))
		case !readyToStart(welcome.State, agreed):
			notReady = append(notReady, name)
		}
	}
	if len(missing) > 0 {
		return false, fmt.Errorf("first start: waits for a reply from %s", strings.Join(missing, ", "))
	}
	if len(notReady) > 0 {
		return false, fmt.Errorf("first start: waits for %s to be ready", strings.Join(notReady, ", "))
	}
	if agreed {
		return true, nil
	}
	stored.FirstStartVoters = voters
	if err := stored.save(); err != nil {
		stored.FirstStartVoters = nil
		return false, err
	}
	g.setState(stateReady)
	return false, nil
}

// readyToStart reports whether another voter has reached the state that the next step of the first
// start requires: for the first step (not agreed) that its folder was empty, for the second that it
// has found all other folders empty as well.
func readyToStart(state logState, agreed bool) bool {
	if agreed {
		return state == stateReady || state == stateStarted
	}
	return state == stateEmpty || state == stateReady
}

// bootstrapError is a failure to write the first log. It ends runLog, which is then retried.
type bootstrapError struct{ err error }

func (e *bootstrapError) Error() string { return e.err.Error() }
func (e *bootstrapError) Unwrap() error { return e.err }

// bootstrap writes the first entry of a new log: the list of voters.
func (g *Group) bootstrap(stored *folder) (*raftboltdb.BoltStore, error) {
	bolt, err := openBolt(stored.dir)
	if err != nil {
		return nil, &bootstrapError{err: err}
	}
	snapshots, err := openSnapshots(stored.dir, hclog.NewNullLogger())
	if err == nil {
		_, transport := raft.NewInmemTransport(raft.ServerAddress(g.opt.Name))
		err = raft.BootstrapCluster(g.raftConfig(), bolt, bolt, snapshots, transport,
			raftConfiguration(stored.FirstStartVoters))
	}
	if err == nil {
		stored.FirstStartVoters, stored.Forced, stored.Started = nil, false, true
		err = stored.save()
	}
	if err != nil {
		return nil, &bootstrapError{err: errors.Join(fmt.Errorf("first start: %w", err), bolt.Close())}
	}
	g.log.Info().Strs("voters", voterNames(g.opt.Voters)).Msg("group: first start: a new log has been written")
	return bolt, nil
}

// raftConfiguration returns the raft library's list of voters. It uses their names as addresses;
// streamLayer.Dial resolves them.
func raftConfiguration(names []string) (configuration raft.Configuration) {
	for _, name := range names {
		configuration.Servers = append(configuration.Servers, raft.Server{
			Suffrage: raft.Voter, ID: raft.ServerID(name), Address: raft.ServerAddress(name),
		})
	}
	return configuration
}

// unseenIncarnations is more than the incarnations that a member can have had while the others did not see it. A member
// that has lost its folder does not know them, and a copy of the folder may be of one of them.
const unseenIncarnations = 1000

// rejoin lets a member whose log is lost, or is not its latest one, start again with an empty log. The
// leader removes it from the voters first, so that votes of which this member has lost the record
// do not count any more.
func (g *Group) rejoin(
	ctx context.Context, stored *folder, replies map[string]welcomeMessage,
) (*raftboltdb.BoltStore, error) {
	leader := leaderFromReplies(replies, g.opt.Name)
	if leader == g.opt.Name { // the other voters may not have noticed yet that this member does not lead
		return nil, fmt.Errorf("the name %s is in use by another process, which leads the group", leader)
	}
	if leader == "" {
		return nil, errNoLeaderToRejoin
	}
	g.mu.Lock()
	known := g.supersededBy
	g.mu.Unlock()
	for _, welcome := range replies {
		known = max(known, welcome.KnownIncarnation)
	}
	if err := g.raiseIncarnation(stored, known+unseenIncarnations); err != nil {
		return nil, err
	}
	reply, err := g.sendOnce(ctx, leader, heartbeat{Command: &command{Op: opAdmit}})
	if err != nil {
		return nil, fmt.Errorf("request to rejoin the group: %w", err)
	}
	if reply.CommandError != "" || reply.Admission == nil {
		return nil, fmt.Errorf("request to rejoin the group: refused by %s: %s", leader, reply.CommandError)
	}
	bolt, err := g.emptyLog(stored, *reply.Admission)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	g.superseded, g.position = false, logPosition{}
	g.mu.Unlock()
	g.log.Info().Uint64("incarnation", stored.Incarnation).Uint64("term", reply.Admission.Term).Str("leader", leader).
		Msg("group: the leader has readmitted this member: it starts with an empty log")
	return bolt, nil
}

// leaderFromReplies returns the leader that the replies of the voters name. If they disagree, it
// returns one that is not this member.
func leaderFromReplies(replies map[string]welcomeMessage, self string) (leader string) {
	for _, welcome := range replies {
		if leader = welcome.Leader; leader != "" && leader != self {
			return leader
		}
	}
	return leader
}

// emptyLog replaces the log of a member that was readmitted with an empty one.
func (g *Group) emptyLog(stored *folder, admitted admission) (*raftboltdb.BoltStore, error) {
	if err := stored.removeLog(); err != nil {
		return nil, err
	}
	bolt, err := openBolt(stored.dir)
	if err != nil {
		return nil, err
	}
	// This member may have voted in the leader's term or an earlier one, and its record of that vote
	// is lost. A recorded vote for the leader in the leader's term keeps it from voting there again.
	err = errors.Join(
		bolt.SetUint64(keyTerm, admitted.Term),
		bolt.Set(keyVoteFor, []byte(admitted.Leader)),
		bolt.SetUint64(keyVoteTerm, admitted.Term),
	)
	if stored.FirstStartVoters, stored.Started = nil, true; err == nil {
		err = stored.save()
	}
	if err != nil {
		return nil, errors.Join(err, bolt.Close())
	}
	return bolt, nil
}
