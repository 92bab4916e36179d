package group

import (
	"encoding/json"
	"net"
	"sync"
	"time"
)

// minIdleTimeout is the lower bound of the idle timeout of a connection for heartbeats.
const minIdleTimeout = 10 * time.Second

// heartbeatServer is the receiving end of a connection for heartbeats.
type heartbeatServer struct {
	group  *Group
	conn   net.Conn
	sender helloMessage
	member *memberState // the record that counts this connection; Group.mu guards it

	writeMu sync.Mutex
}

// serveHeartbeats replies to the heartbeats of a connection until it ends.
func (g *Group) serveHeartbeats(conn net.Conn, sender helloMessage) {
	server := &heartbeatServer{group: g, conn: conn, sender: sender}
	defer conn.Close()
	defer server.detach()
	frames := newLineReader(conn, maxFrame)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(max(g.leaseFraction(idleTimeoutFraction), minIdleTimeout)))
		line, err := frames.next()
		if err != nil {
			return
		}
		var request heartbeat
		if json.Unmarshal(line, &request) != nil {
			return
		}
		reply := g.handleHeartbeat(sender, request, server.attach)
		reply.Sequence = request.Sequence
		if server.write(reply) != nil {
			return
		}
	}
}

// write sends a reply. Any goroutine may call it.
func (s *heartbeatServer) write(reply heartbeatReply) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.group.helloTimeout()))
	return writeLine(s.conn, reply)
}

// wakeUp sends a wake-up notification. It does so on a new goroutine, so that it can be called with
// any lock held.
func (s *heartbeatServer) wakeUp() {
	go func() { _ = s.write(heartbeatReply{WakeUp: true}) }()
}

// attach counts the connection in the record of its member. The caller must hold the group's lock.
func (s *heartbeatServer) attach(member *memberState) {
	member.wakeUp = s.wakeUp
	if member == s.member {
		return
	}
	if s.member != nil {
		s.member.connections--
	}
	s.member = member
	member.connections++
}

// detach removes the connection from the count in its member's record.
func (s *heartbeatServer) detach() {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.member != nil {
		s.member.connections--
	}
}
