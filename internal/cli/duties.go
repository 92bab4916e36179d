package cli

import (
	"context"
	"encoding/json"
	"io"

	"brackendale/internal/console"
	"brackendale/internal/group"

	"github.com/urfave/cli/v3"
)

func socketFlag() cli.Flag {
	return &cli.StringFlag{Name: "socket", Required: true, Usage: "the sender's control socket `PATH`"}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "as JSON"} }

func dutiesCommand() *cli.Command {
	return &cli.Command{
		Name: "duties", Usage: "who holds which duty of the group, and why nobody does",
		Flags: []cli.Flag{socketFlag(), jsonFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("duties, duties hand DUTY MEMBER, or duties revoke DUTY")
			}
			return groupQuery(c, "duties")
		},
		Commands: []*cli.Command{
			{
				Name: "hand", Usage: "let a member have a duty as long as it is there", ArgsUsage: "DUTY MEMBER",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Len() != 2 {
						return usageError("duties hand DUTY MEMBER")
					}
					return groupQuery(c, "hand "+c.Args().Get(0)+" "+c.Args().Get(1))
				},
			},
			{
				Name: "revoke", Usage: "let nobody renew a duty's lease: it is granted anew once it has ended", ArgsUsage: "DUTY",
				Action: func(_ context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return usageError("duties revoke DUTY")
					}
					return groupQuery(c, "revoke "+c.Args().Get(0))
				},
			},
		},
	}
}

// groupQuery sends one group command to a running sender and prints the reply.
func groupQuery(cmd *cli.Command, command string) error {
	terminal, err := console.Dial(cmd.String("socket"))
	if err != nil {
		return err
	}
	defer func() { _ = terminal.Close() }()
	reply, err := terminal.Send(command)
	if err != nil {
		return err
	}
	if !cmd.Bool("json") {
		return console.Table(cmd.Root().Writer, reply.Duties, reply.Members)
	}
	if reply.Members != nil {
		return writeJSON(cmd.Root().Writer, reply.Members)
	}
	if reply.Duties == nil {
		reply.Duties = []group.DutyView{}
	}
	return writeJSON(cmd.Root().Writer, reply.Duties)
}

func writeJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
