package fleet

import (
	"net"
	"testing"
	"time"
)

// A program that is held up takes the end of a call for a later one, and the next call for one beside it.
func TestEndOfACallIsNotDatedLate(t *testing.T) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for range 20 {
		caller, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.AcceptTCP()
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan time.Time, 1)
		stop, err := sharedHangups().watch(accepted, func(notBefore time.Time) { ended <- notBefore })
		if err != nil {
			t.Fatal(err)
		}
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		closed := time.Now()
		notBefore := <-ended
		if notBefore.After(closed) {
			t.Errorf("the end counts as %v later than it was", notBefore.Sub(closed))
		}
		if notBefore.IsZero() {
			t.Error("the end has no time")
		}
		stop()
		_ = accepted.Close()
	}
}
