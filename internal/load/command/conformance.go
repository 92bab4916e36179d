package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"brackendale/internal/load"

	"github.com/urfave/cli/v3"
)

func conformanceCommand() *cli.Command {
	return &cli.Command{
		Name: "conformance", Usage: "play the AMQP suite against a sender that it starts, and tell scene by scene",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "md", Usage: "write the table to `FILE` instead of printing it"},
			&cli.StringFlag{Name: "program", Usage: "another `SENDER` than the one beside this program"},
		},
		Action: runConformance,
	}
}

// senderProgram returns the path of the sender to test: --program, or else the one in the directory of this program.
func senderProgram(cmd *cli.Command) (string, error) {
	if program := cmd.String("program"); program != "" {
		return program, nil
	}
	self, err := os.Executable()
	if err != nil {
		return "", fmt.Errorf("load: %w", err)
	}
	return filepath.Join(filepath.Dir(self), "brackendale"), nil
}

func runConformance(ctx context.Context, cmd *cli.Command) error {
	program, err := senderProgram(cmd)
	if err != nil {
		return err
	}
	report, err := load.Conformance(ctx, program, io.Discard)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if file := cmd.String("md"); file != "" {
		f, err := os.Create(file)
		if err != nil {
			return fmt.Errorf("load conformance: %w", err)
		}
		defer f.Close()
		out = f
	}
	if err := report.Markdown(out, "brackendale load conformance --md docs/amqp-conformance.md"); err != nil {
		return fmt.Errorf("load conformance: %w", err)
	}
	if n := report.Failed(); n > 0 {
		return errors.New(fmt.Sprint("load conformance: ", n, " scenarios failed"))
	}
	return nil
}
