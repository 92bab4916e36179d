package app

import (
	"context"
	"sync/atomic"
	"time"

	"brackendale/internal/group"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// The timing of a drain. Messages that are still open at drainTimeout stay in the journal for the next incarnation.
const (
	drainTimeout         = 20 * time.Second
	openMessagesInterval = 50 * time.Millisecond // between two checks for open messages
	openMessagesTimeout  = time.Second           // for one check
)

// drainer drains a sender for a restart: the sender accepts no more messages, finishes the open ones, and shuts down.
type drainer struct {
	core     *sender.Sender
	group    *group.Group // nil if the sender is not in a group
	log      zerolog.Logger
	shutDown func()
	started  atomic.Bool
}

// drain starts the drain and returns, or returns an error with the reason why the group does not permit this member to
// restart yet. It may be called on any goroutine, more than once.
func (d *drainer) drain(ctx context.Context) error {
	if d.group != nil {
		if err := d.group.RequestRestart(ctx); err != nil {
			return err
		}
	}
	if d.started.Swap(true) {
		return nil
	}
	d.log.Info().Msg("draining: the sender accepts no more messages and exits once none is open")
	d.core.Post(func() { d.core.Pause(true) })
	go d.shutDownWhenEmpty()
	return nil
}

// shutDownWhenEmpty shuts down once the core has no open message, or after drainTimeout.
func (d *drainer) shutDownWhenEmpty() {
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); time.Sleep(openMessagesInterval) {
		open := make(chan int, 1)
		d.core.Post(func() {
			state := d.core.State()
			open <- state.Pending + state.Unacknowledged
		})
		select {
		case count := <-open:
			if count == 0 {
				d.shutDown()
				return
			}
		case <-time.After(openMessagesTimeout):
		}
	}
	d.shutDown()
}
