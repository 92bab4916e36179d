package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// toldWait is the Retry-After of the endpoint in the test below.
const toldWait = 2 * time.Second

// A call of the old process arrives whole within a Retry-After that the new process has received, and the reverse.
func TestRetryAfterAcrossAHotRestart(t *testing.T) {
	for name, sizes := range map[string][2]int{
		"received by the new process": {largeBody, 1}, "received by the old process": {1, largeBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := listenUnread(t)
			env := newTestEnv(t)
			env.partnerDial = endpoint.Addr().String()
			first := env.startProcess()
			env.waitReady(first)
			for i := range 10 { // until the endpoint may have two calls at once
				env.submitBody(fmt.Sprint("before-", i), 1)
				answerCall(t, acceptCall(t, endpoint), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
			env.submitBody("first", sizes[0])
			answered := acceptCall(t, endpoint)
			env.waitReady(env.startProcess())
			env.submitBody("second", sizes[1])
			unread := acceptCall(t, endpoint)
			if sizes[0] == largeBody {
				answered, unread = unread, answered
			}
			if hasEnded(t, unread) {
				t.Fatal("the two calls are not out at once")
			}
			answerCall(t, answered,
				fmt.Sprintf("HTTP/1.1 429 W\r\nX-Backoff-Ms: %d\r\nContent-Length: 0\r\n\r\n", toldWait.Milliseconds()))
			for told := time.Now(); !hasEnded(t, unread); time.Sleep(time.Millisecond) {
				if time.Since(told) > toldWait {
					t.Fatal("the other process's call can still arrive at the end of the wait")
				}
			}
		})
	}
}

// answerCall reads a call and answers it.
func answerCall(t *testing.T, call *net.TCPConn, answer string) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(call))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(call, answer)
}

// hasEnded reports whether the peer of a connection has ended it, whether or not its bytes were read.
func hasEnded(t *testing.T, conn *net.TCPConn) (ended bool) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return ended
}
