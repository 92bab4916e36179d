package fleet

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalReader reads a TCP connection with the times at which this machine's kernel received the bytes, which do not
// depend on when the reading goroutine runs.
type arrivalReader struct{ raw syscall.RawConn }

// arrivalControlSize is the room for the control message with a time, in bytes.
const arrivalControlSize = 64

// stampArrivals makes the connections that a listener accepts have times of arrival. It is set on the listener, because
// bytes that arrive before it is set on a connection have none.
func stampArrivals(ln *net.TCPListener) error {
	raw, err := ln.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	return errors.Join(err, setErr)
}

func newArrivalReader(conn *net.TCPConn) (arrivalReader, error) {
	raw, err := conn.SyscallConn()
	return arrivalReader{raw}, err
}

// read reads into data and returns when the last of the bytes arrived; zero: the kernel has no time for them.
func (r arrivalReader) read(data []byte) (size int, at time.Time, err error) {
	control := make([]byte, arrivalControlSize)
	var readErr error
	var dataBy time.Time
	err = r.raw.Read(func(fd uintptr) (done bool) {
		var controlSize int
		size, controlSize, _, _, readErr = unix.Recvmsg(int(fd), data, control, 0)
		control = control[:max(0, controlSize)]
		dataBy = lastData(int(fd))
		return !errors.Is(readErr, unix.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, time.Now(), err
	case readErr != nil:
		return 0, time.Now(), readErr
	case size == 0:
		return 0, time.Now(), io.EOF
	}
	if at = arrivalTime(control); dataBy.Before(at) {
		at = dataBy
	}
	return size, at, nil
}

// lastDataResolution is the resolution of the kernel's time of the last data, and more.
const lastDataResolution = 10 * time.Millisecond

// lastData returns a time by which all data of a socket had arrived. The time of arrival that the kernel gives with
// data is that of the end of the stream, if that came before the data was read: the kernel merges the two.
func lastData(fd int) time.Time {
	info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO)
	now := time.Now()
	if err != nil {
		return now
	}
	return now.Add(lastDataResolution - time.Duration(info.Last_data_recv)*time.Millisecond)
}

// arrivalTime returns the time in a control message, or the zero time if there is none.
func arrivalTime(control []byte) time.Time {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return time.Time{}
	}
	for _, message := range messages {
		if message.Header.Level == unix.SOL_SOCKET && message.Header.Type == unix.SO_TIMESTAMPNS {
			seconds := binary.NativeEndian.Uint64(message.Data)
			nanoseconds := binary.NativeEndian.Uint64(message.Data[8:])
			return time.Unix(int64(seconds), int64(nanoseconds))
		}
	}
	return time.Time{}
}

// peerEnded reports whether the kernel has received the peer's end of stream or reset, read or not.
func (r arrivalReader) peerEnded() bool {
	ended := true
	_ = r.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED && info.State != unix.BPF_TCP_FIN_WAIT2 &&
			info.State != unix.BPF_TCP_FIN_WAIT1
	})
	return ended
}
