package platform

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"brackendale/internal/net/reactor"
)

// failOnce makes the first socket call of a kind to an address fail after armed is set.
func failOnce(t *testing.T, call reactor.SocketCall, addr string, fault *reactor.SocketFault) (armed *atomic.Bool) {
	armed = &atomic.Bool{}
	t.Cleanup(reactor.SetFaultHook(func(operation reactor.SocketCall, peer string) *reactor.SocketFault {
		if operation == call && peer == addr && armed.CompareAndSwap(true, false) {
			return fault
		}
		return nil
	}))
	return armed
}

// Reading the response to an unsafe message fails, for any reason, after the endpoint has read the message.
// It may have run and must not be sent again. Some of these errors, on a connect, prove that this machine
// lacks a resource; on a read they prove nothing.
func TestReadFailsDuringCall(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOMEM, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EIO, syscall.EPIPE,
		syscall.ENOTCONN,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			env := newTestEnv(t)
			release := make(chan bool)
			env.respond = func(http.ResponseWriter, *http.Request, string) { <-release }
			addr, _ := env.startSender()
			armed := failOnce(t, reactor.CallRead, env.endpointAddr, &reactor.SocketFault{Errno: errno})
			env.submit(addr, "charge", "once", "30000")
			receive(t, env.calls)
			armed.Store(true)
			close(release)
			if got := receive(t, env.notices); got != `{"id":"charge","state":"failed"}` {
				t.Fatal(got)
			}
			if len(env.calls) > 0 {
				t.Fatal("it was sent again")
			}
		})
	}
}

// A connect fails, for any reason. An unsafe message has not run and is sent as soon as that is possible.
func TestConnectFails(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOMEM, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EINTR,
		syscall.EAGAIN, syscall.EACCES,
		syscall.EPERM, syscall.ENETDOWN,
	} {
		for _, call := range []reactor.SocketCall{reactor.CallConnect, reactor.CallPoll} {
			t.Run(fmt.Sprint(call, " ", errno.Error()), func(t *testing.T) {
				env := newTestEnv(t)
				env.respond = respondOK
				addr, _ := env.startSender()
				failOnce(t, call, env.endpointAddr, &reactor.SocketFault{Errno: errno}).Store(true)
				env.submit(addr, "charge", "once", "30000")
				if r := receive(t, env.calls); r.Header.Get("Req-Id") != "charge" {
					t.Fatal(r.Header)
				}
			})
		}
	}
}

// The write of a request is short, or fails after any of its bytes. After a short write, the rest must
// follow. If it fails before the last byte was sent, the request cannot have run, and the unsafe message is
// sent again. The endpoint must never receive more than one complete request.
func TestWriteFailsDuringCall(t *testing.T) {
	for _, errno := range []syscall.Errno{0, syscall.ETIMEDOUT, syscall.EPIPE, syscall.ENOBUFS, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			env := newTestEnv(t)
			env.respond = respondOK
			addr, kill := env.startSender()
			fault := &reactor.SocketFault{Errno: errno}
			armed := failOnce(t, reactor.CallWrite, env.endpointAddr, fault)
			const head = "POST /events HTTP/1.1\r\nHost: \r\nReq-Id: charge-000\r\nReq-Deadline-Ms: 29999\r\n" +
				"Content-Length: 15\r\n\r\nbody charge-000"
			sent := 0
			for fault.After = 0; fault.After < len(head)+len(env.endpointAddr); fault.After += 1 + 16*min(1, int(errno)) {
				armed.Store(true)
				id := fmt.Sprintf("charge-%03d", fault.After)
				env.submit(addr, id, "once", "30000")
				if r := receive(t, env.calls); r.Header.Get("Req-Id") != id || armed.Load() {
					t.Fatal(fault.After, r.Header, armed.Load())
				}
				sent++
			}
			kill()
			if len(env.calls) > 0 || len(env.notices) > 0 {
				t.Fatal("sent twice, or failed without a call")
			}
		})
	}
}
