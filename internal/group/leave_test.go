package group_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/group"
)

// Executions of the duty of executionLog.
const (
	executionTime    = leaseLength / 2
	maxExecutionTime = leaseLength * 5 / 8
	executionEvery   = leaseLength / 8
)

// executionLog records the executions of one duty that take executionTime, and those that overlap.
type executionLog struct {
	mu       sync.Mutex
	open     map[string]uint64 // the epochs of the executions in progress, by member
	began    chan group.Execution
	done     map[string]int // executions that ended, by member
	overlaps []string
}

func newExecutionLog() *executionLog {
	return &executionLog{open: map[string]uint64{}, began: make(chan group.Execution, 1), done: map[string]int{}}
}

// execute is a Duty.Execute. It ends early if the execution is given up.
func (l *executionLog) execute(ctx context.Context, execution group.Execution) error {
	l.begin(execution)
	defer l.end(execution)
	select {
	case <-time.After(executionTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *executionLog) begin(execution group.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for member, epoch := range l.open {
		l.overlaps = append(l.overlaps, fmt.Sprintf("%s began under epoch %d beside %s under epoch %d", execution.Member,
			execution.Epoch, member, epoch))
	}
	l.open[execution.Member] = execution.Epoch
	select {
	case l.began <- execution:
	default:
	}
}

func (l *executionLog) end(execution group.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, execution.Member)
	l.done[execution.Member]++
}

// awaitBegin waits for the begin of a further execution of a member that accept accepts.
func (l *executionLog) awaitBegin(t *testing.T, accept func(member string) bool) group.Execution {
	t.Helper()
	for len(l.began) > 0 {
		<-l.began
	}
	for hang := time.After(hangTimeout); ; {
		select {
		case execution := <-l.began:
			if accept(execution.Member) {
				return execution
			}
		case <-hang:
			t.Fatal("the duty is not executed")
		}
	}
}

func anyMember(string) bool { return true }

// requireNoOverlap fails the test if two executions overlapped.
func (l *executionLog) requireNoOverlap(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, overlap := range l.overlaps {
		t.Error(overlap)
	}
}

// However a member gives a duty up within an execution of its own, no other member may execute the duty before that
// execution has ended (review/6): the member stops, as for SIGTERM, drain and the end of an upgrade; it leads and
// stops; another member is to have the duty; the lease is revoked; the member gives its vote up; another one leads.
func TestDutyIsGivenUpBehindItsExecution(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*hangTimeout)
	defer cancel()
	restart := func(cluster *testGroup, holder string) {
		cluster.stop(holder)
		cluster.start(holder)
	}
	ways := map[string]func(cluster *testGroup, holder string){
		"stops": restart,
		"stops as the leader": func(cluster *testGroup, holder string) {
			if cluster.leader() == holder {
				restart(cluster, holder)
			}
		},
		"hands over": func(cluster *testGroup, holder string) {
			_ = cluster.running[holder].HandOver(ctx, "d", otherThan(holder))
		},
		"revoked":         func(cluster *testGroup, holder string) { _ = cluster.running[holder].Revoke(ctx, "d") },
		"gives a vote up": func(cluster *testGroup, holder string) { _ = cluster.running[holder].Leave(ctx) },
		"the leader stops": func(cluster *testGroup, holder string) {
			if leader := cluster.leader(); leader != holder {
				restart(cluster, leader)
			}
		},
		"cut off": func(cluster *testGroup, holder string) {
			cluster.setIsolated(holder, true)
			time.Sleep(2 * leaseLength)
			cluster.setIsolated(holder, false)
		},
	}
	for name, giveUp := range ways {
		for _, roundRobin := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, round robin %v", name, roundRobin), func(t *testing.T) {
				t.Parallel()
				log := newExecutionLog()
				cluster := newTestGroup(t, threeMembers)
				for _, options := range cluster.memberOptions {
					options.Duties = []group.Duty{{
						Name: "d", Every: executionEvery, MaxDuration: maxExecutionTime, RoundRobin: roundRobin, Execute: log.execute,
					}}
				}
				cluster.start(threeMembers...)
				for range 4 {
					giveUp(cluster, log.awaitBegin(t, anyMember).Member)
				}
				log.awaitBegin(t, anyMember)
				log.requireNoOverlap(t)
			})
		}
	}
}

// quotaInForce is what a member may use of a limit, as its user applies it.
type quotaInForce struct {
	mu        sync.Mutex
	amount    int64
	until     time.Duration
	evenShare int64
}

func (q *quotaInForce) apply(amount int64, until time.Duration, evenShare int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.amount, q.until, q.evenShare = amount, until, evenShare
}

func (q *quotaInForce) now() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if group.Boottime() < q.until {
		return q.amount
	}
	return q.evenShare
}

