// Package app assembles a running sender from its parts, runs it, and shuts it down.
package app

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"brackendale/internal/logsink"
	"brackendale/sender"
)

// logFlushTimeout bounds the time that the end of the process waits for the reader of its log.
const logFlushTimeout = 100 * time.Millisecond

// Options are the options of Serve.
type Options struct {
	Trace bool // write a line for each step of the scheduler to standard error
	// FolderTrust says whether the state folder is verified at the start. Where it is FolderTrusted, an appliance
	// verifies its folder all the same; under the platform it is trusted.
	FolderTrust sender.FolderTrust
}

// signals has the signals that the process receives. All incarnations of a process share them.
type signals struct {
	reload    chan os.Signal
	terminate chan os.Signal
	// shuttingDown is set once the process shuts down, after which no incarnation may follow.
	shuttingDown *atomic.Bool
}

// Serve reads the configuration and serves until ctx ends or a signal ends the process.
func Serve(ctx context.Context, file string, opt Options) error {
	// First of all: a signal that no channel is registered for kills the process.
	sig := signals{
		reload: make(chan os.Signal, 1), terminate: make(chan os.Signal, 1), shuttingDown: &atomic.Bool{},
	}
	signal.Notify(sig.reload, syscall.SIGHUP)
	signal.Notify(sig.terminate, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sig.reload)
	ended := false
	defer func() {
		if !ended { // after a hot restart SIGTERM may arrive while the process exits, and must not kill it
			signal.Stop(sig.terminate)
		}
	}()
	logOutput := logsink.New(os.Stderr)
	defer logOutput.Close(logFlushTimeout)
	var previous *incarnation
	for {
		inc, err := newIncarnation(file, opt, sig, logOutput, previous)
		if err != nil {
			return err
		}
		err = inc.runAndClose(ctx)
		previous = inc
		opt.FolderTrust = sender.FolderTrusted // the option concerns the folder as it was at the first start
		if ended = errors.Is(err, errProcessExit); ended {
			return nil
		}
		if !errors.Is(err, errJournalReclaimed) {
			return err
		}
	}
}
