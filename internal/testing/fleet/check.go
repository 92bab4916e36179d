package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Verdict is the result of checking a timeline. The check looks only at executions of duties, never at leases.
type Verdict struct {
	Executions      int      `json:"Acts"`
	Refused         int      `json:"Refused"`  // executions of an older epoch that the receiver refused
	Overlaps        int      `json:"Overlaps"` // executions of one duty that ran at the same time
	StaleExecutions int      `json:"Old"`      // executions accepted after the receiver had seen a newer epoch
	SharedEpochs    int      `json:"Shared"`   // epochs under which two members executed a duty
	Violations      []string `json:"Broken"`   // descriptions of the first maxViolations violations
}

// Passed reports whether the timeline had no violation.
func (v Verdict) Passed() bool {
	return v.Overlaps == 0 && v.StaleExecutions == 0 && v.SharedEpochs == 0
}

// maxViolations is the maximum number of violations that a verdict describes; all are counted.
const maxViolations = 10

// Check counts the executions in a timeline and the violations of mutual exclusion.
func Check(events []Event) Verdict {
	var verdict Verdict
	violate := func(count *int, format string, args ...any) {
		if *count++; len(verdict.Violations) < maxViolations {
			verdict.Violations = append(verdict.Violations, fmt.Sprintf(format, args...))
		}
	}
	type key struct {
		duty  string
		epoch uint64
	}
	underway := map[string][]Event{}
	newest, owner := map[string]uint64{}, map[key]string{}
	for _, e := range events {
		switch e.Kind {
		case EventExecution:
			verdict.Executions++
			for _, other := range underway[e.Duty] {
				violate(&verdict.Overlaps, "%v: act %d of %s, epoch %d (%s) began while act %d, epoch %d (%s) was under way",
					e.At, e.Execution, e.Duty, e.Epoch, e.Member, other.Execution, other.Epoch, other.Member)
			}
			if e.Epoch < newest[e.Duty] {
				violate(&verdict.StaleExecutions, "%v: act of %s with epoch %d (%s) was taken after epoch %d",
					e.At, e.Duty, e.Epoch, e.Member, newest[e.Duty])
			}
			newest[e.Duty] = max(newest[e.Duty], e.Epoch)
			id := key{e.Duty, e.Epoch}
			if member, ok := owner[id]; ok && member != e.Member {
				violate(&verdict.SharedEpochs, "%v: epoch %d of %s belongs to %s and to %s",
					e.At, e.Epoch, e.Duty, member, e.Member)
			}
			owner[id] = e.Member
			underway[e.Duty] = append(underway[e.Duty], e)
		case EventDone:
			underway[e.Duty] = slices.DeleteFunc(underway[e.Duty],
				func(other Event) bool { return other.ExecutionID == e.ExecutionID })
		case EventRefused:
			verdict.Refused++
		}
	}
	return verdict
}

// Handover is one change of a duty's epoch, with or without a change of its holder.
type Handover struct {
	Duty  string        `json:"duty"`
	From  string        `json:"from"`
	To    string        `json:"to"`
	Epoch uint64        `json:"epoch"`
	Fault string        `json:"fault"` // the last fault that named the holder and may be the cause; empty: none
	Took  time.Duration `json:"took"`  // from the fault to the first execution after it; without a fault, Gap
	Gap   time.Duration `json:"gap"`   // between the last execution before and the first one after
}

// Handovers lists the changes of epochs in a timeline. A fault counts as the cause if the previous holder's last
// execution was no later than a lease (and a quarter of it) after the fault began.
func Handovers(events []Event, lease time.Duration) []Handover {
	var handovers []Handover
	lastExecutions, causes := map[string]Event{}, map[string]Event{} // by duty
	for _, e := range events {
		if e.Kind == EventExecution {
			previous, known := lastExecutions[e.Duty]
			if known && e.Epoch > previous.Epoch {
				handover := Handover{
					Duty: e.Duty, From: previous.Member, To: e.Member, Epoch: e.Epoch,
					Took: e.At - previous.At, Gap: e.At - previous.At,
				}
				if cause, ok := causes[e.Duty]; ok && previous.At-cause.At < lease*5/4 {
					handover.Fault, handover.Took = cause.Kind, e.At-cause.At
				}
				handovers = append(handovers, handover)
				delete(causes, e.Duty)
			}
			if !known || e.Epoch >= previous.Epoch {
				lastExecutions[e.Duty] = e
			}
			continue
		}
		if _, ok := FaultTargets[e.Kind]; !ok {
			continue
		}
		for duty, previous := range lastExecutions {
			if e.Duty != "" && e.Duty != duty { // a requested transfer can only be the cause for its own duty
				continue
			}
			if slices.Contains(strings.Split(e.Member, "+"), previous.Member) != (e.Kind == faultHand) ||
				FaultTargets[e.Kind] <= 0 {
				causes[duty] = e
			}
		}
	}
	return handovers
}

// Add adds the verdict of another scenario.
func (v *Verdict) Add(other Verdict) {
	v.Executions, v.Refused, v.Overlaps, v.StaleExecutions, v.SharedEpochs = v.Executions+other.Executions,
		v.Refused+other.Refused, v.Overlaps+other.Overlaps, v.StaleExecutions+other.StaleExecutions,
		v.SharedEpochs+other.SharedEpochs
	v.Violations = append(v.Violations, other.Violations...)
}
