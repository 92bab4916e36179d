package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"
)

// loadProgram is the load generator, an executable in the same folder as this one.
const loadProgram = "brackendale-load"

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "measure how a sender bears connections and messages (load --help)",
		SkipFlagParsing: true, HideHelp: true,
		Action: func(_ context.Context, c *cli.Command) error {
			self, err := os.Executable()
			if err != nil {
				return fmt.Errorf("load: %w", err)
			}
			program := filepath.Join(filepath.Dir(self), loadProgram)
			err = syscall.Exec(program, append([]string{loadProgram}, c.Args().Slice()...), os.Environ())
			return fmt.Errorf("load: %s: %w", program, err)
		},
	}
}
