// Command brackendale is the sender: see README.md.
package main

import (
	"context"
	"fmt"
	"os"

	"brackendale/internal/app"
)

func main() {
	if err := app.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "brackendale:", err)
		os.Exit(1)
	}
}
