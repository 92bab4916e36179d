package cli

import (
	"context"
	"io"
	"os"
	"strings"

	"brackendale/internal/console"

	"github.com/urfave/cli/v3"
)

func consoleCommand() *cli.Command {
	return &cli.Command{
		Name: "console", Usage: "see and steer a running sender; with a COMMAND, carry it out and show the result",
		ArgsUsage: "[state | ready | telemetry | exclude TARGET | include TARGET | pause | resume]",
		Flags:     []cli.Flag{socketFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runTerminal(ctx, c.String("socket"), strings.Join(c.Args().Slice(), " "), c.Root().Writer)
		},
	}
}

// runTerminal executes one command. If command is empty, it executes those from standard input until its end.
func runTerminal(ctx context.Context, socket, command string, out io.Writer) error {
	client, err := console.Dial(socket)
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }()
	if command != "" {
		return client.Do(command, out)
	}
	return client.Run(ctx, os.Stdin, out)
}
