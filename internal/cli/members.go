package cli

import (
	"context"

	"github.com/urfave/cli/v3"
)

func membersCommand() *cli.Command {
	return &cli.Command{
		Name: "members", Usage: "who is in the group, who votes, who leads", Flags: []cli.Flag{socketFlag(), jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error { return groupQuery(c, "members") },
	}
}
