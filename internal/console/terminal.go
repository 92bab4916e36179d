package console

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"brackendale/sender"
)

const (
	replyTimeout   = 5 * time.Second
	redrawInterval = time.Second
	clearScreen    = "\x1b[H\x1b[2J" // ANSI: cursor to the first cell, erase the display

	cmdQuit = "quit" // ends the terminal; not sent to the sender
)

// Terminal is a client of the control socket. Each command has a connection of its own, since a reply does not name its
// command. It is not safe for concurrent use.
type Terminal struct {
	path     string
	unused   net.Conn      // for the next command; nil: another one is opened
	previous *sender.State // the last state that was shown, for the rates of the next one
}

// Dial connects to the control socket of a running sender.
func Dial(path string) (*Terminal, error) {
	conn, err := dial(path)
	if err != nil {
		return nil, err
	}
	return &Terminal{path: path, unused: conn}, nil
}

func dial(path string) (net.Conn, error) {
	conn, err := net.Dial("unix", path)
	if err != nil {
		return nil, fmt.Errorf("console: no sender is listening on %s: %w", path, err)
	}
	return conn, nil
}

// Close closes the connection for the next command, if one is open.
func (t *Terminal) Close() error {
	if t.unused == nil {
		return nil
	}
	return t.unused.Close()
}

// Send sends one command and returns the reply. A refused command is an error with the sender's reason.
func (t *Terminal) Send(command string) (reply Reply, err error) {
	if strings.ContainsAny(command, "\r\n") {
		return reply, errors.New("console: a command must be a single line")
	}
	conn := t.unused
	if t.unused = nil; conn == nil {
		if conn, err = dial(t.path); err != nil {
			return reply, err
		}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := fmt.Fprintln(conn, command); err != nil {
		return reply, fmt.Errorf("console: %w", err)
	}
	if err := json.NewDecoder(conn).Decode(&reply); err != nil {
		return reply, fmt.Errorf("console: %w", err)
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

// Do sends one command and writes the reply: the sender's state, its group's tables, or a text.
func (t *Terminal) Do(command string, out io.Writer) error {
	reply, err := t.Send(command)
	if err != nil {
		return err
	}
	if reply.State != nil {
		if err := writeState(out, reply.State, t.previous, reply.TransportStats); err != nil {
			return err
		}
		if t.previous = reply.State; reply.Duties != nil || reply.Members != nil {
			fmt.Fprintln(out)
		}
	}
	if reply.Duties != nil || reply.Members != nil {
		return Table(out, reply.Duties, reply.Members)
	}
	if reply.State == nil { // the reply is a text
		_, err = fmt.Fprintln(out, strings.TrimSpace(reply.Text))
	}
	return err
}

// Run redraws the screen each second and executes commands from in until quit, the end of in or the end of ctx.
func (t *Terminal) Run(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := readLines(ctx, in)
	redraw := time.NewTicker(redrawInterval)
	defer redraw.Stop()
	command, message := cmdState, ""
	for {
		var screen strings.Builder
		if err := t.Do(command, &screen); err != nil {
			var netErr net.Error
			if errors.Is(err, io.EOF) || errors.As(err, &netErr) {
				return err
			}
			message = err.Error()
		} else if _, err := fmt.Fprintf(out, "%s%s\n%s\nexclude TARGET | include TARGET | ready | telemetry | pause | "+
			"resume | duties | members | quit > ", clearScreen, &screen, message); err != nil {
			return fmt.Errorf("console: %w", err)
		} else {
			message = ""
		}
		command = cmdState
		select {
		case <-ctx.Done():
			return nil
		case <-redraw.C:
		case line, ok := <-lines:
			if !ok || line == cmdQuit || line == "q" {
				return nil
			}
			if line != "" {
				command = line
			}
		}
	}
}

// readLines sends the lines of in, without surrounding blanks, and closes the channel at the end of in or of ctx.
func readLines(ctx context.Context, in io.Reader) <-chan string {
	lines := make(chan string)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(in); scanner.Scan(); {
			select {
			case lines <- strings.TrimSpace(scanner.Text()):
			case <-ctx.Done():
				return
			}
		}
	}()
	return lines
}
