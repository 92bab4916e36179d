// Package command provides the command line of the load tool.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/load"

	"github.com/mattn/go-isatty"
	"github.com/schollz/progressbar/v3"
	"github.com/urfave/cli/v3"
)

// Command returns the root command with its subcommands.
func Command() *cli.Command {
	return &cli.Command{
		Name: "brackendale load", Usage: "measure how a sender bears connections and messages",
		Commands: []*cli.Command{
			{
				Name: "idle", Usage: "idle connections with a modest active load on top", Flags: idleFlags(), Action: runIdle,
				Description: "Without --addr it starts its own senders, a process of clients for each, and a partner that " +
					"delivers all.",
			},
			conformanceCommand(),
			groupCommand(),
			limitCommand(),
			massRestartCommand(),
			connectionFloodCommand(),
			{
				Name: "worker", Hidden: true, Usage: "the clients of one sender; a part of load idle",
				Action: func(ctx context.Context, cmd *cli.Command) error {
					return load.Worker(ctx, os.Stdin, cmd.Root().Writer)
				},
			},
		},
	}
}

// writeReport writes rep as JSON to the file that --json names, if any.
func writeReport(cmd *cli.Command, rep any) error {
	file := cmd.String("json")
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(rep, "", " ")
	if err == nil {
		err = os.WriteFile(file, append(raw, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}

// idleFlags returns the flags of load idle.
func idleFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "proto", Value: "amqp", Usage: "the clients' protocol: amqp or resp"},
		&cli.StringFlag{Name: "addr", Usage: "a running sender's `ADDRESS`; it must serve --dest and --class"},
		&cli.IntFlag{Name: "pid", Usage: "its process, for memory and processor time"},
		&cli.StringFlag{Name: "socket", Usage: "its console's `PATH`, for the timers that have fired"},
		&cli.IntFlag{Name: "senders", Value: 1, Usage: "how many are started where --addr is not given"},
		&cli.IntFlag{Name: "pin", Value: -1, Usage: "the `CORE` that the started senders share"},
		&cli.IntFlag{Name: "memory-mb", Value: 192, Usage: "the started senders' memory limit"},
		&cli.StringFlag{
			Name: "step", Value: "0,1000,5000,10000",
			Usage: "idle connections, step by `N,N,...`, of all senders together",
		},
		&cli.DurationFlag{Name: "each", Value: 5 * time.Second, Usage: "how long each step is measured"},
		&cli.DurationFlag{Name: "warm", Value: 2 * time.Second, Usage: "active load before the first step"},
		&cli.DurationFlag{Name: "beat", Value: 10 * time.Second, Usage: "AMQP heartbeats, in whole seconds; 0: none"},
		&cli.DurationFlag{Name: "ping", Value: 0, Usage: "between two PINGs of an idle RESP client; 0: none"},
		&cli.IntFlag{Name: "at-once", Value: 128, Usage: "connects under way for each sender"},
		&cli.BoolFlag{Name: "storms", Usage: "after the last step: all idle clients speak at once; half are reset and " +
			"come back"},
		&cli.FloatFlag{Name: "rate", Value: 200, Usage: "active messages a second"},
		&cli.IntFlag{Name: "clients", Value: 16, Usage: "active connections for each sender"},
		&cli.Int64Flag{Name: "dest", Value: 1, Usage: "the active messages' destination"},
		&cli.StringFlag{Name: "class", Value: "load", Usage: "their class; one that may be repeated is sure to fit"},
		&cli.StringFlag{Name: "exchange", Value: "messages", Usage: "the sender's AMQP exchange"},
		&cli.IntFlag{Name: "body", Value: 200, Usage: "bytes of a body"},
		&cli.StringFlag{Name: "json", Usage: "write the figures to `FILE` as well"},
		&cli.StringFlag{Name: "png", Usage: "draw latencies over connections into `FILE`"},
	}
}

// runIdle measures idle connections against a running sender or against senders that it starts.
func runIdle(ctx context.Context, cmd *cli.Command) error {
	steps, err := parseSteps(cmd.String("step"))
	if err != nil {
		return fmt.Errorf("load idle: --step: %w", err)
	}
	p := load.Plan{
		Proto: load.Proto(cmd.String("proto")), Addr: cmd.String("addr"), Pid: cmd.Int("pid"), Socket: cmd.String("socket"),
		Sources: load.Sources(8), Steps: steps, Each: cmd.Duration("each"), Warm: cmd.Duration("warm"),
		Beat: cmd.Duration("beat").Truncate(time.Second), Ping: cmd.Duration("ping"),
		Storms: cmd.Bool("storms"), AtOnce: cmd.Int("at-once"),
	}
	p.Active = load.Active{
		Proto: p.Proto, Addr: p.Addr, Rate: cmd.Float("rate"), Clients: cmd.Int("clients"), Dest: cmd.Int64("dest"),
		Class: cmd.String("class"), Exchange: cmd.String("exchange"), Body: cmd.Int("body"),
	}
	switch {
	case p.Proto != load.AMQP && p.Proto != load.RESP:
		return fmt.Errorf("load idle: --proto: %q is neither amqp nor resp", p.Proto)
	case p.Each <= 0 || p.AtOnce < 1 || !(p.Active.Rate > 0) || p.Active.Clients < 1 || cmd.Int("senders") < 1 ||
		p.Active.Body < 0:
		return errors.New("load idle: --each, --at-once, --rate, --clients and --senders must be above 0")
	}
	p.Progress = newProgress(os.Stderr)
	var rep load.Report
	if p.Addr != "" {
		rep, err = load.Run(ctx, p)
	} else {
		var self string
		if self, err = os.Executable(); err != nil {
			return fmt.Errorf("load idle: %w", err)
		}
		rep, err = load.Senders{
			Program: filepath.Join(filepath.Dir(self), "brackendale"), Worker: self, Count: cmd.Int("senders"),
			Pin: cmd.Int("pin"), MemoryMB: cmd.Int("memory-mb"), Plan: p,
			Log: os.Stderr,
		}.Run(ctx)
	}
	if err != nil {
		return err
	}
	if err := rep.Table(cmd.Root().Writer); err != nil {
		return err
	}
	if err := writeReport(cmd, rep); err != nil {
		return err
	}
	if file := cmd.String("png"); file != "" {
		return rep.Plot(file)
	}
	return nil
}

// parseSteps parses a comma-separated list of numbers of at least 0 in ascending order.
func parseSteps(text string) ([]int, error) {
	var list []int
	for f := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%q is not a number of at least 0", f)
		}
		list = append(list, n)
	}
	if !slices.IsSorted(list) {
		return nil, errors.New("the numbers must be in ascending order")
	}
	return list, nil
}

// newProgress returns a function that shows a progress bar, or nil where terminal is not a terminal.
func newProgress(terminal *os.File) func(open, want int) {
	if !isatty.IsTerminal(terminal.Fd()) {
		return nil
	}
	var bar *progressbar.ProgressBar
	previous := -1
	return func(open, want int) {
		if want != previous {
			bar, previous = progressbar.NewOptions(max(1, want), progressbar.OptionSetWriter(io.Writer(terminal)),
				progressbar.OptionSetDescription("connections"), progressbar.OptionShowCount(),
				progressbar.OptionClearOnFinish()), want
		}
		_ = bar.Set(min(open, max(1, want)))
	}
}
