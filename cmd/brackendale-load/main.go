// Command brackendale-load generates load on a sender and measures it; "brackendale load" starts it. It is a separate
// program because the code that draws and counts its results would otherwise take up memory in every sender.
package main

import (
	"context"
	"fmt"
	"os"

	"brackendale/internal/load/command"
)

func main() {
	if err := command.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "brackendale load:", err)
		os.Exit(1)
	}
}
