package group_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/group"
	"brackendale/internal/testing/fleet"

	"golang.org/x/sys/unix"
)

// A member whose folder was emptied, or replaced by an older copy, must not vote by the state in it: it
// would vote twice in a term, or lack committed entries. It is readmitted with an empty log instead.
// Two of three members with empty folders must not start a second group.
func TestFoldersLostAndPutBack(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	cluster.start(threeMembers...)
	cluster.awaitExecutions()
	leaderName := cluster.leader()
	affected := otherThan(leaderName)
	backup := filepath.Join(cluster.dir, "back")
	cluster.stop(affected)
	var superseded atomic.Uint64
	var incarnations []uint64 // in pairs: the stored one before the superseding one was recorded, the superseding one
	var mu sync.Mutex
	var pending sync.WaitGroup
	cluster.memberOptions[affected].OnSuperseded = func(incarnation uint64, recorded func()) {
		superseded.Store(incarnation)
		pending.Add(1)
		go func() {
			defer pending.Done()
			time.Sleep(leaseLength / 2)
			mu.Lock()
			defer mu.Unlock()
			raw, _ := os.ReadFile(filepath.Join(cluster.memberOptions[affected].Dir, "member.json"))
			var member struct{ Life uint64 }
			_ = json.Unmarshal(raw, &member)
			incarnations = append(incarnations, member.Life, incarnation)
			recorded()
		}()
	}
	if err := fleet.Backup(cluster.memberOptions[affected].Dir, backup); err != nil {
		t.Fatal(err)
	}
	cluster.start(affected)
	cluster.awaitExecutions()
	for _, replaceFolder := range []func() error{
		func() error { return fleet.Empty(cluster.memberOptions[affected].Dir) },
		func() error { return fleet.Restore(backup, cluster.memberOptions[affected].Dir) },
	} {
		cluster.awaitExecutions()
		cluster.stop(affected)
		if err := replaceFolder(); err != nil {
			t.Fatal(err)
		}
		cluster.start(affected)
		cluster.waitFor("the member votes again", func() bool { return cluster.votes(affected) })
	}
	if superseded.Load() == 0 {
		t.Error("a folder that was replaced by an older copy was not reported to OnSuperseded")
	}
	pending.Wait()
	mu.Lock()
	for i := 0; i < len(incarnations); i += 2 {
		if incarnations[i] > incarnations[i+1] {
			t.Errorf("incarnation %d was stored after incarnation %d had been seen and before that was recorded",
				incarnations[i], incarnations[i+1])
		}
	}
	mu.Unlock()
	epoch := cluster.running[leaderName].Duties()[0].Epoch
	for _, name := range threeMembers {
		cluster.stop(name)
	}
	third := otherThan(leaderName, affected)
	if err := errors.Join(
		fleet.Empty(cluster.memberOptions[affected].Dir), fleet.Empty(cluster.memberOptions[third].Dir),
	); err != nil {
		t.Fatal(err)
	}
	restartedAt := cluster.timeline.Now()
	// The member that still has its log cannot read it for a while. The others must not treat its folder
	// as empty: they would start a second group with it.
	lockedFile, err := os.Open(filepath.Join(cluster.memberOptions[leaderName].Dir, "raft", "log.db"))
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lockedFile.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	cluster.start(threeMembers...)
	cluster.waitFor("the emptied members wait for the member with the log", func() bool {
		first, second := cluster.running[affected].Duties()[0], cluster.running[third].Duties()[0]
		return strings.Contains(first.Reason, "waits for "+leaderName) &&
			strings.Contains(second.Reason, "waits for "+leaderName)
	})
	_ = lockedFile.Close()
	cluster.waitFor("the emptied members show that a recovery is needed", func() bool {
		first, second := cluster.running[affected].Duties()[0], cluster.running[third].Duties()[0]
		return strings.Contains(first.Reason, "recover") && strings.Contains(second.Reason, "recover") &&
			first.Holder+second.Holder == ""
	})
	for _, name := range threeMembers {
		cluster.stop(name)
	}
	for _, e := range cluster.timeline.Events() {
		if e.Kind == "act" && e.At > restartedAt {
			t.Fatalf("a duty was executed while a majority of the folders was empty: %+v", e)
		}
	}
	recoveredEpoch, err := group.Recover(
		cluster.memberOptions[leaderName].Dir, leaderName, cluster.memberOptions[leaderName].Voters,
	)
	if err != nil || recoveredEpoch <= epoch {
		t.Fatalf("the recovered group starts at epoch %d, the last one before was %d, %v", recoveredEpoch, epoch, err)
	}
	cluster.start(threeMembers...)
	cluster.awaitExecutions()
	for _, name := range threeMembers {
		cluster.waitFor(name+" votes", func() bool {
			for _, member := range cluster.running[name].Members() {
				if member.Name == name && member.Voter {
					return true
				}
			}
			return false
		})
	}
	if e := cluster.running[leaderName].Duties()[0].Epoch; e < recoveredEpoch {
		t.Errorf("epoch %d after the recovery is lower than the reported %d", e, recoveredEpoch)
	}
	cluster.requireOneHolder()
}

