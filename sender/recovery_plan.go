package sender

import (
	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/provenance"
	"brackendale/scheduler"
)

// RecoveryPlan is what the next incarnation would do with the messages of a state folder.
type RecoveryPlan struct {
	Folder string `json:"folder"`
	// Problem is why the folder is not as the previous incarnation left it; empty: it is.
	Problem  string                         `json:"old"`
	Counts   map[provenance.Disposition]int `json:"counts"`
	Messages []PendingMessage               `json:"owed"`
}

// PendingMessage is a message of a folder that is not in use whose final answer is not acknowledged, and
// what the next incarnation would do with it.
type PendingMessage struct {
	ID          string                 `json:"id"`
	Class       string                 `json:"class"`
	Destination int64                  `json:"dest"`
	Disposition provenance.Disposition `json:"fate"`
	FinalAnswer string                 `json:"end,omitempty"` // empty: none yet
}

// PlanRecovery reads a folder that no process uses, without changing it. maxBytes is the disk budget
// of the journal and now the time of the steady clock. The error is journal.ErrLocked if a process
// uses the folder.
func PlanRecovery(dir, name string, trust FolderTrust, settings scheduler.Settings, maxBytes int64,
	now clock.Instant,
) (RecoveryPlan, error) {
	entries, incarnation, err := journal.ReadEntries(dir, maxBytes)
	if err != nil {
		return RecoveryPlan{}, err
	}
	classes := classesByName(settings)
	plan := RecoveryPlan{
		Folder:   dir,
		Problem:  folderProblem(name, trust, readFolderState(dir, incarnation, len(entries))),
		Counts:   map[provenance.Disposition]int{},
		Messages: []PendingMessage{},
	}
	for _, entry := range entries {
		class := acceptedClass(classes[entry.Class], entry)
		disposition := provenanceMessage(entry, class).Disposition(now, plan.Problem != "")
		plan.Counts[disposition]++
		if disposition != provenance.DispositionAcknowledged {
			plan.Messages = append(plan.Messages, PendingMessage{
				ID:          entry.ID,
				Class:       entry.Class,
				Destination: entry.Destination,
				Disposition: disposition,
				FinalAnswer: entry.FinalAnswer,
			})
		}
	}
	return plan, nil
}
