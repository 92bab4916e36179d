package cli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"brackendale/internal/console"

	"github.com/urfave/cli/v3"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "let a running sender end for a restart: as soon as its group lets it be out, with " +
			"nothing taken on meanwhile",
		Flags: []cli.Flag{socketFlag(), &cli.DurationFlag{
			Name: "within", Value: time.Minute,
			Usage: "how long the group's yes is waited for",
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return drain(ctx, c.String("socket"), c.Duration("within"), func(s string) { fmt.Fprintln(c.Root().Writer, s) })
		},
	}
}

// drainRetryInterval is the interval between two requests to drain.
const drainRetryInterval = 500 * time.Millisecond

// drain repeats the request to drain until the group allows it. It calls report with the result, and with the reason of
// a refusal each time that the reason changes.
func drain(ctx context.Context, socket string, within time.Duration, report func(string)) error {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	for lastReason := ""; ; {
		terminal, err := console.Dial(socket)
		if err != nil {
			return err
		}
		reply, err := terminal.Send("drain")
		_ = terminal.Close()
		var netErr net.Error
		switch {
		case err == nil:
			report(reply.Text)
			return nil
		case errors.As(err, &netErr):
			return err
		case err.Error() != lastReason:
			lastReason = err.Error()
			report("not yet: " + lastReason)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not allowed within %v: %s", within, lastReason)
		case <-time.After(drainRetryInterval):
		}
	}
}
