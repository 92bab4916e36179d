package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"brackendale/internal/testing/fleet"

	"golang.org/x/sys/unix"
)

// launcher holds the clients' socket, which all processes inherit.
type launcher struct {
	addr    string
	socket  *net.TCPListener
	file    *os.File
	control string // the second address of the last process
}

// inheritedFD is the clients' socket in a process.
const inheritedFD = 3

// newLauncher listens. clears: each start returns the socket to blocking mode, as os/exec does with a file from
// net.TCPListener.File.
func newLauncher(clears bool) (*launcher, error) {
	socket, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	l := &launcher{addr: socket.Addr().String(), socket: socket}
	if l.file, err = socket.File(); err != nil || clears {
		return l, err
	}
	plain, err := unix.FcntlInt(l.file.Fd(), unix.F_DUPFD_CLOEXEC, inheritedFD)
	if err != nil {
		return l, err
	}
	_ = l.file.Close()
	l.file = os.NewFile(uintptr(plain), "clients")
	return l, unix.SetNonblock(plain, true)
}

func (l *launcher) close() {
	_ = l.file.Close()
	_ = l.socket.Close()
}

// env lets a process take the socket, and gives it a second address.
func (l *launcher) env() (env []string, err error) {
	if l.control, err = fleet.FreePort(); err != nil {
		return nil, err
	}
	return []string{fmt.Sprint("LB_ACCEPT_FD=", inheritedFD), "LB_CONTROL=" + l.control}, nil
}

// clearNonblock returns the socket to blocking mode.
func (l *launcher) clearNonblock() error {
	raw, err := l.socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.SetNonblock(int(fd), false) })
	return errors.Join(err, failed)
}

// ready tells whether the last process serves.
func (l *launcher) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + l.control + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// upgradeTrouble is one of the troubles of a day with upgrades.
func (w *world) upgradeTrouble() error {
	switch w.rng.Intn(6) {
	case 0, 1, 2:
		return w.upgrade()
	case 3:
		w.act("the socket is made a blocking one")
		return w.launcher.clearNonblock()
	case 4:
		n := 20 + w.rng.Intn(80)
		w.act("%d clients that never end a command", n)
		w.crowdOf(n, w.dribble)
	default:
		w.act("SIGHUP in series")
		w.discovery.recordReload()
		for range 5 {
			_ = w.proc.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

// upgrade starts a new process beside the one that serves and ends that, by signals in series in some, and by SIGKILL
// at the earliest.
func (w *world) upgrade() error {
	form := w.rng.Intn(4)
	w.act("upgrade, form %d", form)
	ready := w.discovery.recordUpgrade()
	old := w.proc
	next, err := w.launch(w.drawFaults())
	if err != nil {
		return err
	}
	if form == 1 {
		if err := w.launcher.clearNonblock(); err != nil {
			return err
		}
	}
	began := time.Now()
	for !w.launcher.ready() { // the old process may have left by then
		if ended, err := old.Ended(); ended && err != nil {
			w.judge.Violate("crash: the old process of an upgrade ended by itself: %v\n%s", err, w.tail())
		}
		if ended, err := next.Ended(); ended || time.Since(began) > upgradeReadyDue {
			ready()
			w.judge.Violate("ready: the new process of an upgrade is not ready after %v: %v", time.Since(began), err)
			next.Kill()
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	ready()
	w.act("the new process is ready after %v", time.Since(began).Round(time.Millisecond))
	w.proc = next
	w.endPredecessor(old, form)
	return nil
}

// endPredecessor sends SIGTERM, and SIGKILL at the page's earliest.
func (w *world) endPredecessor(old *fleet.Proc, form int) {
	signals := []syscall.Signal{syscall.SIGTERM}
	switch form {
	case 2:
		signals = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}
	case 3:
		signals = []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}
	}
	for _, s := range signals {
		_ = old.Signal(s)
	}
	select {
	case <-old.Done():
	case <-time.After(termToKill):
		w.act("the old process is still there at the kill")
		w.judge.recordKill()
	}
	old.Kill()
}

// openClients is how many clients only ask whether the sender is there.
func (w *world) openClients() int {
	if w.options.Upgrades {
		return 4
	}
	return 0
}

// pingGap is between two requests of an open connection.
const pingGap = 30 * time.Millisecond

// pingOpenConnection sends PING on a connection that it keeps until the sender closes it, and then on another one. A
// reply that does not come is a broken rule: the connection is open, and nothing is asked but that.
func (w *world) pingOpenConnection(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", w.listen, answerWait)
		if err != nil {
			continue
		}
		in := bufio.NewReader(conn)
		for ctx.Err() == nil && w.ping(conn, in) {
			time.Sleep(pingGap)
		}
		_ = conn.Close()
	}
}

// ping sends one request; false: the connection has ended.
func (w *world) ping(conn net.Conn, in *bufio.Reader) bool {
	began := time.Now()
	_ = conn.SetDeadline(began.Add(badClientDue))
	_, _ = io.WriteString(conn, command("PING"))
	line, err := in.ReadString('\n')
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	if err == nil {
		w.judge.counts["pings answered"]++
		return line == pong
	}
	isDown := w.judge.down(time.Now(), badClientDue) || w.judge.down(began, badClientDue)
	if errors.Is(err, os.ErrDeadlineExceeded) && !isDown {
		w.judge.violate("silence: an open connection got no reply for %v", time.Since(began))
	}
	return false
}

// crowdOf runs clients that misbehave, in the background.
func (w *world) crowdOf(count int, client func()) {
	w.judge.mu.Lock()
	w.judge.floodUntil = time.Now().Add(time.Duration(count)*2*time.Millisecond + badClientDue)
	w.judge.mu.Unlock()
	var all sync.WaitGroup
	for i := range count {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			client()
		}()
	}
}

// dribbleGap is between two bytes of a client that never ends its command.
const dribbleGap = time.Millisecond

// dribble is a client that never ends its command, and sends a byte now and then: the sender must answer an error or
// close in the time that it has for other bad clients.
func (w *world) dribble() {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", w.listen, answerWait)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "*1\r\n$60000\r\n")
	closed := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		closed <- line
	}()
	for {
		select {
		case line := <-closed:
			if strings.HasPrefix(line, "+") {
				w.judge.Violate("bad client: one that never ended its command was taken on")
			}
			w.judge.count("dribblers closed", 1)
			return
		case <-time.After(dribbleGap):
			_, _ = io.WriteString(conn, "x")
		}
		if time.Since(began) > badClientDue+slack {
			w.judgeOpenDribbler(began)
			return
		}
	}
}

func (w *world) judgeOpenDribbler(began time.Time) {
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	if !w.judge.down(time.Now(), badClientDue) && !w.judge.down(began, badClientDue) {
		w.judge.violate("bad client: one that never ends its command is still open after %v", time.Since(began))
	}
}
