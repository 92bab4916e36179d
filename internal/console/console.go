// Package console shows and steers a running sender over a local control socket: the server side answers
// commands, one a line, with one line of JSON each; the terminal side is in terminal.go.
package console

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"brackendale/internal/net/conns"
	"brackendale/sender"
)

const (
	maxLine    = 4096
	maxClients = 4
	idleLimit  = time.Minute
)

// Reply is one answer.
type Reply struct {
	Error string        `json:"error,omitempty"`
	State *sender.State `json:"state,omitempty"`
	Text  string        `json:"text,omitempty"`
	Wire  *Wire         `json:"wire,omitempty"`
}

// Wire is what the fronts show: their clients' connections, and the loop's timers.
type Wire struct {
	Fronts map[string]conns.Stats `json:"fronts"`
	Timers int                    `json:"timers"` // that are set
	Fired  uint64                 `json:"fired"`  // since the start
}

// Listen serves the control socket at path, for this user alone. A socket that a killed process left
// behind is taken over; one that still answers is not.
// wire asks the fronts' goroutine; it may wait for it.
func Listen(path string, core *sender.Sender, wire func() Wire) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("console: %s is in use", path)
	}
	if st, err := os.Lstat(path); err == nil && st.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("console: %s is there and no socket", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("console: %w", err)
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(fmt.Errorf("console: %w", err), ln.Close())
	}
	go func() {
		room := make(chan struct{}, maxClients)
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			select {
			case room <- struct{}{}:
				go func() {
					defer func() { <-room }()
					serve(c, core, wire)
				}()
			default:
				_ = c.Close()
			}
		}
	}()
	return ln, nil
}

func serve(c net.Conn, core *sender.Sender, wire func() Wire) {
	defer c.Close()
	in := bufio.NewScanner(c)
	in.Buffer(make([]byte, 0, 256), maxLine)
	for c.SetDeadline(time.Now().Add(idleLimit)) == nil && in.Scan() {
		done := make(chan Reply, 1)
		line := in.Text()
		core.Post(func() { answer(core, line, func(r Reply) { done <- r }) })
		select {
		case r := <-done:
			if r.State != nil {
				w := wire()
				r.Wire = &w
			}
			if json.NewEncoder(c).Encode(r) != nil {
				return
			}
		case <-time.After(idleLimit):
			return
		}
	}
}

// answer carries out one command on the sender's goroutine; reply hears once it stands.
func answer(core *sender.Sender, line string, reply func(Reply)) {
	name, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	done := func(err error) {
		if err != nil {
			reply(Reply{Error: err.Error()})
			return
		}
		st := core.State()
		reply(Reply{State: &st})
	}
	switch {
	case name == "state" && arg == "":
		done(nil)
	case (name == "hold" || name == "exclude" || name == "release" || name == "include") && arg != "":
		core.Exclude(strings.TrimSpace(arg), name == "hold" || name == "exclude", done)
	case name == "ready" && arg == "":
		if ok, why := core.Ready(); !ok {
			reply(Reply{Error: why})
			return
		}
		reply(Reply{Text: "ready"})
	case name == "telemetry" && arg == "":
		var text strings.Builder
		if err := core.Figures(&text); err != nil {
			done(err)
			return
		}
		reply(Reply{Text: text.String()})
	case (name == "pause" || name == "resume") && arg == "":
		core.Pause(name == "pause")
		done(nil)
	default:
		done(errors.New("commands: state, ready, telemetry, exclude TARGET (or hold), include TARGET (or release), pause, resume"))
	}
}
