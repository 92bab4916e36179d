package group

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// minHelloTimeout is the lower bound of the timeout of a hello.
	minHelloTimeout = 500 * time.Millisecond

	// acceptRetryDelay is the pause after a failure to accept a connection.
	acceptRetryDelay = 50 * time.Millisecond
)

// helloTimeout returns how long a hello and its reply may take.
func (g *Group) helloTimeout() time.Duration {
	return max(g.leaseFraction(replyTimeoutFraction), minHelloTimeout)
}

// addressOf returns the address of another member: by this member's settings, else as the other member
// reported it to the group.
func (g *Group) addressOf(name string) (string, error) {
	g.mu.Lock()
	reported := cmp.Or(g.lastView.Addresses[name], g.table.Addresses[name])
	g.mu.Unlock()
	if address := cmp.Or(g.opt.Voters[name], reported); address != "" {
		return address, nil
	}
	return "", fmt.Errorf("no address is known for member %q", name)
}

// connect opens a connection to another member and exchanges the hello.
func (g *Group) connect(name string, purpose connPurpose, timeout time.Duration) (net.Conn, welcomeMessage, error) {
	address, err := g.addressOf(name)
	if err != nil {
		return nil, welcomeMessage{}, err
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, welcomeMessage{}, err
	}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	hello := g.newHello(name, purpose)
	welcome, err := exchangeHello(conn, hello)
	if err == nil && welcome.Error != "" {
		err = &remoteError{member: name, reason: welcome.Error}
	}
	if g.recordWelcome(hello, welcome) && err == nil && purpose == purposeRaft {
		err = fmt.Errorf("the log of %s is outdated: it lacks entries that it had before", name)
	}
	if err != nil {
		_ = conn.Close()
		return nil, welcome, err
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, welcome, nil
}

// exchangeHello sends a hello and reads the reply.
func exchangeHello(conn net.Conn, hello helloMessage) (welcome welcomeMessage, err error) {
	if err := writeLine(conn, hello); err != nil {
		return welcome, err
	}
	line, err := readLine(conn, maxHelloFrame)
	if err != nil {
		return welcome, err
	}
	err = json.Unmarshal(line, &welcome)
	return welcome, err
}

// listen opens the group's port, and retries until that succeeds.
func (g *Group) listen(ctx context.Context) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", g.opt.Listen)
		if err == nil {
			return listener, nil
		}
		g.setInactive(err.Error())
		if !sleep(ctx, retryDelay) {
			return nil, ctx.Err()
		}
	}
}

// accept accepts connections on the group's port until the listener is closed, and serves each on its
// own goroutine.
func (g *Group) accept(ctx context.Context, listener net.Listener) {
	slots := make(chan struct{}, maxConns)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if !sleep(ctx, acceptRetryDelay) {
				return
			}
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				g.serve(ctx, conn)
			}()
		default:
			_ = conn.Close()
		}
	}
}

// serve replies to the hello of a connection, and serves the connection by its purpose.
func (g *Group) serve(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(g.helloTimeout()))
	var hello helloMessage
	line, err := readLine(conn, maxHelloFrame)
	if err == nil {
		err = json.Unmarshal(line, &hello)
	}
	if err != nil {
		_ = conn.Close()
		return
	}
	welcome := g.checkHello(hello)
	g.mu.Lock()
	node := g.node
	g.mu.Unlock()
	if hello.Purpose == purposeRaft && welcome.Error == "" && node == nil {
		welcome.Error = "this member has no log just now"
	}
	if writeLine(conn, welcome) != nil || welcome.Error != "" {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	switch hello.Purpose {
	case purposeRaft:
		node.stream.deliver(conn)
	case purposeHeartbeat:
		g.serveHeartbeats(conn, hello)
	default:
		_ = conn.Close()
	}
}
