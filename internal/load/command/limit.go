package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"brackendale/internal/testing/fleet"

	"github.com/urfave/cli/v3"
)

func limitCommand() *cli.Command {
	return &cli.Command{
		Name: "limit", Usage: "senders on one limit, as a group and side by side without one: how much of it is used, " +
			"and how many calls are refused",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "another `SENDER` than the one beside this program"},
			&cli.IntFlag{Name: "senders", Value: 6, Usage: "of which one has half of the traffic"},
			&cli.FloatFlag{Name: "per-s", Value: 60, Usage: "calls a second that the partner takes"},
			&cli.FloatFlag{Name: "demand", Value: 1.2, Usage: "messages handed in, in limits"},
			&cli.DurationFlag{Name: "down", Usage: "the partner is down for so long first: calls that it ends meanwhile, " +
				"and what it takes after"},
			&cli.BoolFlag{Name: "cold", Usage: "with --down: it comes back cold, and falls again under too many calls"},
			&cli.StringFlag{Name: "meet", Usage: "with --down: a `FAULT` (kill, stop, cut) that the member which alone " +
				"tries meets just as the partner is back"},
			&cli.IntFlag{Name: "kill", Value: 4, Usage: "senders that are killed after the first phase"},
			&cli.DurationFlag{Name: "warm", Value: 8 * time.Second, Usage: "before each phase"},
			&cli.DurationFlag{Name: "each", Value: 15 * time.Second, Usage: "how long a phase is measured"},
		}, Action: runLimit,
	}
}

// runLimit runs the same traffic with a group and without one, and prints both.
func runLimit(_ context.Context, cmd *cli.Command) error {
	program, err := senderProgram(cmd)
	if err != nil {
		return err
	}
	if cmd.Int("senders") < 3 || cmd.Int("kill") < 0 || cmd.Int("kill") >= cmd.Int("senders") ||
		!(cmd.Float("per-s") > 0) || !(cmd.Float("demand") > 0) {
		return errors.New("load limit: --senders from 3, --kill under that, --per-s and --demand above 0")
	}
	if fault := cmd.String("meet"); fault != "" && (fleet.FaultTargets[fault] != 1 || cmd.Duration("down") == 0) {
		return fmt.Errorf("load limit: --meet: %q is not a fault of a single member, or --down is missing", fault)
	}
	out := make([][]fleet.Phase, 2)
	if err := sideBySide(2, func(i int, dir string) (err error) {
		out[i], err = fleet.LimitScenario{
			Program: program, Dir: dir, Senders: cmd.Int("senders"), LimitPerS: cmd.Float("per-s"), Demand: cmd.Float("demand"),
			Group: i == 0, WarmUp: cmd.Duration("warm"), PhaseLength: cmd.Duration("each"),
			EndpointDowntime: cmd.Duration("down"),
			ColdReturn:       cmd.Bool("cold"), ProbeFault: cmd.String("meet"), Kill: cmd.Int("kill"),
		}.Run()
		return err
	}); err != nil {
		return err
	}
	for i, phase := range out[0] {
		if _, err := fmt.Fprintf(cmd.Root().Writer,
			"%-18s as a group: %.3f of the limit used, %.1f%% of calls refused, %.2f/s while down, %d falls, tried by "+
				"one alone %d times; without: %.3f, %.1f%%, %.2f/s, %d\n",
			phase.Name, phase.Used, 100*phase.Refused, phase.Lost, phase.Collapses, phase.SoleProbes, out[1][i].Used,
			100*out[1][i].Refused,
			out[1][i].Lost, out[1][i].Collapses); err != nil {
			return err
		}
	}
	return nil
}

// sideBySide calls run count times concurrently, each time with its own temporary directory.
func sideBySide(count int, run func(i int, dir string) error) error {
	errs := make([]error, count)
	var done sync.WaitGroup
	for i := range count {
		done.Add(1)
		go func() {
			defer done.Done()
			dir, err := fleet.TempDir()
			if err == nil {
				defer func() { _ = os.RemoveAll(dir) }()
				err = run(i, dir)
			}
			errs[i] = err
		}()
	}
	done.Wait()
	return errors.Join(errs...)
}
