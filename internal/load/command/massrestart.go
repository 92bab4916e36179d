package command

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"brackendale/internal/load"
	"brackendale/internal/testing/fleet"

	"github.com/urfave/cli/v3"
)

func massRestartCommand() *cli.Command {
	return &cli.Command{
		Name: "herd", Usage: "most senders killed at once and back together, on one limit: calls against it, " +
			"refusals, the time until nothing is behind",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "another `SENDER` than the one beside this program"},
			&cli.StringFlag{Name: "against", Usage: "a second `SENDER`, played side by side"},
			&cli.IntFlag{Name: "senders", Value: 24},
			&cli.IntFlag{Name: "kill", Value: 17, Usage: "of them"},
			&cli.FloatFlag{Name: "per-s", Value: 60, Usage: "calls a second that the partner takes"},
			&cli.FloatFlag{Name: "come", Value: 48, Usage: "messages a second of all"},
			&cli.DurationFlag{Name: "warm", Value: 10 * time.Second, Usage: "before they are killed"},
			&cli.DurationFlag{Name: "out", Value: 3 * time.Second, Usage: "how long they are away"},
			&cli.DurationFlag{Name: "down", Usage: "the partner is down for so long before, and back with them"},
			&cli.StringFlag{
				Name: "folders", Value: "kept",
				Usage: "what becomes of theirs: kept, emptied, old (as they were halfway through --warm), torn",
			},
			&cli.IntFlag{Name: "waves", Value: 1, Usage: "in which they come back, a second apart"},
			&cli.BoolFlag{Name: "group", Usage: "they are a group with the limit as a duty"},
			&cli.BoolFlag{Name: "known", Usage: "each one's file says how many they are (sender.senders)"},
			&cli.IntFlag{
				Name: "games", Value: 1,
				Usage: "played one after another, each with the next seed; means and their 95% intervals are shown",
			},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of the first game"},
			&cli.StringFlag{Name: "json", Usage: "write the reports to `FILE`"},
			&cli.StringFlag{Name: "png", Usage: "draw the first game into `FILE`: calls by tenths of a second against " +
				"what the partner takes"},
			&cli.StringFlag{Name: "html", Usage: "write all of it into one `FILE` to be looked at"},
			&cli.DurationFlag{Name: "watch", Value: 14 * time.Second, Usage: "after they are back"},
		}, Action: runMassRestart,
	}
}

// runMassRestart runs mass restarts of one or two programs side by side, and writes the results.
func runMassRestart(_ context.Context, cmd *cli.Command) error {
	program, err := senderProgram(cmd)
	if err != nil {
		return err
	}
	if cmd.Int("kill") < 1 || cmd.Int("kill") > cmd.Int("senders") || !(cmd.Float("per-s") > 0) ||
		!(cmd.Float("come") > 0) {
		return errors.New("load herd: --kill from 1 to --senders, --per-s and --come above 0")
	}
	programs := []string{program}
	if other := cmd.String("against"); other != "" {
		programs = append(programs, other)
	}
	if !slices.Contains(fleet.FolderStates, cmd.String("folders")) || cmd.Int("games") < 1 || cmd.Int("waves") < 1 {
		return fmt.Errorf("load herd: --folders is one of %v, --games and --waves from 1", fleet.FolderStates)
	}
	all := make([][]fleet.MassRestartReport, len(programs)) // by program, then run
	for n := range cmd.Int("games") {
		reports := make([]fleet.MassRestartReport, len(programs))
		if err := sideBySide(len(programs), func(i int, dir string) (err error) {
			scenario := newMassRestart(cmd, programs[i], int64(n))
			scenario.Dir = dir
			reports[i], err = scenario.Run()
			return err
		}); err != nil {
			return err
		}
		for i := range reports {
			all[i] = append(all[i], reports[i])
		}
	}
	var lines []string
	for i, name := range []string{"this", "against"}[:len(programs)] {
		lines = append(lines, name+": "+massRestartSummary(all[i], cmd.Float("per-s")))
		if _, err := fmt.Fprintln(cmd.Root().Writer, lines[i]); err != nil {
			return err
		}
	}
	if file := cmd.String("html"); file != "" {
		description := fmt.Sprintf("%d of %d senders killed and back after %v, folders %s, %g messages a second, a limit "+
			"of %g calls a second, seeds from %d on.", cmd.Int("kill"), cmd.Int("senders"),
			cmd.Duration("out"), cmd.String("folders"), cmd.Float("come"), cmd.Float("per-s"), cmd.Int64("seed"))
		if err := load.MassRestartPage(file, description, lines, all, cmd.Float("per-s")); err != nil {
			return err
		}
	}
	if file := cmd.String("png"); file != "" {
		first := make([]fleet.MassRestartReport, len(all))
		for i := range all {
			first[i] = all[i][0]
		}
		if err := load.DrawMassRestart(file, first, cmd.Float("per-s")); err != nil {
			return err
		}
	}
	return writeReport(cmd, all)
}

// newMassRestart returns the mass restart scenario of a command with the index-th seed.
func newMassRestart(cmd *cli.Command, program string, index int64) fleet.MassRestart {
	return fleet.MassRestart{
		Program:          program,
		Senders:          cmd.Int("senders"),
		Kill:             cmd.Int("kill"),
		LimitPerS:        cmd.Float("per-s"),
		MessagesPerS:     cmd.Float("come"),
		WarmUp:           cmd.Duration("warm"),
		Downtime:         cmd.Duration("out"),
		EndpointDowntime: cmd.Duration("down"),
		Folders:          cmd.String("folders"),
		Waves:            cmd.Int("waves"),
		Group:            cmd.Bool("group"),
		KnownCount:       cmd.Bool("known"),
		Seed:             cmd.Int64("seed") + index,
		ObservationTime:  cmd.Duration("watch"),
	}
}

// massRestartSummary returns one line with the means over all runs.
func massRestartSummary(reports []fleet.MassRestartReport, limitPerSecond float64) string {
	var maxCalls, refused, behind []float64
	unfinished := 0
	for _, r := range reports {
		maxCalls = append(maxCalls, float64(r.PeakCalls))
		refused = append(refused, 100*float64(r.Refused)/float64(max(1, r.Calls)))
		if r.CaughtUpAfter == 0 {
			unfinished++
			continue
		}
		behind = append(behind, r.CaughtUpAfter.Seconds())
	}
	delay := "never while it was watched"
	if len(behind) > 0 {
		delay = "after " + confidenceInterval(behind) + " s"
		if unfinished > 0 {
			delay += fmt.Sprintf(" (%d of %d not while it was watched)", unfinished, len(reports))
		}
	}
	return fmt.Sprintf("%s calls in half a second at most (limit %.0f); %s%% refused in 10 s; a second's work "+
		"behind at most: %s", confidenceInterval(maxCalls), limitPerSecond/2,
		confidenceInterval(refused), delay)
}

// confidenceInterval formats a mean with half the width of its 95% confidence interval, by the t distribution for
// small samples.
func confidenceInterval(values []float64) string {
	sum, square := 0.0, 0.0
	for _, v := range values {
		sum += v
	}
	mean := sum / float64(len(values))
	if len(values) == 1 {
		return fmt.Sprintf("%.1f", mean)
	}
	for _, v := range values {
		square += (v - mean) * (v - mean)
	}
	quantile := []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26}[min(len(values)-2, 8)]
	return fmt.Sprintf("%.1f ± %.1f", mean, quantile*math.Sqrt(square/float64(len(values)-1)/float64(len(values))))
}
