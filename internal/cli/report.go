package cli

import (
	"context"
	"fmt"
	"os"

	"brackendale/internal/eventlog"

	"github.com/urfave/cli/v3"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name: "report", Usage: "write the timelines of messages from the logs of one or more senders of a machine",
		ArgsUsage: "FILE...", Flags: []cli.Flag{&cli.BoolFlag{
			Name: "all", Usage: "each message, not only those without an end or with two attempts at once",
		}},
		Action: func(_ context.Context, c *cli.Command) error {
			var report eventlog.Report
			for _, name := range c.Args().Slice() {
				file, err := os.Open(name)
				if err != nil {
					return err
				}
				err = report.Read(file)
				_ = file.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
			return report.Write(c.Root().Writer, c.Bool("all"))
		},
	}
}
