package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"brackendale/internal/clock"
	"brackendale/internal/config"
	"brackendale/internal/provenance"
	"brackendale/sender"

	"github.com/urfave/cli/v3"
)

func recoverCommand() *cli.Command {
	return &cli.Command{
		Name: "recover", Usage: "what starting senders on folders that are not in use would lead to: sent, told, told " +
			"again, doubtful", ArgsUsage: "FOLDER...",
		Flags: append(folderFlags(), configFlag(), jsonFlag(),
			&cli.BoolFlag{Name: "plan", Usage: "read and print only; it is all that this command does"},
			&cli.BoolFlag{Name: "all", Usage: "a line for each message too"}),
		Action: recoverPlan,
	}
}

// recoverPlan prints what a start on each of the state folders would do with their messages. It changes nothing.
func recoverPlan(_ context.Context, cmd *cli.Command) error {
	if !cmd.Bool("plan") || !cmd.Args().Present() {
		return usageError("recover --plan --config FILE FOLDER...")
	}
	trust, err := folderTrust(cmd)
	if err != nil {
		return err
	}
	if trust == sender.FolderTrusted {
		trust = sender.FolderVerified
	}
	var plans []sender.RecoveryPlan
	for _, dir := range cmd.Args().Slice() {
		cfg, err := config.Load(func(key string) string {
			if key == config.EnvState {
				return dir
			}
			return os.Getenv(key)
		}, cmd.String("config"))
		if err != nil {
			return err
		}
		plan, err := sender.PlanRecovery(dir, cfg.Name, trust, cfg.Settings, int64(cfg.JournalMB()*(1<<20)), clock.Steady())
		if err != nil {
			return fmt.Errorf("%s: %w", dir, err)
		}
		plans = append(plans, plan)
	}
	if cmd.Bool("json") {
		return json.NewEncoder(cmd.Root().Writer).Encode(plans)
	}
	return printPlans(cmd.Root().Writer, plans, cmd.Bool("all"))
}

// printPlans prints a line of counts for each folder and, if all is set, a line for each message.
func printPlans(out io.Writer, plans []sender.RecoveryPlan, all bool) error {
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	columns := []provenance.Disposition{
		provenance.DispositionContinue, provenance.DispositionNotify, provenance.DispositionNotifyAgain,
		provenance.DispositionAmbiguous, provenance.DispositionExpired, provenance.DispositionAcknowledged,
	}
	fmt.Fprint(table, "folder")
	for _, disposition := range columns {
		fmt.Fprintf(table, "\t%s", disposition)
	}
	fmt.Fprintln(table, "\tas the last life left it")
	for _, plan := range plans {
		fmt.Fprint(table, plan.Folder)
		for _, disposition := range columns {
			fmt.Fprintf(table, "\t%d", plan.Counts[disposition])
		}
		if plan.Problem == "" {
			fmt.Fprintln(table, "\tyes")
		} else {
			fmt.Fprintf(table, "\tNO: %s\n", plan.Problem)
		}
		if !all {
			continue
		}
		for _, message := range plan.Messages {
			fmt.Fprintf(table, "  %s\t%s\t%s\tdest %d\t%s\n", message.ID, message.Disposition, message.Class,
				message.Destination, message.FinalAnswer)
		}
	}
	return table.Flush()
}
