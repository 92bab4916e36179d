package fleet

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// hangups notices when peers end their connections, whether or not somebody reads these. All relays of a program share
// one, which is started with the first connection.
type hangups struct {
	epoll  int
	err    error
	nextID atomic.Int32
	calls  sync.Map // int32 -> func(at time.Time)
}

// sharedHangups returns the program's hangups.
var sharedHangups = sync.OnceValue(func() *hangups {
	h := &hangups{}
	if h.epoll, h.err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); h.err == nil {
		go h.run()
	}
	return h
})

// watch calls ended once, when the peer of a connection has ended it or its sending. The caller calls stop when it
// closes the connection.
func (h *hangups) watch(conn *net.TCPConn, ended func(at time.Time)) (stop func(), err error) {
	if h.err != nil {
		return nil, h.err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	id := h.nextID.Add(1)
	h.calls.Store(id, ended)
	event := unix.EpollEvent{Events: unix.EPOLLRDHUP | unix.EPOLLET, Fd: id} // the number comes back with the event
	var addErr error
	err = raw.Control(func(fd uintptr) {
		addErr = unix.EpollCtl(h.epoll, unix.EPOLL_CTL_ADD, int(fd), &event)
	})
	return func() { h.calls.Delete(id) }, errors.Join(err, addErr)
}

// run handles events until the program ends.
func (h *hangups) run() {
	const maxEvents = 128
	events := make([]unix.EpollEvent, maxEvents)
	for {
		count, err := unix.EpollWait(h.epoll, events, -1)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		now := time.Now()
		for i := range max(0, count) {
			if ended, ok := h.calls.LoadAndDelete(events[i].Fd); ok {
				ended.(func(time.Time))(now)
			}
		}
	}
}
