// Package cli is the command line, with one file for each sub-command.
package cli

import "github.com/urfave/cli/v3"

// Version is the program's version; a release build sets it.
var Version = "dev"

// Command returns the program's command with all sub-commands.
func Command() *cli.Command {
	return &cli.Command{
		Name: "brackendale", Usage: "a sender that delivers messages to partner systems",
		Commands: []*cli.Command{
			serveCommand(), checkCommand(), consoleCommand(), importNginxCommand(), loadCommand(), keysCommand(),
			passwdCommand(), countCommand(), reportCommand(), controlCommand(),
			dutiesCommand(), membersCommand(), groupCommand(),
			drainCommand(), recoverCommand(),
			versionCommand(),
		},
	}
}

// usageError is the error of a command with invalid arguments. Its text is the correct usage.
type usageError string

// Error returns the usage.
func (e usageError) Error() string { return string(e) }

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "the appliance's TOML `FILE`; the platform needs none"}
}
