// Package console shows and controls a running sender over a local control socket. The server (console.go) reads one
// command per line and replies to each with a line of JSON (commands.go). The client (terminal.go) sends commands and
// prints the replies as tables (tables.go).
package console

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"brackendale/internal/group"
	"brackendale/internal/net/conntable"
	"brackendale/sender"

	"golang.org/x/sys/unix"
)

const (
	maxCommandBytes     = 4096 // bytes of one command
	maxClients          = 4    // further clients are disconnected at once
	idleTimeout         = time.Minute
	acceptRetryInterval = 50 * time.Millisecond // after a failed accept
)

// Reply is the reply to one command.
type Reply struct {
	Error          string          `json:"error,omitempty"`
	State          *sender.State   `json:"state,omitempty"`
	Text           string          `json:"text,omitempty"`
	TransportStats *TransportStats `json:"wire,omitempty"`

	Duties  []group.DutyView   `json:"duties,omitempty"`
	Members []group.MemberView `json:"members,omitempty"`
}

// Sources are what the console reads and controls besides the core.
type Sources struct {
	TransportStats func() TransportStats // reads the state of the connections on their own goroutine, and waits for it
	Group          *group.Group          // nil: the sender is in no group
	// Drain starts a graceful shutdown. Its error is the reason why the group does not allow it yet. nil: the command
	// drain does not exist.
	Drain func(context.Context) error
}

// TransportStats is the state of the client connections of each ingress, and of the event loop's timers.
type TransportStats struct {
	Fronts map[string]conntable.Stats `json:"fronts"`
	Timers int                        `json:"timers"` // pending
	Fired  uint64                     `json:"fired"`  // since the start
}

// InUseError reports that a process accepts connections at the path of the control socket.
type InUseError struct {
	Path string
	PID  int // process that listens at the socket; 0 if the kernel does not tell
}

// Error names the path and, if it is known, the process.
func (e *InUseError) Error() string {
	switch e.PID {
	case 0:
		return fmt.Sprintf("console: %s is in use", e.Path)
	case os.Getpid():
		return fmt.Sprintf("console: %s is in use by this process", e.Path)
	}
	return fmt.Sprintf("console: %s is in use by process %d", e.Path, e.PID)
}

// Listen opens the control socket at path and serves it until the listener is closed.
func Listen(path string, core *sender.Sender, sources Sources) (net.Listener, error) {
	listener, err := Bind(path)
	if err != nil {
		return nil, err
	}
	Serve(listener, core, sources)
	return listener, nil
}

// Bind opens the control socket at path. Only the user of this process may connect. Bind replaces the socket that a
// killed process has left, but not one that still accepts connections: the error is an *InUseError then.
func Bind(path string) (net.Listener, error) {
	if conn, err := net.Dial("unix", path); err == nil {
		defer conn.Close()
		return nil, &InUseError{Path: path, PID: listenerPID(conn)}
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("console: %s exists and is not a socket", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("console: %w", err)
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("console: %w", err), listener.Close())
	}
	return listener, nil
}

// Serve serves clients of the control socket until the listener is closed.
func Serve(listener net.Listener, core *sender.Sender, sources Sources) {
	go acceptClients(listener, core, sources)
}

// listenerPID returns the process that listens at the other end of a connection to a Unix socket, or 0.
func listenerPID(conn net.Conn) (pid int) {
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return 0
	}
	raw, err := unixConn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if peer, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED); err == nil {
			pid = int(peer.Pid)
		}
	})
	return pid
}

func acceptClients(ln net.Listener, core *sender.Sender, sources Sources) {
	slots := make(chan struct{}, maxClients)
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				serve(conn, core, sources)
			}()
		default:
			_ = conn.Close()
		}
	}
}

// serve executes the commands of one client until it disconnects, is idle for too long or a reply takes too long.
func serve(conn net.Conn, core *sender.Sender, sources Sources) {
	defer conn.Close()
	in := bufio.NewScanner(conn)
	in.Buffer(make([]byte, 0, 256), maxCommandBytes)
	out := json.NewEncoder(conn)
	for conn.SetDeadline(time.Now().Add(idleTimeout)) == nil && in.Scan() {
		reply, ok := sources.group(in.Text())
		if !ok {
			reply, ok = sources.core(core, in.Text())
		}
		if !ok || out.Encode(reply) != nil {
			return
		}
	}
}

// core executes a command on the sender's goroutine. If the reply has a state, it adds the connections and the group.
// ok is false if there was no reply in time.
func (s Sources) core(core *sender.Sender, line string) (reply Reply, ok bool) {
	done := make(chan Reply, 1)
	core.Post(func() { executeCommand(core, line, func(r Reply) { done <- r }) })
	select {
	case reply = <-done:
	case <-time.After(idleTimeout):
		return reply, false
	}
	if reply.State != nil {
		stats := s.TransportStats()
		reply.TransportStats = &stats
		if s.Group != nil {
			reply.Duties, reply.Members = s.Group.Views()
		}
	}
	return reply, true
}
