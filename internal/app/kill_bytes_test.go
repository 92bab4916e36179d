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

// A call is read whole by its endpoint after its process was killed, beside the next process's attempt.
func TestBytesOfACallBehindAKill(t *testing.T) {
	const (
		bodySize    = 60_000
		smallBuffer = 1024 // bytes: the call stays in the process's socket
	)
	endpoint, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer endpoint.Close()
	raw, err := endpoint.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	env := newTestEnv(t)
	env.partnerDial = endpoint.Addr().String()
	proc := env.startProcess()
	env.waitReady(proc)
	client, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	body := strings.Repeat("x", bodySize)
	params := "c=charge,t=x,d=20000,dest=7"
	fmt.Fprintf(client, "*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$1\r\nm\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(params),
		params, bodySize, body)
	_ = client.SetReadDeadline(time.Now().Add(standin.Long))
	if _, err := io.ReadFull(client, make([]byte, len("+OK\r\n"))); err != nil {
		t.Fatal(err)
	}
	call, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer call.Close()
	if _, err := io.ReadFull(call, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = proc.Process.Kill()
	<-proc.exited
	_ = call.SetReadDeadline(time.Now().Add(standin.Long))
	rest, _ := io.ReadAll(call)
	if len(rest) >= bodySize {
		t.Errorf("%d bytes of the call were read behind the kill, which is all of it", len(rest))
	}
}
