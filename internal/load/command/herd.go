package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"brackendale/internal/fleet"

	"github.com/urfave/cli/v3"
)

func herdCommand() *cli.Command {
	return &cli.Command{Name: "herd", Usage: "most senders killed at once and back together, on one limit: calls against it, refusals, the time until nothing is behind",
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
			&cli.BoolFlag{Name: "empty", Usage: "their folders are emptied"},
			&cli.DurationFlag{Name: "watch", Value: 14 * time.Second, Usage: "after they are back"},
		}, Action: playHerd}
}

func playHerd(_ context.Context, c *cli.Command) error {
	program, err := sender(c)
	if err != nil {
		return err
	}
	if c.Int("kill") < 1 || c.Int("kill") > c.Int("senders") || !(c.Float("per-s") > 0) || !(c.Float("come") > 0) {
		return errors.New("load herd: --kill from 1 to --senders, --per-s and --come above 0")
	}
	programs := []string{program}
	if x := c.String("against"); x != "" {
		programs = append(programs, x)
	}
	reps := make([]fleet.HerdReport, len(programs))
	if err := sideBySide(len(programs), func(i int, dir string) (err error) {
		reps[i], err = fleet.Herd{Program: programs[i], Dir: dir, Senders: c.Int("senders"), Kill: c.Int("kill"), PerS: c.Float("per-s"), Come: c.Float("come"),
			Warm: c.Duration("warm"), Out: c.Duration("out"), Down: c.Duration("down"), Empty: c.Bool("empty"), Watch: c.Duration("watch")}.Play()
		return err
	}); err != nil {
		return err
	}
	for i, r := range reps {
		behind := "not while it was watched"
		if r.Behind > 0 {
			behind = fmt.Sprintf("after %.1f s", r.Behind.Seconds())
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s: %d calls in half a second at most (limit %.0f); %d of %d refused in 10 s (%.1f%%); a second's work behind at most: %s\n",
			[]string{"this", "against"}[i], r.Most, c.Float("per-s")/2, r.Refused, r.Calls, 100*float64(r.Refused)/float64(max(1, r.Calls)), behind); err != nil {
			return err
		}
	}
	return nil
}
