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
	calls  sync.Map                  // int32 -> func(notBefore time.Time)
	looked atomic.Pointer[time.Time] // when events were last asked for: all that had come before are handled or in hand
}

// hangupInterval is the longest time between two looks for events, if this program is not held up.
const hangupInterval = 10 * time.Millisecond

// sharedHangups returns the program's hangups.
var sharedHangups = sync.OnceValue(func() *hangups {
	h := &hangups{}
	now := time.Now()
	h.looked.Store(&now)
	if h.epoll, h.err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); h.err == nil {
		go h.run()
	}
	return h
})

// watch calls ended once, when the peer of a connection has ended it or its sending, with a time before which it had
// not: however late this program is, the end was not earlier. The caller calls stop when it closes the connection.
func (h *hangups) watch(conn *net.TCPConn, ended func(notBefore time.Time)) (stop func(), err error) {
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

// lastLook returns a time before which no unhandled event has come.
func (h *hangups) lastLook() time.Time { return *h.looked.Load() }

// run handles events until the program ends.
func (h *hangups) run() {
	const maxEvents = 128
	events := make([]unix.EpollEvent, maxEvents)
	for {
		asked := time.Now()
		count, err := unix.EpollWait(h.epoll, events, int(hangupInterval.Milliseconds()))
		if err != nil && !errors.Is(err, unix.EINTR) {
			return
		}
		for i := range max(0, count) {
			if ended, ok := h.calls.LoadAndDelete(events[i].Fd); ok {
				ended.(func(time.Time))(h.lastLook())
			}
		}
		if count < maxEvents { // otherwise there may be others that came before
			h.looked.Store(&asked)
		}
	}
}
