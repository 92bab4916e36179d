package group

import (
	"context"
	"encoding/json"
	"net"
	"time"
)

// maxReplyFrame is the maximum size of a reply in bytes. A reply may contain a view of all members
// and duties.
const maxReplyFrame = 4 * maxFrame

// heartbeatLink is the sending end of a connection for heartbeats. One goroutine uses it; a second
// one, which dialLeader starts, reads the replies until the connection ends.
type heartbeatLink struct {
	target  string
	conn    net.Conn
	replies chan heartbeatReply // in the order of arrival; closed when the connection has ended
}

// dialLeader connects to a member and reads its replies until the connection ends.
func (g *Group) dialLeader(target string) (*heartbeatLink, error) {
	conn, _, err := g.connect(target, purposeHeartbeat, g.leaseFraction(dialTimeoutFraction))
	if err != nil {
		return nil, err
	}
	link := &heartbeatLink{target: target, conn: conn, replies: make(chan heartbeatReply, 1)}
	go link.readReplies(g.requestHeartbeat)
	return link, nil
}

// readReplies reads replies into the channel until the connection ends. It calls wakeUp for each
// wake-up notification.
func (l *heartbeatLink) readReplies(wakeUp func()) {
	defer close(l.replies)
	frames := newLineReader(l.conn, maxReplyFrame)
	for {
		line, err := frames.next()
		if err != nil {
			return
		}
		var reply heartbeatReply
		if json.Unmarshal(line, &reply) != nil {
			return
		}
		if reply.WakeUp {
			wakeUp()
			continue
		}
		l.replies <- reply
	}
}

// close closes the connection. A nil link counts as closed.
func (l *heartbeatLink) close() {
	if l == nil {
		return
	}
	_ = l.conn.Close()
	go func() { // readReplies may be blocked on sending a reply
		for range l.replies {
		}
	}()
}

// exchange sends a heartbeat and waits for its reply. It calls canceled periodically, and stops
// waiting once that returns true.
func (l *heartbeatLink) exchange(
	request heartbeat, timeout time.Duration, canceled func() bool,
) (heartbeatReply, error) {
	_ = l.conn.SetWriteDeadline(time.Now().Add(timeout))
	if err := writeLine(l.conn, request); err != nil {
		return heartbeatReply{}, err
	}
	deadline := time.Now().Add(timeout)
	ticker := time.NewTicker(max(timeout/20, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case reply, ok := <-l.replies:
			if !ok {
				return reply, errConnectionEnded
			}
			if reply.Sequence == request.Sequence {
				return reply, nil
			}
		case <-ticker.C:
			if time.Now().After(deadline) || canceled != nil && canceled() {
				return heartbeatReply{}, errReplyTimeout
			}
		}
	}
}

// sendOnce sends one heartbeat to a member on a connection of its own.
func (g *Group) sendOnce(ctx context.Context, target string, request heartbeat) (heartbeatReply, error) {
	link, err := g.dialLeader(target)
	if err != nil {
		return heartbeatReply{}, err
	}
	defer link.close()
	request.Sequence = 1
	reply, err := link.exchange(request, g.leaseFraction(singleReplyTimeoutFraction),
		func() bool { return ctx.Err() != nil })
	if err == nil && reply.Error != "" {
		err = &remoteError{member: target, reason: reply.Error}
	}
	return reply, err
}
