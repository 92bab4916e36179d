package app

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/testing/standin"
)

// largeBody is the size of a body that does not fit into a small buffer, in bytes.
const largeBody = 60_000

// listenUnread listens with a small receive buffer: what is not read of a large call stays in the sender's socket.
func listenUnread(t *testing.T) *net.TCPListener {
	t.Helper()
	const smallBuffer = 1024 // bytes
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// acceptCall returns the connection of the next call.
func acceptCall(t *testing.T, listener *net.TCPListener) *net.TCPConn {
	t.Helper()
	_ = listener.SetDeadline(time.Now().Add(standin.Long))
	call, err := listener.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = call.Close() })
	return call
}

// submitBody submits a message with a body of size bytes, which must be accepted.
func (env *testEnv) submitBody(id string, size int) {
	env.t.Helper()
	client, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	defer client.Close()
	params := "c=charge,t=x,d=20000,dest=7"
	fmt.Fprintf(client, "*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id,
		len(params), params, size, strings.Repeat("x", size))
	_ = client.SetReadDeadline(time.Now().Add(standin.Long))
	reply := make([]byte, len("+OK\r\n"))
	if _, err := io.ReadFull(client, reply); err != nil || string(reply) != "+OK\r\n" {
		env.t.Fatalf("%s: %q, %v", id, reply, err)
	}
}

// A call is read whole by its endpoint after its process was killed, beside the next process's attempt.
func TestBytesOfACallBehindAKill(t *testing.T) {
	endpoint := listenUnread(t)
	env := newTestEnv(t)
	env.partnerDial = endpoint.Addr().String()
	proc := env.startProcess()
	env.waitReady(proc)
	env.submitBody("m", largeBody)
	call := acceptCall(t, endpoint)
	if _, err := io.ReadFull(call, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = proc.Process.Kill()
	<-proc.exited
	_ = call.SetReadDeadline(time.Now().Add(standin.Long))
	rest, _ := io.ReadAll(call)
	if len(rest) >= largeBody {
		t.Errorf("%d bytes of the call were read behind the kill, which is all of it", len(rest))
	}
}
