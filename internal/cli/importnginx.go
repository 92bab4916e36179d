package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"brackendale/internal/config"
	"brackendale/internal/nginx"

	"github.com/urfave/cli/v3"
)

func importNginxCommand() *cli.Command {
	return &cli.Command{
		Name: "import-nginx", Usage: "turn upstream and location blocks into the appliance's TOML", ArgsUsage: "FILE",
		Flags: []cli.Flag{&cli.StringFlag{Name: "out", Usage: "write to `FILE`; standard output if absent"}},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("import-nginx: want one FILE")
			}
			return importNginx(c.Args().First(), c.String("out"), c.Root().Writer, c.Root().ErrWriter)
		},
	}
}

// importNginx converts the nginx configuration at inPath to an appliance's file, at outPath or, if that is empty, on
// out. It writes the complete result or nothing: it checks the result like serve does, and renames it into place.
func importNginx(inPath, outPath string, out, warnings io.Writer) error {
	raw, err := os.ReadFile(inPath)
	if err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	text, messages, err := nginx.Import(inPath, string(raw))
	for _, message := range messages {
		fmt.Fprintln(warnings, message)
	}
	if err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	dir, err := os.MkdirTemp("", "import-nginx")
	if err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	candidate := filepath.Join(dir, "routes.toml")
	if err := os.WriteFile(candidate, []byte(text), 0o600); err != nil {
		return fmt.Errorf("import-nginx: %w", err)
	}
	env := func(key string) string { return map[string]string{config.EnvState: dir}[key] }
	if _, err := config.Load(env, candidate); err != nil {
		return fmt.Errorf("import-nginx: the result would not be valid: %w", err)
	}
	if outPath == "" {
		_, err = io.WriteString(out, text)
		return err
	}
	temporary := outPath + ".part"
	if err = os.WriteFile(temporary, []byte(text), 0o644); err == nil {
		err = os.Rename(temporary, outPath)
	}
	if err != nil {
		return fmt.Errorf("import-nginx: %w", errors.Join(err, os.RemoveAll(temporary)))
	}
	return nil
}
