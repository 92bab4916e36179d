package group

import (
	"cmp"
	"context"
	"errors"
)

// HandOver has the leader move a duty to a member. It waits for the result until ctx ends.
func (g *Group) HandOver(ctx context.Context, duty, member string) error {
	return g.submit(ctx, &command{Op: opHandOver, Name: duty, Recipient: member})
}

// Revoke has the leader stop renewing the lease on a duty. It waits for the result until ctx ends.
func (g *Group) Revoke(ctx context.Context, duty string) error {
	return g.submit(ctx, &command{Op: opRevoke, Name: duty})
}

// RequestRestart requests a restart slot of each rollout in the settings, once. The error tells why
// one is not granted yet. Without a rollout in the settings it returns nil.
func (g *Group) RequestRestart(ctx context.Context) error {
	for _, rollout := range g.opt.Rollouts {
		err := g.submit(ctx, &command{
			Op:            opRestart,
			Name:          rollout.Name,
			MaxConcurrent: rollout.MaxConcurrent,
			MaxDowntimeUs: rollout.MaxDowntime.Microseconds(),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// submit sends a command to the leader with the next heartbeat, and waits for the result until ctx
// ends.
func (g *Group) submit(ctx context.Context, cmd *command) error {
	cmd.done = make(chan error, 1)
	for !g.setPendingCommand(cmd) {
		if !sleep(ctx, pollInterval) {
			return errCommandPending
		}
	}
	g.requestHeartbeat()
	select {
	case err := <-cmd.done:
		return err
	case <-ctx.Done():
		g.mu.Lock()
		if g.pendingCommand == cmd {
			g.pendingCommand = nil
		}
		reason := g.unreachableReason(g.clock())
		g.mu.Unlock()
		return errors.New("not done: " + cmp.Or(reason, "the leader has not answered"))
	}
}

// setPendingCommand makes a command the pending one. It returns false if another command is pending.
func (g *Group) setPendingCommand(cmd *command) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingCommand != nil {
		return false
	}
	g.pendingCommand = cmd
	return true
}
