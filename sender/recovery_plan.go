package sender

import (
	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/provenance"
	"brackendale/scheduler"
)

// RecoveryPlan is what the next incarnation would do with a state folder.
type RecoveryPlan struct {
	Folder   string                         `json:"folder"`
	Problem  string                         `json:"old"` // why it is not as the last incarnation left it; empty: it is
	Counts   map[provenance.Disposition]int `json:"counts"`
	Messages []PendingMessage               `json:"owed"`
}

// PendingMessage is a message of a folder that is not in use, and what the next incarnation would
// do with it.
type PendingMessage struct {
	ID    string                 `json:"id"`
	Class string                 `json:"class"`
	Dest  int64                  `json:"dest"`
	Fate  provenance.Disposition `json:"fate"`
	End   string                 `json:"end,omitempty"` // its final answer
}

// PlanRecovery reads a folder that no process uses, and changes nothing in it. now is the steady
// clock; budget is in bytes. The error is journal.ErrLocked where a process uses the folder.
func PlanRecovery(dir, name string, trust FolderTrust, settings scheduler.Settings, budget int64,
	now clock.Instant,
) (RecoveryPlan, error) {
	entries, incarnation, err := journal.ReadEntries(dir, budget)
	if err != nil {
		return RecoveryPlan{}, err
	}
	classes := classesByName(settings)
	plan := RecoveryPlan{
		Folder:   dir,
		Problem:  folderProblem(name, trust, readEvidence(dir, incarnation, len(entries))),
		Counts:   map[provenance.Disposition]int{},
		Messages: []PendingMessage{},
	}
	for _, entry := range entries {
		fate := provenanceMessage(entry, classes[entry.Class]).Disposition(now, plan.Problem != "")
		plan.Counts[fate]++
		if fate != provenance.DispositionAcknowledged {
			plan.Messages = append(plan.Messages, PendingMessage{
				ID:    entry.ID,
				Class: entry.Class,
				Dest:  entry.Destination,
				Fate:  fate,
				End:   entry.FinalAnswer,
			})
		}
	}
	return plan, nil
}
