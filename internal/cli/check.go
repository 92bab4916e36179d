package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"brackendale/internal/config"

	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "read and check the configuration", Flags: []cli.Flag{configFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := config.Load(os.Getenv, c.String("config"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer,
				"ok: %s, %d classes, %d endpoints; of %d descriptors %d for clients, %d for targets\n",
				cfg.Name, len(cfg.Settings.Classes), len(cfg.Endpoints.Hosts), cfg.Limits.Sockets, cfg.ClientSockets(),
				cfg.TargetSockets())
			for name, expires := range cfg.TLSConfigs.ExpiringCertificates(time.Now()) {
				if err == nil {
					_, err = fmt.Fprintf(c.Root().Writer, "renew the certificate of %s: it expires on %s\n", name,
						expires.Format(time.DateOnly))
				}
			}
			return err
		},
	}
}
