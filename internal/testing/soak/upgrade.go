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

// launcher owns the listening socket for clients, which all processes inherit.
type launcher struct {
	addr    string
	socket  *net.TCPListener
	file    *os.File
	control string // control address of the latest process
	ports   *fleet.Ports
}

// inheritedFD is the descriptor of the inherited socket in a process.
const inheritedFD = 3

// newLauncher opens the socket. clearNonblock: each start of a process returns the socket to blocking mode, as os/exec
// does with a file from net.TCPListener.File.
func newLauncher(clearNonblock bool, ports *fleet.Ports) (*launcher, error) {
	socket, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	created := &launcher{addr: socket.Addr().String(), socket: socket, ports: ports}
	if created.file, err = socket.File(); err != nil || clearNonblock {
		return created, err
	}
	fd, err := unix.FcntlInt(created.file.Fd(), unix.F_DUPFD_CLOEXEC, inheritedFD)
	if err != nil {
		return created, err
	}
	_ = created.file.Close()
	created.file = os.NewFile(uintptr(fd), "clients")
	return created, unix.SetNonblock(fd, true)
}

func (l *launcher) close() {
	_ = l.file.Close()
	_ = l.socket.Close()
}

// env returns the environment that makes a process use the socket, with a new control address.
func (l *launcher) env() (env []string, err error) {
	if l.control, err = l.ports.Reserve(); err != nil {
		return nil, err
	}
	return []string{fmt.Sprint("LB_ACCEPT_FD=", inheritedFD), "LB_CONTROL=" + l.control}, nil
}

// clearNonblock returns the socket to blocking mode.
func (l *launcher) clearNonblock() error {
	conn, err := l.socket.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = conn.Control(func(fd uintptr) { setErr = unix.SetNonblock(int(fd), false) })
	return errors.Join(err, setErr)
}

// ready reports whether the latest process is ready to serve.
func (l *launcher) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + l.control + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// injectUpgradeFault injects a random fault of the runs with upgrades.
func (s *simulation) injectUpgradeFault() error {
	if s.options.KillPointEnv != "" && s.rng.Intn(2) == 0 {
		return s.failStart()
	}
	switch s.rng.Intn(6) {
	case 0, 1, 2:
		return s.upgrade()
	case 3:
		s.recordAction("the socket is made a blocking one")
		return s.launcher.clearNonblock()
	case 4:
		count := 20 + s.rng.Intn(80)
		s.recordAction("%d clients that never end a command", count)
		s.runBadClients(count, s.slowClient)
	default:
		s.recordAction("SIGHUP in series")
		s.discovery.recordReload()
		for range 5 {
			_ = s.proc.Signal(syscall.SIGHUP)
		}
	}
	return nil
}

// upgrade starts a successor beside the serving process, waits until it is ready and stops the predecessor. Random
// forms add more signals or return the inherited socket to blocking mode.
func (s *simulation) upgrade() error {
	form := s.rng.Intn(4)
	s.recordAction("upgrade, form %d", form)
	ready := s.discovery.recordUpgrade()
	predecessor := s.proc
	successor, err := s.launch(s.drawFaults())
	if err != nil {
		return err
	}
	if form == 1 {
		if err := s.launcher.clearNonblock(); err != nil {
			return err
		}
	}
	startTime := time.Now()
	for !s.launcher.ready() { // the predecessor may have ended by then
		if ended, err := predecessor.Ended(); ended && err != nil {
			s.judge.Violate("crash: the old process of an upgrade ended by itself: %v\n%s", err, s.tail())
		}
		if ended, err := successor.Ended(); ended || time.Since(startTime) > upgradeReadyTimeout {
			ready()
			s.judge.Violate("ready: the new process of an upgrade is not ready after %v: %v", time.Since(startTime), err)
			successor.Kill()
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	ready()
	s.recordAction("the new process is ready after %v", time.Since(startTime).Round(time.Millisecond))
	s.proc = successor
	s.endPredecessor(predecessor, form)
	return nil
}

// endPredecessor sends SIGTERM, and SIGKILL after termToKill, the shortest time that the protocol allows.
func (s *simulation) endPredecessor(predecessor *fleet.Proc, form int) {
	signals := []syscall.Signal{syscall.SIGTERM}
	switch form {
	case 2:
		signals = []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}
	case 3:
		signals = []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}
	}
	for _, signal := range signals {
		_ = predecessor.Signal(signal)
	}
	select {
	case <-predecessor.Done():
	case <-time.After(termToKill):
		s.recordAction("the old process is still there at the kill")
		s.judge.recordKill()
	}
	predecessor.Kill()
}