// assigned reports whether the leader has assigned a quota that is valid now.
func (q *quotaInForce) assigned() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.amount > 0 && group.Boottime() < q.until
}

// A member that is told to end still sends for some seconds: it must keep its part of a limit for so long. Once it
// heard no more of the group, it took the even part, while the others already had the whole limit.
func TestQuotaIsKeptWhileLeaving(t *testing.T) {
	const limit = 60_000
	cluster := newTestGroup(t, threeMembers)
	quotas := map[string]*quotaInForce{}
	for name, options := range cluster.memberOptions {
		quota := &quotaInForce{}
		quotas[name] = quota
		options.Limits = []group.Limit{{
			Name: "l", Rate: limit, Demand: func() int64 { return limit }, Apply: quota.apply,
		}}
	}
	sum := func() (total int64) {
		for _, quota := range quotas {
			total += quota.now()
		}
		return total
	}
	cluster.start(threeMembers...)
	cluster.waitFor("the limit is divided", func() bool {
		return quotas["a"].assigned() && quotas["b"].assigned() && quotas["c"].assigned() && sum() > limit*9/10
	})
	left := make(chan struct{})
	go func() { defer close(left); cluster.running["a"].Leaving() }()
	for start := time.Now(); time.Since(start) < 5*leaseLength; time.Sleep(time.Millisecond) {
		if total := sum(); total > limit {
			t.Fatalf("after %v the members use %d of %d", time.Since(start), total, limit)
		}
	}
	<-left
}

// A member uses no more than the even part of a limit from its creation on: in a hot restart its predecessor has the
// folder for some time yet.
func TestEvenShareFromTheStart(t *testing.T) {
	cluster := newTestGroup(t, threeMembers)
	share := &quotaInForce{}
	options := *cluster.memberOptions["a"]
	options.Limits = []group.Limit{{Name: "l", Rate: 60_000, Demand: func() int64 { return 0 }, Apply: share.apply}}
	group.New(options)
	if share.now() != 20_000 {
		t.Errorf("a new member may use %d of the limit of 60000 of three members", share.now())
	}
}

// A claimed lease goes to another member only when its holder claims it no more, however it has to give it up.
func TestClaimIsGivenUpByItsHolder(t *testing.T) {
	for name, giveUp := range map[string]func(cluster *testGroup, holder string){
		"leaving": func(cluster *testGroup, holder string) { cluster.running[holder].Leaving() },
		"hands over": func(cluster *testGroup, holder string) {
			ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
			defer cancel()
			_ = cluster.running[holder].HandOver(ctx, "return@7", otherThan(holder))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newTestGroup(t, threeMembers)
			var mu sync.Mutex
			holders, withdrawn := map[string]string{}, map[string]bool{}
			for member, options := range cluster.memberOptions {
				options.OnHints = func(_ []group.Hint, claimHolders map[string]string, _ time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					holders[member] = claimHolders["return@7"]
				}
				options.OnWithdraw = func([]string) {
					mu.Lock()
					defer mu.Unlock()
					withdrawn[member] = true
				}
			}
			holderOf := func(member string) string {
				mu.Lock()
				defer mu.Unlock()
				return holders[member]
			}
			cluster.start(threeMembers...)
			for _, member := range threeMembers {
				cluster.running[member].Claim([]string{"return@7"})
			}
			cluster.waitFor("the lease is held", func() bool { return holderOf("a") != "" })
			holder := holderOf("a")
			next := otherThan(holder)
			go giveUp(cluster, holder)
			cluster.waitFor("the holder is asked to give it up", func() bool {
				mu.Lock()
				defer mu.Unlock()
				return withdrawn[holder]
			})
			for start := time.Now(); time.Since(start) < 3*leaseLength; time.Sleep(5 * time.Millisecond) {
				if got := holderOf(next); got != holder {
					t.Fatalf("%q holds what %s has not given up", got, holder)
				}
			}
			cluster.running[holder].Claim(nil)
			cluster.waitFor("another member holds the lease", func() bool {
				got := holderOf(next)
				return got != "" && got != holder
			})
		})
	}
}

// A lease that is claimed before the member takes part, as in a hot restart with a destination that is out, is nothing
// to execute: the process ended with a nil pointer when it was granted.
func TestClaimBeforeTheStart(t *testing.T) {
	cluster := newTestGroup(t, threeMembers)
	var held atomic.Bool
	options := *cluster.memberOptions["a"]
	options.OnHints = func(_ []group.Hint, claimHolders map[string]string, _ time.Duration) {
		held.Store(claimHolders["return@7"] == "a")
	}
	member := group.New(options)
	member.Claim([]string{"return@7"})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); member.Run(ctx) }()
	cluster.start("b", "c")
	cluster.waitFor("the claimed lease is held", held.Load)
	time.Sleep(leaseLength) // an execution would have begun
	stop()
	<-done
}
