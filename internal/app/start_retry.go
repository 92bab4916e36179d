package app

import (
	"context"
	"math"
	"os"
	"time"

	"brackendale/internal/net/failure"

	"github.com/rs/zerolog"
)

// The timing of retries during the start, for example while an address to listen on is still in use.
const (
	startRetryTimeout  = 20 * time.Second
	startRetryInterval = 50 * time.Millisecond
	// prepareRetryTimeout is shorter than the time that a predecessor, which still serves, waits for its successor.
	prepareRetryTimeout = 2 * time.Second
	noRetryTimeout      = time.Duration(math.MaxInt64)
)

// retryStart repeats an operation of the start until it succeeds, fails with an error that is not transient, or timeout
// has passed. The error is errProcessExit if a signal ends the process meanwhile, which has accepted no message yet.
func retryStart(ctx context.Context, terminate <-chan os.Signal, log zerolog.Logger, timeout time.Duration,
	operation func() error,
) error {
	started := time.Now()
	for attempt := 0; ; attempt++ {
		err := operation()
		if err == nil || !failure.Transient(err) || time.Since(started) > timeout {
			return err
		}
		if attempt == 0 {
			log.Warn().Err(err).Msg("the start is delayed by a transient error: trying again")
		}
		select {
		case <-time.After(startRetryInterval):
		case <-ctx.Done():
			return err
		case <-terminate:
			return errProcessExit
		}
	}
}
