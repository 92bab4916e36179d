package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"brackendale/internal/access"

	"github.com/urfave/cli/v3"
)

func passwdCommand() *cli.Command {
	return &cli.Command{
		Name: "passwd", Usage: "read a password from standard input and print its hash, for [[amqp.account]]",
		Action: func(_ context.Context, c *cli.Command) error {
			line, err := bufio.NewReader(c.Root().Reader).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return fmt.Errorf("reading the password: %w", err)
			}
			hash, err := access.Hash(strings.TrimRight(line, "\r\n"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.Root().Writer, hash)
			return err
		},
	}
}
