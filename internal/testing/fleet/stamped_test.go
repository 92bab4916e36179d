package fleet

import (
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A stand-in that reads late takes a call for one that came behind its message's end.
func TestArrivalDoesNotDependOnTheReader(t *testing.T) {
	listener, err := NewStampedListener(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan *StampedConn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			t.Error(err)
		}
		stamped, _ := conn.(*StampedConn)
		accepted <- stamped
	}()
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	conn := <-accepted
	defer conn.Close()
	for range 2 {
		if _, err := io.WriteString(sender, "call"); err != nil {
			t.Fatal(err)
		}
		for pending := false; !pending; { // by now, the kernel has the bytes
			pending = pendingBytes(t, conn.TCPConn) > 0
		}
		sent := time.Now()
		time.Sleep(20 * time.Millisecond)
		if _, err := io.ReadFull(conn, make([]byte, 4)); err != nil {
			t.Fatal(err)
		}
		if late := conn.Arrival().Sub(sent); late > 0 {
			t.Errorf("the bytes count as come %v after they had arrived", late)
		}
	}
}

// A notice that is read behind the end of its connection counts as come at that end.
func TestArrivalIsNotThatOfTheEndOfTheStream(t *testing.T) {
	listener, err := NewStampedListener(nil)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sender, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	if _, err := io.WriteString(sender, "notice"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * lastDataResolution)
	ended := time.Now()
	_ = sender.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stamped, _ := conn.(*StampedConn)
	for !stamped.reader.peerEnded() { // the end has arrived, unread
		time.Sleep(time.Millisecond)
	}
	if _, err := io.ReadFull(conn, make([]byte, len("notice"))); err != nil {
		t.Fatal(err)
	}
	if late := stamped.Arrival().Sub(ended); late > 0 {
		t.Errorf("the bytes count as come %v behind the end of the stream, and came before it", late)
	}
}

// pendingBytes returns the number of bytes that have arrived and were not read.
func pendingBytes(t *testing.T, conn *net.TCPConn) (count int) {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) { count, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil {
		t.Fatal(err)
	}
	return count
}
