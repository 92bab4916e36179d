package app

import (
	"context"
	"time"

	"brackendale/internal/failpoint"
)

// The timing of a graceful shutdown. The platform waits at least 3.7 s between SIGTERM and SIGKILL.
const (
	shutdownDuration = 3500 * time.Millisecond
	// noticePerClient is the time to notify one client of the shutdown and to close its connection.
	noticePerClient = 50 * time.Microsecond
	// flushDuration is the time for the core to send its last replies, and for clients to read them and close their side.
	flushDuration = 100 * time.Millisecond
)

// shutDownOnSignal waits for a signal that ends the process, then shuts down.
func (inc *incarnation) shutDownOnSignal(ctx context.Context) {
	select {
	case <-inc.signals.terminate:
	case <-ctx.Done():
		return
	}
	inc.signals.shuttingDown.Store(true)
	go inc.peers.release()
	inc.shutDown()
}

// shutDown stops the core, closes client connections as late as the time to notify all of them permits, and ends the
// incarnation.
func (inc *incarnation) shutDown() {
	inc.core.Stop(inc.core.Now().Add(shutdownDuration))
	failpoint.Reach(failpoint.ShutdownStarted)
	started := time.Now()
	time.Sleep(shutdownDuration - min(inc.noticeDuration(), shutdownDuration/2))
	failpoint.Reach(failpoint.ShutdownWaitEnded)
	stopped := make(chan bool)
	inc.loop.Post(func() {
		inc.transport.stop()
		close(stopped)
	})
	select {
	case <-stopped:
	case <-time.After(shutdownDuration - time.Since(started)):
	}
	time.Sleep(min(flushDuration, shutdownDuration-time.Since(started)))
	inc.endIncarnation(nil)
}

// noticeDuration returns the time that it may take to notify all clients of the shutdown and to close their
// connections.
func (inc *incarnation) noticeDuration() time.Duration {
	clients := make(chan int, 1)
	inc.loop.Post(func() { clients <- inc.transport.clientBudget.Used() })
	return flushDuration + time.Duration(<-clients)*noticePerClient
}
