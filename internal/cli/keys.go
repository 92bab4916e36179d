package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/config"

	"github.com/urfave/cli/v3"
)

// The default validity of certificates, in days.
const (
	caDays   = 3650
	certDays = 397
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "make, take back and list the site's certificates",
		Commands: []*cli.Command{
			keysInitCommand(), keysServerCommand(), keysClientCommand(), keysRevokeCommand(), keysShowCommand(),
		},
	}
}

func keysDirFlag() cli.Flag {
	return &cli.StringFlag{Name: "dir", Value: "keys", Usage: "the site's `FOLDER` of keys"}
}

func daysFlag(days int) cli.Flag {
	return &cli.IntFlag{Name: "days", Value: days, Usage: "how long it holds"}
}

func keysInitCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "make the site's CA", Flags: []cli.Flag{
			keysDirFlag(), daysFlag(caDays),
			&cli.StringFlag{Name: "name", Value: "brackendale site", Usage: "what the CA is called"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := certs.CreateAuthority(c.String("dir"), c.String("name"), c.Int("days"), time.Now); err != nil {
				return err
			}
			return listKeys(c.Root().Writer, c.String("dir"))
		},
	}
}

func keysServerCommand() *cli.Command {
	return &cli.Command{
		Name: "server", Usage: "sign a certificate for a listener", ArgsUsage: "NAME-OR-ADDRESS...",
		Flags: []cli.Flag{keysDirFlag(), daysFlag(certDays)},
		Action: func(_ context.Context, c *cli.Command) error {
			site, err := certs.OpenAuthority(c.String("dir"), time.Now)
			if err != nil {
				return err
			}
			files, err := site.IssueServer(c.Args().Slice(), c.Int("days"))
			if err != nil {
				return err
			}
			return printFiles(c.Root().Writer, files)
		},
	}
}

func keysClientCommand() *cli.Command {
	return &cli.Command{
		Name: "client", Usage: "sign a certificate that stands for a user", ArgsUsage: "USER",
		Flags: []cli.Flag{keysDirFlag(), daysFlag(certDays)},
		Action: func(_ context.Context, c *cli.Command) error {
			site, err := certs.OpenAuthority(c.String("dir"), time.Now)
			if err != nil {
				return err
			}
			files, err := site.IssueClient(c.Args().First(), c.Int("days"))
			if err != nil {
				return err
			}
			return printFiles(c.Root().Writer, files)
		},
	}
}

func keysRevokeCommand() *cli.Command {
	return &cli.Command{
		Name: "revoke", Usage: "take a certificate back", ArgsUsage: "FILE", Flags: []cli.Flag{keysDirFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			site, err := certs.OpenAuthority(c.String("dir"), time.Now)
			if err != nil {
				return err
			}
			if err := site.Revoke(c.Args().First()); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, "revoked; a running sender takes it up at SIGHUP")
			return err
		},
	}
}

func keysShowCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "list what is there, and when it expires", Flags: []cli.Flag{keysDirFlag()},
		Action: func(_ context.Context, c *cli.Command) error { return listKeys(c.Root().Writer, c.String("dir")) },
	}
}

// printFiles prints the paths of a signed certificate and its key.
func printFiles(out io.Writer, files certs.Files) error {
	_, err := fmt.Fprintf(out, "%s\n%s\n", files.Cert, files.Key)
	return err
}

// listKeys prints the certificates of a folder as a table.
func listKeys(out io.Writer, dir string) error {
	list, err := certs.List(dir, time.Now())
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "FILE\tKIND\tNAME\tCALLED BY\tEXPIRES\tSTATE")
	for _, cert := range list {
		state := fmt.Sprintf("%d days left", int(cert.TimeLeft/(24*time.Hour)))
		switch {
		case cert.Revoked:
			state = "revoked"
		case cert.TimeLeft <= 0:
			state = "EXPIRED"
		case cert.TimeLeft < config.RenewBefore:
			state += ", renew"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", cert.File, cert.Kind, cert.Name, strings.Join(cert.Names, " "),
			cert.NotAfter.Format(time.DateOnly), state)
	}
	return table.Flush()
}
