package group

import (
	"errors"
	"fmt"
	"os"
	"time"

	"brackendale/internal/lease"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// recoverEpochStep is by how much the epochs are raised when a group is recovered: more epochs than a
// group can have granted.
const recoverEpochStep = 1 << 32

// Init marks a folder so that its member starts the group at its next start without the consent of the
// other voters of the settings. It is for a first start at which some of them are unavailable.
func Init(dir, name string, voters map[string]string) error {
	stored, err := readFolder(dir, name, voters)
	if err != nil {
		return err
	}
	defer stored.close()
	if _, err := os.Stat(raftDir(dir)); err == nil || stored.Started {
		return errAlreadyStarted
	}
	if voters[name] == "" {
		return errUnlisted
	}
	stored.Forced = true
	return stored.save()
}

// Recover turns one member's folder into the start of a group in which this member is the only voter.
// It is for a site that has lost a majority of its voters for good. Log entries that the others
// committed without this member are lost. The epochs of the new group are higher than any that the
// old one can have granted; Recover returns the lowest of them. It fails while a process has the
// folder locked.
func Recover(dir, name string, voters map[string]string) (epoch uint64, err error) {
	if voters[name] == "" {
		return 0, errUnlisted
	}
	stored, err := readFolder(dir, name, voters)
	if err != nil {
		return 0, err
	}
	defer stored.close()
	bolt, err := openBolt(dir)
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, bolt.Close()) }()
	snapshots, err := openSnapshots(dir, hclog.NewNullLogger())
	if err != nil {
		return 0, err
	}
	g := New(Options{Name: name, Terms: lease.Terms{Length: time.Second}, Log: zerolog.Nop()})
	machine := &stateMachine{table: lease.NewTable(), raiseEpoch: true}
	_, transport := raft.NewInmemTransport(raft.ServerAddress(name))
	err = raft.RecoverCluster(g.raftConfig(), machine, bolt, bolt, snapshots, transport,
		raftConfiguration([]string{name}))
	if err != nil {
		return 0, fmt.Errorf("group: recover: %w", err)
	}
	stored.Voter, stored.Started, stored.FirstStartVoters, stored.Forced = true, true, nil, false
	return machine.table.Epoch + 1, stored.save()
}
