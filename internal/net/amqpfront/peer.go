// Package amqpfront is the AMQP 0-9-1 front: clients that publish messages to be taken on, and brokers
// as egress targets. Both go through the same core and the same decisions as the platform's front.
package amqpfront

import (
	"errors"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/net/reactor"
)

// peer is what both ends of a connection have in common: frames, heartbeats and faults.
type peer struct {
	conn  *reactor.Conn
	post  func(func())
	buf   []byte
	max   uint32 // largest frame, as agreed
	beat  time.Duration
	heard time.Time
	timer *time.Timer
	asm   map[uint16]*amqp.Assembly
}

func newPeer(post func(func())) peer {
	return peer{post: post, max: amqp.FrameMax, heard: time.Now(), asm: map[uint16]*amqp.Assembly{}}
}

// frames hands each whole frame over; it stops at the first fault.
func (p *peer) frames(b []byte, take func(amqp.Frame) error) error {
	p.heard = time.Now()
	if len(p.buf) > 0 {
		b = append(p.buf, b...)
	}
	for {
		f, n, err := amqp.ParseFrame(b, p.max)
		if err != nil || n == 0 {
			p.buf = b
			return err
		}
		if b = b[n:]; f.Kind != amqp.FrameBeat {
			if err := take(f); err != nil {
				p.buf = b
				return err
			}
		}
	}
}

// add puts a channel's frames together.
func (p *peer) add(f amqp.Frame) (*amqp.Message, error) {
	a := p.asm[f.Channel]
	if a == nil {
		a = &amqp.Assembly{}
		p.asm[f.Channel] = a
	}
	return a.Add(f)
}

func (p *peer) write(pieces ...[]byte) {
	if p.conn.Write(pieces...) != nil {
		p.conn.Close()
	}
}

func (p *peer) method(channel uint16, k amqp.Key, args ...any) {
	p.write(amqp.AppendMethod(nil, channel, k, args...))
}

// keepAlive sends heartbeats and ends a connection that was silent for two of their times.
func (p *peer) keepAlive(beat time.Duration) {
	if p.beat = beat; beat <= 0 {
		return
	}
	p.timer = time.AfterFunc(beat/2, func() {
		p.post(func() {
			if p.conn.Dead() {
				return
			}
			if time.Since(p.heard) > 2*p.beat {
				p.conn.Close()
				return
			}
			p.write(amqp.AppendFrame(nil, amqp.FrameBeat, 0, nil))
			p.keepAlive(p.beat)
		})
	})
}

func (p *peer) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// fault makes an error a fault: whatever has no reply code of its own is an internal one.
func fault(err error) *amqp.Fault {
	var f *amqp.Fault
	if errors.As(err, &f) {
		return f
	}
	return amqp.Errorf(amqp.InternalError, "%v", err)
}

func closeArgs(f *amqp.Fault) []any { return []any{f.Code, f.Text, f.Method.Class(), f.Method.ID()} }