// pingClientCount returns the number of clients that only send PING.
func (s *simulation) pingClientCount() int {
	if s.options.Upgrades {
		return 4
	}
	return 0
}

// pingInterval is the interval between two requests on an open connection.
const pingInterval = 30 * time.Millisecond

// pingOpenConnection sends PING on a connection that it keeps until the sender closes it, and then on another one. A
// missing reply is a violation, as the connection is open and has no other request.
func (s *simulation) pingOpenConnection(ctx context.Context) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", s.listen, replyTimeout)
		if err != nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil && s.ping(conn, reader) {
			time.Sleep(pingInterval)
		}
		_ = conn.Close()
	}
}

// ping sends one request. It returns false if the connection must be replaced.
func (s *simulation) ping(conn net.Conn, reader *bufio.Reader) bool {
	startTime := time.Now()
	_ = conn.SetDeadline(startTime.Add(badClientTimeout))
	_, _ = io.WriteString(conn, encodeCommand("PING"))
	line, err := reader.ReadString('\n')
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	if err == nil {
		s.judge.counts["pings answered"]++
		return line == pong
	}
	restarting := s.judge.down(time.Now(), badClientTimeout) || s.judge.down(startTime, badClientTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) && !restarting {
		s.judge.violate("silence: an open connection got no reply for %v", time.Since(startTime))
	}
	return false
}

// runBadClients starts count misbehaving clients in the background.
func (s *simulation) runBadClients(count int, client func()) {
	s.judge.mu.Lock()
	s.judge.floodUntil = time.Now().Add(time.Duration(count)*2*time.Millisecond + badClientTimeout)
	s.judge.mu.Unlock()
	var pending sync.WaitGroup
	for i := range count {
		pending.Add(1)
		go func() {
			defer pending.Done()
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			client()
		}()
	}
}

// slowClientInterval is the interval between two bytes of a slowClient.
const slowClientInterval = time.Millisecond

// slowClient sends a command byte by byte and never completes it: the sender must reply with an error or close the
// connection within badClientTimeout, as for other bad clients.
func (s *simulation) slowClient() {
	startTime := time.Now()
	conn, err := net.DialTimeout("tcp", s.listen, replyTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "*1\r\n$60000\r\n")
	firstLine := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(conn).ReadString('\n')
		firstLine <- line
	}()
	for {
		select {
		case line := <-firstLine:
			if strings.HasPrefix(line, "+") {
				s.judge.Violate("bad client: one that never ended its command was taken on")
			}
			s.judge.count("dribblers closed", 1)
			return
		case <-time.After(slowClientInterval):
			_, _ = io.WriteString(conn, "x")
		}
		if time.Since(startTime) > badClientTimeout+slack {
			s.checkOpenSlowClient(startTime)
			return
		}
	}
}

func (s *simulation) checkOpenSlowClient(startTime time.Time) {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	if !s.judge.down(time.Now(), badClientTimeout) && !s.judge.down(startTime, badClientTimeout) {
		s.judge.violate("bad client: one that never ends its command, begun at %.3f, is still open after %v",
			s.judge.seconds(startTime), time.Since(startTime))
	}
}