// A copy of a folder is put back whose incarnation no other member saw, since the member was isolated and then lost its
// folder: the copy had the incarnation of the emptied folder, and was not reported to OnSuperseded.
func TestRestoredFolderOfAnUnseenIncarnation(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	cluster.start(threeMembers...)
	cluster.awaitExecutions()
	affected := otherThan(cluster.leader())
	dir, backup := cluster.memberOptions[affected].Dir, filepath.Join(cluster.dir, "back")
	cluster.stop(affected)
	if err := fleet.Backup(dir, backup); err != nil {
		t.Fatal(err)
	}
	superseded := make(chan uint64, 16)
	cluster.memberOptions[affected].OnSuperseded = func(incarnation uint64, recorded func()) {
		go recorded()
		superseded <- incarnation
	}
	cluster.setIsolated(affected, true)
	cluster.start(affected)
	cluster.awaitExecutions()
	cluster.stop(affected)
	cluster.setIsolated(affected, false)
	if err := fleet.Empty(dir); err != nil {
		t.Fatal(err)
	}
	cluster.start(affected)
	cluster.waitFor("the emptied member votes", func() bool { return cluster.votes(affected) })
	cluster.stop(affected)
	if err := fleet.Restore(backup, dir); err != nil {
		t.Fatal(err)
	}
	cluster.start(affected)
	select {
	case <-superseded:
	case <-time.After(hangTimeout):
		t.Error("a folder that was replaced by an older copy was not reported to OnSuperseded")
	}
}

// The disk of the leader fails, then that of a follower, then the leader's again. The process of the
// member must not end, and no vote or entry that was not written may count. The other members
// continue, the affected one shows the reason, and votes again once its disk accepts writes.
func TestDiskFails(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	diskFull := map[string]*atomic.Bool{}
	for _, name := range threeMembers {
		diskFull[name] = &atomic.Bool{}
		group.FailStore(cluster.memberOptions[name], diskFull[name])
	}
	cluster.start(threeMembers...)
	for i := range 3 {
		cluster.awaitExecutions()
		affected := cluster.leader()
		if i == 1 { // a follower
			affected = otherThan(affected)
		}
		diskFull[affected].Store(true)
		cluster.waitFor("another member leads", func() bool { return cluster.leader() != affected })
		cluster.awaitExecutions()
		cluster.waitFor("the affected member shows the reason", func() bool {
			for _, member := range cluster.running[affected].Members() {
				if strings.Contains(member.Reason, "no space left") {
					return true
				}
			}
			return false
		})
		diskFull[affected].Store(false)
		cluster.waitFor("the affected member votes again", func() bool {
			for _, member := range cluster.running[affected].Members() {
				if member.Name == affected && member.Voter && member.Present {
					return true
				}
			}
			return false
		})
	}
	cluster.requireOneHolder()
}
