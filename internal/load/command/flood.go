package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"brackendale/internal/testing/fleet"

	"github.com/urfave/cli/v3"
)

func connectionFloodCommand() *cli.Command {
	return &cli.Command{
		Name: "crowd", Usage: "the clients of a dead sender, all at once at one that is just back: when they come " +
			"again, how often, until all are taken on",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "another `SENDER` than the one beside this program"},
			&cli.StringFlag{Name: "against", Usage: "a second `SENDER`, played after the first"},
			&cli.IntFlag{Name: "clients", Value: 10_000},
			&cli.FloatFlag{Name: "per-s", Value: 500, Usage: "calls a second that the partner takes"},
			&cli.DurationFlag{
				Name: "most", Value: 20 * time.Second,
				Usage: "that a client may be told to wait (retry_after_max_ms)",
			},
			&cli.DurationFlag{Name: "warm", Value: 5 * time.Second, Usage: "of ordinary traffic before the sender is killed"},
			&cli.Int64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write the reports to `FILE`"},
		}, Action: runConnectionFlood,
	}
}

// runConnectionFlood runs the connection flood against one sender after another.
func runConnectionFlood(_ context.Context, cmd *cli.Command) error {
	program, err := senderProgram(cmd)
	if err != nil {
		return err
	}
	if cmd.Int("clients") < 1 || !(cmd.Float("per-s") > 0) || cmd.Duration("most") <= 0 {
		return errors.New("load crowd: --clients, --per-s and --most must be above 0")
	}
	programs := []string{program}
	if other := cmd.String("against"); other != "" {
		programs = append(programs, other)
	}
	var all []fleet.ConnectionFloodReport
	for i, prog := range programs {
		var rep fleet.ConnectionFloodReport
		if err := sideBySide(1, func(_ int, dir string) (err error) {
			rep, err = fleet.ConnectionFlood{
				Program: prog, Dir: dir, Clients: cmd.Int("clients"), LimitPerS: cmd.Float("per-s"), WarmUp: cmd.Duration("warm"),
				MaxRetryAfter: cmd.Duration("most"),
				Seed:          cmd.Int64("seed"),
			}.Run()
			return err
		}); err != nil {
			return err
		}
		all = append(all, rep)
		if _, err := fmt.Fprintf(cmd.Root().Writer,
			"%s: %d of %d taken on within %.1f s (by the limit alone %.1f), %.1f tries each, at most %d in a tenth of a "+
				"second after the first second\n",
			[]string{"this", "against"}[i], rep.Accepted, cmd.Int("clients"), rep.LastAccepted.Seconds(),
			float64(cmd.Int("clients"))/cmd.Float("per-s"), rep.MeanSubmits, rep.PeakSubmits); err != nil {
			return err
		}
	}
	return writeReport(cmd, all)
}
