package fleet

import (
	"errors"
	"net"
	"strconv"
	"testing"

	"golang.org/x/sys/unix"
)

// Another program takes the port of a process while that is restarted.
func TestPortStaysReservedBetweenListeners(t *testing.T) {
	addr, err := FreePort()
	if err != nil {
		t.Fatal(err)
	}
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		if _, err := reservePort(port); !errors.Is(err, unix.EADDRINUSE) {
			t.Fatal("the port is given away:", err)
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := reservePort(port); !errors.Is(err, unix.EADDRINUSE) {
			t.Fatal("the port of a listener is given away:", err)
		}
		_ = listener.Close()
	}
}
