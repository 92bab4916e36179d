// Package amqpfront is the AMQP 0-9-1 front: an ingress for clients that publish messages, and an egress
// to brokers. Both use the same core, and so the same decisions, as the platform's front.
package amqpfront

import (
	"errors"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/partial"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
)

// peer is what both sides of a connection have in common: frames, heartbeats and faults. Its times are
// those of the loop's clock, and only the loop's goroutine may use it.
type peer struct {
	loop  *loop.Loop
	conn  *reactor.Conn
	timer timers.Timer // of the handshake, then of heartbeats, then of the close

	partialFrame partial.Buffer
	maxFrame     uint32 // negotiated, in bytes

	heartbeat    time.Duration // negotiated; 0 for none
	lastReceived time.Duration
	lastWritten  time.Duration
}

func newPeer(on *loop.Loop) peer {
	return peer{loop: on, maxFrame: amqp.FrameMax, lastReceived: on.Now()}
}

// eachFrame passes each whole frame but heartbeats to handle and keeps a partial one. It stops at the
// first fault.
func (p *peer) eachFrame(received []byte, handle func(amqp.Frame) error) error {
	p.lastReceived = p.loop.Now()
	received = p.partialFrame.Append(received)
	for {
		frame, size, err := amqp.ParseFrame(received, p.maxFrame)
		if err != nil {
			p.partialFrame.Reset()
			return err
		}
		if size == 0 {
			p.partialFrame.Store(received)
			return nil
		}
		received = received[size:]
		if frame.Kind == amqp.FrameBeat {
			continue
		}
		if err := handle(frame); err != nil {
			p.partialFrame.Reset()
			return err
		}
	}
}

// write queues bytes that leave at the end of the loop's turn.
func (p *peer) write(raw []byte) { p.commitBuffer(append(p.conn.Buffer(), raw...)) }

// commitBuffer gives the connection's buffer back after something was appended to it.
func (p *peer) commitBuffer(buffer []byte) {
	if p.lastWritten = p.loop.Now(); p.conn.SetBuffer(buffer) != nil {
		p.conn.Close()
	}
}

// writeMethod writes a method without content.
func (p *peer) writeMethod(channel uint16, key amqp.Key, args ...any) {
	p.commitBuffer(amqp.AppendMethod(p.conn.Buffer(), channel, key, args...))
}

// writeContent writes a method with its content.
func (p *peer) writeContent(channel uint16, key amqp.Key, props *amqp.Props, body []byte, args ...any) {
	p.commitBuffer(amqp.AppendMessage(p.conn.Buffer(), channel, key, props, body, p.maxFrame, args...))
}

var heartbeatFrame = amqp.AppendFrame(nil, amqp.FrameBeat, 0, nil)

// keepAlive starts the negotiated heartbeats; handler must call checkHeartbeat when its timer fires.
func (p *peer) keepAlive(interval time.Duration, handler timers.Handler) {
	if p.heartbeat = interval; interval > 0 {
		p.loop.Arm(&p.timer, interval/2, timers.TickSlack, handler)
	}
}

// checkHeartbeat sends a heartbeat, unless something else was written lately (section 4.2.7 of the
// specification lets any octet stand for one), and closes a connection on which nothing was received
// for two intervals. After a pause of this process the peer's bytes may still be unread in the socket
// or on their way from there, so the connection gets another interval.
func (p *peer) checkHeartbeat(handler timers.Handler) {
	now := p.loop.Now()
	if now-p.lastReceived > 2*p.heartbeat {
		if p.conn.AllInputReceived() && !p.loop.Stalled() {
			p.conn.Close()
			return
		}
		p.lastReceived = now - p.heartbeat
	}
	if now-p.lastWritten >= p.heartbeat/4 {
		p.write(heartbeatFrame)
	}
	p.loop.Arm(&p.timer, p.heartbeat/2, timers.TickSlack, handler)
}

func (p *peer) stopTimer() { p.loop.Disarm(&p.timer) }

// asFault returns the fault in err; an error without a reply code is an internal one.
func asFault(err error) *amqp.Fault {
	var f *amqp.Fault
	if errors.As(err, &f) {
		return f
	}
	return amqp.Errorf(amqp.InternalError, "%v", err)
}

func closeArgs(f *amqp.Fault) []any { return []any{f.Code, f.Text, f.Method.Class(), f.Method.ID()} }
