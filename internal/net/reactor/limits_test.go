package reactor

import (
	"bufio"
	"errors"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A client that connects when no file descriptor is left gets the rejection instead of no reply, and open connections
// stay open. The test runs in a process of its own, whose descriptor limit it lowers.
func TestNoDescriptors(t *testing.T) {
	const key = "BRACKENDALE_TEST_DESCRIPTORS"
	if os.Getenv(key) == "" {
		c := exec.Command(os.Args[0], "-test.run=^TestNoDescriptors$", "-test.v")
		c.Env = append(os.Environ(), key+"=1")
		if out, err := c.CombinedOutput(); err != nil || !strings.Contains(string(out), "PASS") {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	r, _ := start(t)
	ln, err := r.Listen("tcp", "127.0.0.1:0", []byte("-BUSY 500\r\n"), func(*Conn) Handler { return newChanHandler() })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var clients []net.Conn
	for range 20 { // before the limit is lowered, because both ends are in this process
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, c)
	}
	var lateClients []*os.File
	for range 5 { // the later clients' sockets, opened now because no descriptor is left for them later
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
		if err != nil {
			t.Fatal(err)
		}
		lateClients = append(lateClients, os.NewFile(uintptr(fd), "client"))
	}
	time.Sleep(100 * time.Millisecond) // until the last of the 20 connections is accepted
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	probe, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	limit.Cur = uint64(probe.Fd()) // the lowest free descriptor, so that no more can be opened
	_ = probe.Close()
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	port := ln.Addr().(*net.TCPAddr).Port
	for i, f := range lateClients {
		fd := int(f.Fd())
		if err := syscall.Connect(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			t.Fatal(err)
		}
		_ = syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &syscall.Timeval{Sec: 10})
		b := make([]byte, 64)
		if n, err := syscall.Read(fd, b); err != nil || string(b[:n]) != "-BUSY 500\r\n" {
			t.Fatalf("later client %d: %q %v", i, b[:max(n, 0)], err)
		}
	}
	for _, c := range clients { // still open
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("an open connection was closed:", err)
		}
	}
}

// A connection flood is accepted at the configured rate, and time without connections is credited up to a tenth of a
// second.
func TestAcceptRate(t *testing.T) {
	var p pacer
	for _, start := range []time.Duration{time.Hour, 2 * time.Hour} {
		admitted, now := 0, start
		for ; now < start+time.Second; admitted++ {
			now += p.wait(now, 1000)
		}
		if admitted < 1090 || admitted > 1110 {
			t.Fatal("connections accepted in a second:", admitted)
		}
	}
}

// Peers that never read share a limit of unsent bytes: above it, a connection that is written to is closed, and that of
// a peer that reads stays open.
func TestPeersThatNeverRead(t *testing.T) {
	r, onLoop := start(t)
	r.maxUnsentTotal = 256 << 10
	var mu sync.Mutex
	var conns []*Conn
	opened := make(chan bool, 10)
	ln, err := r.Listen("tcp", "127.0.0.1:0", nil, func(c *Conn) Handler {
		mu.Lock()
		conns = append(conns, c)
		mu.Unlock()
		opened <- true
		return newChanHandler()
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		<-opened
		return c
	}
	reader := dial()
	defer reader.Close()
	for range 4 {
		defer dial().Close()
	}
	closed := 0
	for range 2000 {
		onLoop(func() {
			for _, c := range conns[1:] {
				if !c.IsClosing() && errors.Is(c.Write(make([]byte, 8<<10)), errUnsent) {
					closed++
					c.Close()
				}
			}
		})
		if r.unsent.Load() > r.maxUnsentTotal+4*(8<<10) {
			t.Fatal("more bytes are unsent than the limit allows:", r.unsent.Load())
		}
	}
	if closed == 0 {
		t.Fatal("no connection was closed")
	}
	onLoop(func() { err = conns[0].Write([]byte("still here\n")) })
	if line, readErr := bufio.NewReader(reader).ReadString('\n'); err != nil || readErr != nil || line != "still here\n" {
		t.Fatal(line, err, readErr)
	}
	onLoop(func() {
		for _, c := range conns {
			c.Close()
		}
	})
	onLoop(func() {}) // until the closes are handled
	if n := r.unsent.Load(); n != 0 {
		t.Fatal("unsent bytes of ended connections are still counted:", n)
	}
}

// A single failed accept among many successful ones hardly delays the connections in the backlog; while every accept
// fails, the pauses grow to their maximum.
func TestPauseAfterAFailedAccept(t *testing.T) {
	if first := acceptPause(0); first > time.Millisecond {
		t.Error("the first:", first)
	}
	last := time.Duration(0)
	for n := range 100 {
		d := acceptPause(n)
		if d < last || d > maxAcceptPause {
			t.Errorf("after %d: %v", n, d)
		}
		last = d
	}
	if last != maxAcceptPause {
		t.Error("the longest:", last)
	}
}
