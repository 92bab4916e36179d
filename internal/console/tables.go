package console

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"brackendale/internal/group"
	"brackendale/sender"
)

// Table writes tables of a group's duties, of its members, or both. A nil list has no table.
func Table(out io.Writer, duties []group.DutyView, members []group.MemberView) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	if duties != nil {
		fmt.Fprintln(w, "duty\tholder\tepoch\tleft\tacts\twhy")
	}
	for _, duty := range duties {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d ms\t%d\t%s\n", duty.Name, cmp.Or(duty.Holder, "-"), duty.Epoch,
			duty.RemainingMs, duty.Executions, cmp.Or(duty.Reason, "-"))
	}
	if duties != nil && members != nil {
		fmt.Fprintln(w)
	}
	if members != nil {
		fmt.Fprintln(w, "member\tis\tvotes\tlife\taddress\tholds\tasked\twhy")
	}
	for _, member := range members {
		heartbeat := "-"
		if member.HeartbeatAgeMs >= 0 {
			heartbeat = fmt.Sprintf("%d ms ago", member.HeartbeatAgeMs)
		}
		presence := choose(member.Present, choose(member.Settled, "here", "new"), "away")
		vote := choose(member.Leader, "leads", choose(member.Voter, "yes", "no"))
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", member.Name, presence, vote, member.Incarnation,
			cmp.Or(member.Address, "-"), cmp.Or(strings.Join(member.Holds, " "), "-"), heartbeat, cmp.Or(member.Reason, "-"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// choose returns yes if the condition is true, and no otherwise.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// redactPassword returns an address without the password that its URL may contain.
func redactPassword(dial string) string {
	if u, err := url.Parse(dial); err == nil && u.User != nil {
		return u.Redacted()
	}
	return dial
}

// formatCounts formats counts as a list, sorted by name.
func formatCounts(counts map[string]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return cmp.Or(strings.Join(list, ", "), "-")
}

// writeState writes a state as tables. Rates are relative to the previous state, if there is one.
func writeState(out io.Writer, state, previous *sender.State, stats *TransportStats) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	writeMessages(w, state, cmp.Or(previous, state))
	if stats != nil {
		writeConnections(w, stats)
	}
	fmt.Fprintln(w, "dest\ttarget\tproto\tdial\thealth\tout\tgood\tlost\tlast")
	for _, route := range state.Routes {
		health := route.Health
		if route.Excluded {
			health += " HELD"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", route.Destination, route.Name, route.Protocol,
			redactPassword(route.Dial), health, route.InFlight, route.Succeeded, route.Failed, route.LastOutcome)
	}
	fmt.Fprintln(w, "\nlast ends")
	for _, recent := range state.RecentAnswers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d ms\n", recent.At.Format(time.TimeOnly), recent.ID, recent.Class, recent.Answer,
			recent.RetryAfterMs)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// writeMessages writes the counts of messages, and their rates since the previous state.
func writeMessages(out io.Writer, state, previous *sender.State) {
	seconds := state.Now.Sub(previous.Now).Seconds()
	rate := func(now, before uint64) string {
		if seconds <= 0 || now < before {
			return "-"
		}
		return fmt.Sprintf("%.1f/s", float64(now-before)/seconds)
	}
	mode := choose(state.Paused, "PAUSED", "taking on")
	fmt.Fprintf(out, "%s\t%s\topen %d\tends owed %d\n", state.Name, mode, state.Pending, state.Unacknowledged)
	for _, front := range slices.Sorted(maps.Keys(state.WithoutFront)) {
		fmt.Fprintf(out, "%d ends owed to %s, which the file lacks\n", state.WithoutFront[front], front)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "\ttaken\trefused\tsent\tdelivered\treturned\tfailed")
	fmt.Fprintf(out, "all\t%d\t%d\t%d\t%d\t%d\t%d\n", state.Accepted, state.Rejected, state.Sent, state.Delivered,
		state.Returned, state.Failed)
	fmt.Fprintf(out, "rate\t%s\t%s\t%s\t%s\t%s\t%s\n\n",
		rate(state.Accepted, previous.Accepted), rate(state.Rejected, previous.Rejected), rate(state.Sent, previous.Sent),
		rate(state.Delivered, previous.Delivered), rate(state.Returned, previous.Returned),
		rate(state.Failed, previous.Failed))
}

// writeConnections writes the client connections of each ingress and the timers.
func writeConnections(out io.Writer, stats *TransportStats) {
	fmt.Fprintf(out, "clients\topen\tof\tcame\tdoing\tgone\n")
	for _, name := range slices.Sorted(maps.Keys(stats.Fronts)) {
		front := stats.Fronts[name]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%s\t%s\n", name, front.Open, front.MaxConns, front.Admitted,
			formatCounts(front.ByClass), formatCounts(front.EvictedOrRejected))
	}
	fmt.Fprintf(out, "timers\t%d set\t%d fired\n\n", stats.Timers, stats.Fired)
}
