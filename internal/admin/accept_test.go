package admin

import (
	"net"
	"syscall"
	"testing"
)

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	errno     syscall.Errno
	remaining int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.remaining--; l.remaining >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.errno}
	}
	return l.Listener.Accept()
}

// After temporary errors of accept the server still accepts connections.
func TestAcceptIsRetried(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.ECONNABORTED,
		syscall.EPERM, syscall.EPROTO,
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := serve(&failingListener{Listener: ln, errno: errno, remaining: 3}, nil, "text/plain")
		if status, body := sendRequest(t, ln.Addr().String(), "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 ||
			body != "starting\n" {
			t.Errorf("%v: %d %q", errno, status, body)
		}
		_ = s.Close()
	}
}
