package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"brackendale/internal/trace"

	"github.com/urfave/cli/v3"
)

func countCommand() *cli.Command {
	return &cli.Command{
		Name: "count", Usage: "add up what senders wrote under serve --trace, by destination and time",
		ArgsUsage: "FILE...", Flags: []cli.Flag{&cli.DurationFlag{
			Name: "span", Value: time.Second,
			Usage: "length of one line's time",
		}},
		Action: func(_ context.Context, c *cli.Command) error {
			counter := trace.NewSummary(c.Duration("span").Microseconds())
			for _, name := range c.Args().Slice() {
				file, err := os.Open(name)
				if err != nil {
					return err
				}
				err = counter.Read(file)
				_ = file.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
			return counter.Write(c.Root().Writer)
		},
	}
}
