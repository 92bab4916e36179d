// Package commands lists command lines for golden files. Only tests import it.
package commands

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// List walks a tree of commands as the program builds it: each command with its words and texts, and below it each of
// its flags with names, kind, default and usage.
func List(root *cli.Command) string {
	var out strings.Builder
	list(&out, root, "")
	return out.String()
}

func list(out *strings.Builder, command *cli.Command, path string) {
	path = strings.TrimSpace(path + " " + command.Name)
	fmt.Fprintf(out, "%s\n  usage: %q\n  arguments: %q\n", path, command.Usage, command.ArgsUsage)
	if command.Description != "" {
		fmt.Fprintf(out, "  description: %q\n", command.Description)
	}
	if len(command.Aliases) > 0 {
		fmt.Fprintf(out, "  aliases: %v\n", command.Aliases)
	}
	if command.Hidden || command.SkipFlagParsing || command.HideHelp {
		fmt.Fprintf(out, "  hidden %v, flags skipped %v, help hidden %v\n",
			command.Hidden, command.SkipFlagParsing, command.HideHelp)
	}
	for _, f := range command.Flags {
		flag(out, f)
	}
	for _, sub := range command.Commands {
		list(out, sub, path)
	}
}

func flag(out *strings.Builder, option cli.Flag) {
	fmt.Fprintf(out, "  --%s", strings.Join(option.Names(), ", --"))
	if d, ok := option.(cli.DocGenerationFlag); ok {
		fmt.Fprintf(out, " %s, default %q, value %q, usage %q", d.TypeName(), d.GetDefaultText(), d.GetValue(), d.GetUsage())
		if vars := d.GetEnvVars(); len(vars) > 0 {
			fmt.Fprintf(out, ", variables %v", vars)
		}
	}
	if r, ok := option.(cli.RequiredFlag); ok && r.IsRequired() {
		fmt.Fprint(out, ", required")
	}
	if v, ok := option.(cli.VisibleFlag); ok && !v.IsVisible() {
		fmt.Fprint(out, ", hidden")
	}
	fmt.Fprintln(out)
}
