package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"brackendale/internal/load"
	"brackendale/internal/testing/fleet"

	"github.com/urfave/cli/v3"
)

// minLease is the shortest lease that a run accepts.
const minLease = 200 * time.Millisecond

// drawnTargets are the members that a drawn plan may name. Lease holders and the leader have several
// entries by their roles, so that faults are applied to them more often.
var drawnTargets = []string{"holder:duty1", "leader", "a", "b", "c", "holder:duty2"}

func groupCommand() *cli.Command {
	return &cli.Command{
		Name: "group", Usage: "a group of senders with faults between them: who held what, and whether two ever did at once",
		Description: "Starts the senders itself, each link through a relay. Without --plan the faults are drawn from " +
			"--seed, and from the seeds after it.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "another `SENDER` than the one beside this program"},
			&cli.StringFlag{Name: "plan", Usage: "a `FILE` with a fault a line, such as: 2s stop holder:duty1 for 1500ms"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of the first game"},
			&cli.IntFlag{Name: "games", Value: 1, Usage: "played one after another, each with the next seed"},
			&cli.IntFlag{Name: "faults", Value: 10, Usage: "of a drawn plan"},
			&cli.StringFlag{
				Name: "kinds", Value: "kill,stop,cut,mute,deaf,part,bridge,slow",
				Usage: "of a drawn plan; also killall, empty, old, full, term, hand",
			},
			&cli.IntFlag{Name: "members", Value: 5, Usage: "of which up to 5 vote"},
			&cli.IntFlag{Name: "duties", Value: 2},
			&cli.DurationFlag{Name: "lease", Value: time.Second},
			&cli.StringFlag{Name: "cost", Usage: "no faults: what a member costs, by number of members `N,N,...`; 0 for " +
				"senders in no group"},
			&cli.StringFlag{Name: "json", Usage: "write the reports to `FILE`"},
			&cli.StringFlag{Name: "line", Usage: "write the last game's time line to `FILE`, an event a line"},
			&cli.StringFlag{Name: "png", Usage: "draw the last game into `FILE`: who held what, over the faults"},
		}, Action: runGroup,
	}
}

// runGroup runs all scenarios of one command, and fails if two members ever held one duty at the same time.
func runGroup(_ context.Context, cmd *cli.Command) error {
	program, err := senderProgram(cmd)
	if err != nil {
		return err
	}
	if cmd.Int("members") < 3 || cmd.Int("duties") < 1 || cmd.Int("games") < 1 ||
		cmd.Duration("lease") < minLease {
		return errors.New("load group: --members from 3, --duties and --games from 1, --lease from 200ms")
	}
	if list := cmd.String("cost"); list != "" {
		return measureCost(cmd, program, list)
	}
	kinds := strings.Split(cmd.String("kinds"), ",")
	for _, kind := range kinds {
		if _, ok := fleet.FaultTargets[kind]; !ok {
			return fmt.Errorf("load group: --kinds: %q is not a fault", kind)
		}
	}
	plan, err := readPlan(cmd.String("plan"))
	if err != nil {
		return err
	}
	var reports []fleet.Report
	var total fleet.Report
	var line *fleet.Timeline
	for i := range cmd.Int("games") {
		scenario := newScenario(cmd, program, int64(i))
		if scenario.Plan = plan; plan == nil {
			scenario.Plan = fleet.Draw(scenario.Seed, cmd.Int("faults"), scenario.Lease, kinds, drawnTargets)
		}
		var rep fleet.Report
		if rep, line, err = runScenario(scenario); err != nil {
			return fmt.Errorf("load group: seed %d: %w", scenario.Seed, err)
		}
		reports = append(reports, rep)
		total.Verdict.Add(rep.Verdict)
		total.Handovers = append(total.Handovers, rep.Handovers...)
		fmt.Fprintf(cmd.Root().Writer, "seed %d: %d faults, %d acts, %d refused, %d hand-overs; overlaps %d, "+
			"old epochs taken %d, epochs of two %d\n", scenario.Seed, len(scenario.Plan), rep.Verdict.Executions,
			rep.Verdict.Refused, len(rep.Handovers), rep.Verdict.Overlaps, rep.Verdict.StaleExecutions, rep.Verdict.SharedEpochs)
	}
	if err := showTotal(cmd.Root().Writer, total); err != nil {
		return err
	}
	if err := writeReport(cmd, reports); err != nil {
		return err
	}
	if err := writeTimeline(cmd, line); err != nil {
		return err
	}
	if !total.Verdict.Passed() {
		return errors.New("load group: two members held one duty at the same time")
	}
	return nil
}

