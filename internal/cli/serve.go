package cli

import (
	"context"
	"errors"

	"brackendale/internal/app"
	"brackendale/sender"

	"github.com/urfave/cli/v3"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "serve until a signal comes", Flags: append(folderFlags(), configFlag(),
			&cli.BoolFlag{Name: "trace", Usage: "write what each step was told and did to standard error"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			trust, err := folderTrust(c)
			if err != nil {
				return err
			}
			return app.Serve(ctx, c.String("config"), app.Options{Trace: c.Bool("trace"), FolderTrust: trust})
		},
	}
}

// folderFlags returns the flags with which an operator states that the state folder was restored or moved.
func folderFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "restored", Usage: "the folder is an older state, put back from a backup: what may have " +
			"been sent since is not sent again"},
		&cli.BoolFlag{Name: "moved", Usage: "the folder is as the last life left it, though it was copied to another place"},
	}
}

// folderTrust returns what the flags of folderFlags state about the state folder.
func folderTrust(cmd *cli.Command) (sender.FolderTrust, error) {
	switch {
	case cmd.Bool("restored") && cmd.Bool("moved"):
		return sender.FolderTrusted, errors.New("--restored and --moved cannot be combined")
	case cmd.Bool("restored"):
		return sender.FolderRestored, nil
	case cmd.Bool("moved"):
		return sender.FolderMoved, nil
	}
	return sender.FolderTrusted, nil
}
