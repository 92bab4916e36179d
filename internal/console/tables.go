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

// Table writes a group's leases, its members, or both; a nil list has no table.
func Table(out io.Writer, duties []group.DutyView, members []group.MemberView) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	if duties != nil {
		fmt.Fprintln(w, "duty\tholder\tepoch\tleft\tacts\twhy")
	}
	for _, duty := range duties {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d ms\t%d\t%s\n", duty.Name, cmp.Or(duty.Holder, "-"), duty.Epoch,
			duty.RemainingMs, duty.Acts, cmp.Or(duty.Reason, "-"))
	}
	if duties != nil && members != nil {
		fmt.Fprintln(w)
	}
	if members != nil {
		fmt.Fprintln(w, "member\tis\tvotes\tlife\taddress\tholds\tasked\twhy")
	}
	for _, member := range members {
		heard := "-"
		if member.SilentMs >= 0 {
			heard = fmt.Sprintf("%d ms ago", member.SilentMs)
		}
		presence := either(member.Present, either(member.Settled, "here", "new"), "away")
		vote := either(member.Leader, "leads", either(member.Voter, "yes", "no"))
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", member.Name, presence, vote, member.Incarnation,
			cmp.Or(member.Address, "-"), cmp.Or(strings.Join(member.Holds, " "), "-"), heard, cmp.Or(member.Reason, "-"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("console: %w", err)
	}
	return nil
}

// either chooses between two words.
func either(first bool, word, other string) string {
	if first {
		return word
	}
	return other
}

// redacted returns an address without its password.
func redacted(dial string) string {
	if u, err := url.Parse(dial); err == nil && u.User != nil {
		return u.Redacted()
	}
	return dial
}

// listed formats counts, sorted by name.
func listed(counts map[string]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return cmp.Or(strings.Join(list, ", "), "-")
}

// show writes a state as tables. Rates are relative to the last state, if there is one.
func show(out io.Writer, state, last *sender.State, wire *Wire) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	showMessages(w, state, cmp.Or(last, state))
	if wire != nil {
		showWire(w, wire)
	}
	fmt.Fprintln(w, "dest\ttarget\tproto\tdial\thealth\tout\tgood\tlost\tlast")
	for _, route := range state.Routes {
		health := route.Health
		if route.Excluded {
			health += " HELD"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", route.Destination, route.Name, route.Protocol,
			redacted(route.Dial), health, route.InFlight, route.Succeeded, route.Failed, route.LastOutcome)
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

// showMessages writes the counts of messages, and their rates since the last state.
func showMessages(out io.Writer, state, last *sender.State) {
	seconds := state.Now.Sub(last.Now).Seconds()
	rate := func(now, before uint64) string {
		if seconds <= 0 || now < before {
			return "-"
		}
		return fmt.Sprintf("%.1f/s", float64(now-before)/seconds)
	}
	mode := either(state.Paused, "PAUSED", "taking on")
	fmt.Fprintf(out, "%s\t%s\topen %d\tends owed %d\n\n", state.Name, mode, state.Pending, state.Unacknowledged)
	fmt.Fprintln(out, "\ttaken\trefused\tsent\tdelivered\treturned\tfailed")
	fmt.Fprintf(out, "all\t%d\t%d\t%d\t%d\t%d\t%d\n", state.Accepted, state.Rejected, state.Sent, state.Delivered,
		state.Returned, state.Failed)
	fmt.Fprintf(out, "rate\t%s\t%s\t%s\t%s\t%s\t%s\n\n",
		rate(state.Accepted, last.Accepted), rate(state.Rejected, last.Rejected), rate(state.Sent, last.Sent),
		rate(state.Delivered, last.Delivered), rate(state.Returned, last.Returned), rate(state.Failed, last.Failed))
}

func showWire(out io.Writer, wire *Wire) {
	fmt.Fprintf(out, "clients\topen\tof\tcame\tdoing\tgone\n")
	for _, name := range slices.Sorted(maps.Keys(wire.Fronts)) {
		front := wire.Fronts[name]
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%s\t%s\n", name, front.Open, front.MaxConns, front.Admitted, listed(front.ByClass),
			listed(front.EvictedOrRejected))
	}
	fmt.Fprintf(out, "timers\t%d set\t%d fired\n\n", wire.Timers, wire.Fired)
}
