package app

import (
	"context"
	"time"

	"brackendale/internal/failpoint"
)

// The times of a graceful shutdown. The platform leaves at least 3.7 s between SIGTERM and SIGKILL.
const (
	shutdownTime = 3500 * time.Millisecond
	// noticePerClient is for telling one client of the end and closing its connection.
	noticePerClient = 50 * time.Microsecond
	// flushTime is for the core's last answers, and for clients to read them and close their side.
	flushTime = 100 * time.Millisecond
)

// shutDownOnSignal waits for a signal that ends the process and shuts down.
func (inc *incarnation) shutDownOnSignal(ctx context.Context, leaveGroup func()) {
	select {
	case <-inc.signals.terminate:
	case <-ctx.Done():
		return
	}
	go leaveGroup() // other members get the leases while this sender still finishes its messages
	inc.shutDown()
}

// shutDown stops the core, closes client connections as late as they still can be told, and ends the incarnation.
func (inc *incarnation) shutDown() {
	inc.core.Stop(inc.core.Now().Add(shutdownTime))
	failpoint.Reach(failpoint.ShutdownStarted)
	began := time.Now()
	time.Sleep(shutdownTime - min(inc.noticeTime(), shutdownTime/2))
	failpoint.Reach(failpoint.ShutdownWaitEnded)
	stopped := make(chan bool)
	inc.loop.Post(func() {
		inc.transport.stop()
		close(stopped)
	})
	select {
	case <-stopped:
	case <-time.After(shutdownTime - time.Since(began)):
	}
	time.Sleep(min(flushTime, shutdownTime-time.Since(began)))
	inc.end(nil)
}

// noticeTime is what telling all clients of the end and closing their connections may take.
func (inc *incarnation) noticeTime() time.Duration {
	clients := make(chan int, 1)
	inc.loop.Post(func() { clients <- inc.transport.clientRoom.Used() })
	return flushTime + time.Duration(<-clients)*noticePerClient
}