// newScenario returns the scenario of a command with the index-th seed, without its fault schedule.
func newScenario(cmd *cli.Command, program string, index int64) fleet.Scenario {
	lease := cmd.Duration("lease")
	return fleet.Scenario{
		Program:       program,
		Members:       cmd.Int("members"),
		Duties:        cmd.Int("duties"),
		Lease:         lease,
		Interval:      lease / 10,
		MaxDuration:   lease / 4,
		ExecutionTime: lease / 100,
		Seed:          cmd.Int64("seed") + index,
	}
}

// readPlan reads a fault schedule from a file; it returns nil if name is empty.
func readPlan(name string) ([]fleet.Step, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("load group: %w", err)
	}
	plan, err := fleet.ParsePlan(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, fmt.Errorf("load group: %w", err)
	}
	return plan, nil
}

// writeTimeline writes the last run's timeline to the files that --line and --png name.
func writeTimeline(cmd *cli.Command, line *fleet.Timeline) error {
	if name := cmd.String("line"); name != "" {
		file, err := os.Create(name)
		if err == nil {
			err = errors.Join(line.Write(file), file.Close())
		}
		if err != nil {
			return fmt.Errorf("load group: %w", err)
		}
	}
	if name := cmd.String("png"); name != "" {
		return load.DrawGroup(name, line.Events())
	}
	return nil
}

// runScenario runs one scenario in a directory that is removed afterwards.
func runScenario(scenario fleet.Scenario) (fleet.Report, *fleet.Timeline, error) {
	dir, err := fleet.TempDir()
	if err != nil {
		return fleet.Report{}, nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	scenario.Dir = dir
	return scenario.Run()
}

// showTotal writes the totals over all runs.
func showTotal(out io.Writer, total fleet.Report) error {
	fmt.Fprintf(out, "in all: %d acts, %d of older epochs refused; overlaps %d, old epochs taken %d, epochs of two "+
		"%d\n", total.Verdict.Executions, total.Verdict.Refused,
		total.Verdict.Overlaps, total.Verdict.StaleExecutions, total.Verdict.SharedEpochs)
	for _, b := range total.Verdict.Violations {
		fmt.Fprintln(out, "  ", b)
	}
	_, err := fmt.Fprintln(out, "from the fault to the next holder's first act, ms:")
	for _, pause := range fleet.Pauses(total.Handovers) {
		_, err = fmt.Fprintf(out, "  %-8s %4d times  median %5.0f  nine tenths %5.0f  longest %5.0f\n", pause.Fault,
			pause.Count, pause.MedianMs, pause.P90Ms, pause.LongestMs)
	}
	return err
}

// costDuration is the time over which the cost of one group size is measured.
const costDuration = 10 * time.Second

// measureCost measures the CPU time, memory and traffic of a member, for each number of members in list.
func measureCost(cmd *cli.Command, program, list string) error {
	sizes, err := parseSteps(list)
	if err != nil {
		return fmt.Errorf("load group: --cost: %w", err)
	}
	for _, n := range sizes {
		dir, err := fleet.TempDir()
		if err != nil {
			return err
		}
		lease := cmd.Duration("lease")
		scenario := fleet.Scenario{
			Program: program, Dir: dir, Members: max(n, 3), Duties: 1, Lease: lease, Interval: lease,
			MaxDuration: lease / 4, Seed: 1,
		}
		memberCost, err := scenario.MeasureCost(costDuration, n == 0)
		_ = os.RemoveAll(dir)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(cmd.Root().Writer,
			"%3d members: %.2f%% of a core and %.1f MB each (the leader %.2f%%, %.1f MB), %.0f bytes/s each\n", n,
			100*memberCost.CPU,
			memberCost.RSSMB, 100*memberCost.LeaderCPU, memberCost.LeaderMB, memberCost.BytesPerS); err != nil {
			return err
		}
	}
	return nil
}
