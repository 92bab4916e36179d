package cli

import (
	"context"

	"brackendale/internal/app"

	"github.com/urfave/cli/v3"
)

func serveCommand() *cli.Command {
	return &cli.Command{Name: "serve", Usage: "serve until a signal comes", Flags: []cli.Flag{configFlag(),
		&cli.BoolFlag{Name: "trace", Usage: "write what each step was told and did to standard error"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return app.Serve(ctx, c.String("config"), c.Bool("trace"))
		}}
}
