// Package amqpfront is the AMQP 0-9-1 front: an ingress for clients that publish messages, and an egress that
// publishes to partners' brokers. Both use the same core, a sender.Sender, and so the same decisions, as the
// platform's front.
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

// amqpConn is the part of a connection that is the same for clients and brokers: frames and heartbeats. Its times are
// those of the loop's clock, and only the loop's goroutine may use it.
type amqpConn struct {
	loop  *loop.Loop
	conn  *reactor.Conn
	timer timers.Timer // bounds a broker's handshake, then runs the heartbeats, then bounds a client's close

	partialFrame partial.Buffer
	maxFrame     uint32 // negotiated frame-max, in bytes

	heartbeat    time.Duration // negotiated interval; 0: none
	lastReceived time.Duration
	lastWritten  time.Duration
}

func newAMQPConn(eventLoop *loop.Loop) amqpConn {
	return amqpConn{loop: eventLoop, maxFrame: amqp.FrameMax, lastReceived: eventLoop.Now()}
}

// eachFrame passes each complete frame to handle, except for heartbeats, and stores a partial frame. It stops at the
// first error.
func (p *amqpConn) eachFrame(received []byte, handle func(amqp.Frame) error) error {
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
		if frame.Kind == amqp.FrameHeartbeat {
			continue
		}
		if err := handle(frame); err != nil {
			p.partialFrame.Reset()
			return err
		}
	}
}

// write buffers bytes, which are sent at the end of the loop's turn.
func (p *amqpConn) write(raw []byte) { p.commitBuffer(append(p.conn.Buffer(), raw...)) }

// commitBuffer returns the connection's write buffer after something was appended to it.
func (p *amqpConn) commitBuffer(buffer []byte) {
	if p.lastWritten = p.loop.Now(); p.conn.SetBuffer(buffer) != nil {
		p.conn.Close()
	}
}

// writeMethod writes a method without content.
func (p *amqpConn) writeMethod(channel uint16, key amqp.Key, args ...any) {
	p.commitBuffer(amqp.AppendMethod(p.conn.Buffer(), channel, key, args...))
}

// writeContent writes a method with its content.
func (p *amqpConn) writeContent(channel uint16, key amqp.Key, props *amqp.Props, body []byte, args ...any) {
	p.commitBuffer(amqp.AppendMessage(p.conn.Buffer(), channel, key, props, body, p.maxFrame, args...))
}

var heartbeatFrame = amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil)

// startHeartbeats starts the negotiated heartbeats. handler must call checkHeartbeat when the timer fires.
func (p *amqpConn) startHeartbeats(interval time.Duration, handler timers.Handler) {
	if p.heartbeat = interval; interval > 0 {
		p.loop.Arm(&p.timer, interval/2, timers.TickSlack, handler)
	}
}

// checkHeartbeat sends a heartbeat, unless something else was written recently (by section 4.2.7 of the
// specification any octet counts as a heartbeat), and closes a connection on which nothing was received
// for two intervals. After a pause of this process, bytes of the peer may still be unread in the socket
// or not yet handled, so the connection gets another interval.
func (p *amqpConn) checkHeartbeat(handler timers.Handler) {
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

func (p *amqpConn) stopTimer() { p.loop.Disarm(&p.timer) }

// asFault returns the fault that err wraps. An error without a reply code becomes an internal error.
func asFault(err error) *amqp.Fault {
	var f *amqp.Fault
	if errors.As(err, &f) {
		return f
	}
	return amqp.Errorf(amqp.InternalError, "%v", err)
}

// closeArgs returns the arguments of connection.close and channel.close.
func closeArgs(f *amqp.Fault) []any { return []any{f.Code, f.Text, f.Method.Class(), f.Method.ID()} }
