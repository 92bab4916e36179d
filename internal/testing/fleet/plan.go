package fleet

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"math/rand"
	"slices"
	"strings"
	"time"
)

// Step is one fault of a plan.
type Step struct {
	At      time.Duration // since the start of the plan
	Fault   string        // a key of FaultTargets
	Targets []string      // members, or expressions such as holder:DUTY and leader
	Length  time.Duration
}

// The names of faults in a plan; FaultTargets describes them.
const (
	faultKill    = "kill"
	faultKillAll = "killall"
	faultStop    = "stop"
	faultCut     = "cut"
	faultMute    = "mute"
	faultDeaf    = "deaf"
	faultPart    = "part"
	faultBridge  = "bridge"
	faultSlow    = "slow"
	faultEmpty   = "empty"
	faultOld     = "old"
	faultTerm    = "term"
	faultHand    = "hand"
	faultFull    = "full"
)

// FaultTargets maps each fault to its number of targets; -1 is one or more. A target such as holder:DUTY or
// leader is resolved to a member when the step begins.
//
//	kill M      kills the process and restarts it at the end of the step
//	killall     kills all processes at the same time and restarts them at the end of the step
//	stop M      suspends the process
//	cut M       blocks the traffic between the member and all others, both ways
//	mute M      blocks what the member sends; it still receives
//	deaf M      blocks what is sent to the member; the others still receive its traffic
//	part M ...  blocks the traffic between the named members and the others
//	bridge M N  blocks the traffic between these two members only
//	slow M      delays all traffic of the member by a random time of up to a quarter of the step's length
//	empty M     kills the process, empties its folder, and restarts it at the end of the step
//	term M      stops the process gracefully and restarts it at the end of the step
//	full M      fails each write of the process to a file, as on a full disk
//	hand M      transfers the first duty to the member by command
//	old M       kills the process, restores the folder of the plan's start, and restarts it at the end of the step
var FaultTargets = map[string]int{
	faultKill: 1, faultKillAll: 0, faultStop: 1, faultCut: 1, faultMute: 1, faultDeaf: 1, faultPart: -1,
	faultBridge: 2, faultSlow: 1,
	faultEmpty: 1, faultOld: 1,
	faultTerm: 1, faultHand: 1, faultFull: 1,
}

// String formats a step as ParsePlan reads it.
func (s Step) String() string {
	return strings.Join(append([]string{s.At.String(), s.Fault},
		append(slices.Clone(s.Targets), "for", s.Length.String())...), " ")
}

// ParsePlan reads steps, one per line: start time, fault, targets, "for", length. Text after # is a comment.
// The result is sorted by start time.
func ParsePlan(text io.Reader) ([]Step, error) {
	var plan []Step
	scanner := bufio.NewScanner(text)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		invalid := func(format string, args ...any) ([]Step, error) {
			return nil, fmt.Errorf("plan: line %d: "+format, append([]any{lineNumber}, args...)...)
		}
		if len(fields) < 4 || fields[len(fields)-2] != "for" {
			return invalid("not of the form: START FAULT [TARGET ...] for LENGTH")
		}
		var step Step
		var err error
		if step.At, err = time.ParseDuration(fields[0]); err != nil || step.At < 0 {
			return invalid("start %q is not a duration from 0 on", fields[0])
		}
		if step.Length, err = time.ParseDuration(fields[len(fields)-1]); err != nil || step.Length < 0 {
			return invalid("length %q is not a duration from 0 on", fields[len(fields)-1])
		}
		step.Fault, step.Targets = fields[1], fields[2:len(fields)-2]
		if count, ok := FaultTargets[step.Fault]; !ok {
			return invalid("unknown fault %q", step.Fault)
		} else if count >= 0 && len(step.Targets) != count || count < 0 && len(step.Targets) == 0 {
			return invalid("fault %s has %d targets", step.Fault, len(step.Targets))
		}
		plan = append(plan, step)
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan, scanner.Err()
}

// Draw makes a random plan from a seed: consecutive faults with pauses in which the group can recover. Faults
// and pauses each last between a quarter of a lease and that plus two leases. Kinds and targets are drawn
// uniformly from those given.
func Draw(seed int64, faults int, lease time.Duration, kinds, targets []string) []Step {
	rng := rand.New(rand.NewSource(seed))
	drawLength := func() time.Duration { return lease/4 + time.Duration(rng.Int63n(int64(2*lease))) }
	start := lease
	var plan []Step
	for range faults {
		step := Step{At: start, Fault: kinds[rng.Intn(len(kinds))], Length: drawLength()}
		perm := rng.Perm(len(targets))
		count := FaultTargets[step.Fault]
		if count < 0 {
			count = 1 + rng.Intn(max(1, len(targets)/2))
		}
		for _, i := range perm[:min(count, len(perm))] {
			step.Targets = append(step.Targets, targets[i])
		}
		plan = append(plan, step)
		start += step.Length + drawLength()
	}
	return plan
}
