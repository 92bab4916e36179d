package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"brackendale/internal/app"
	"brackendale/internal/config"
	"brackendale/internal/group"

	"github.com/urfave/cli/v3"
)

func groupCommand() *cli.Command {
	memberCommand := func(name, usage string) *cli.Command {
		return &cli.Command{
			Name: name, Usage: usage, Flags: []cli.Flag{socketFlag(), jsonFlag()},
			Action: func(_ context.Context, c *cli.Command) error { return groupQuery(c, name) },
		}
	}
	return &cli.Command{
		Name: "group", Usage: "form a group, change who votes in it, bring it back",
		Commands: []*cli.Command{
			{
				Name: "init", Usage: "found the group at the next start without waiting for all voters of the file",
				Flags: []cli.Flag{configFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := groupConfig(c)
					if err != nil {
						return err
					}
					if err := group.Init(app.GroupDir(cfg), cfg.Group.Name, cfg.Group.Voters); err != nil {
						return err
					}
					_, err = fmt.Fprintf(c.Root().Writer, "%s founds the group at its next start\n", cfg.Group.Name)
					return err
				},
			},
			memberCommand("join", "let a running member vote"),
			memberCommand("leave", "end a running member's vote; it may still hold duties"),
			{
				Name: "recover", Usage: "where most voters are lost for good: make this member's folder the group, with " +
					"epochs above all before; no process may run in it",
				Flags: []cli.Flag{configFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := groupConfig(c)
					if err != nil {
						return err
					}
					epoch, err := group.Recover(app.GroupDir(cfg), cfg.Group.Name, cfg.Group.Voters)
					if err != nil {
						return err
					}
					_, err = fmt.Fprintf(c.Root().Writer,
						"%s alone votes now; epochs go on from %d\nempty the folder %q of every other member before it starts again\n",
						cfg.Group.Name, epoch, "group")
					return err
				},
			},
		},
	}
}

// groupConfig loads the configuration and requires the section [group].
func groupConfig(c *cli.Command) (config.Config, error) {
	cfg, err := config.Load(os.Getenv, c.String("config"))
	if err == nil && !cfg.Group.Enabled() {
		err = errors.New("the file has no section [group]")
	}
	return cfg, err
}
