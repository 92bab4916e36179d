// Command brackendale runs a message sender and the tools to operate it; see README.md.
package main

import (
	"context"
	"fmt"
	"os"

	"brackendale/internal/cli"
)

func main() {
	if err := cli.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "brackendale:", err)
		os.Exit(1)
	}
}
