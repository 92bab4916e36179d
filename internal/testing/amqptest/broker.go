package amqptest

import (
	"errors"
	"net"
	"strings"
	"sync"

	"brackendale/internal/net/amqp"
)

// StandIn is a broker that stands in for a partner's: it speaks what publishers and small consumers
// use of the protocol, to many connections, and keeps what was published by message-id. It has one
// exchange, whose key "1" has a route.
type StandIn struct {
	Exchange string

	mu      sync.Mutex
	Applied map[string]int
	queues  map[string]*standQueue
	serial  int
}

// NewStandIn makes one.
func NewStandIn(exchange string) *StandIn {
	return &StandIn{Exchange: exchange, Applied: map[string]int{}, queues: map[string]*standQueue{}}
}

// Serve takes connections until the listener is closed.
func (b *StandIn) Serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go b.Handle(c)
	}
}

// standMax is what the stand-in offers.
const standMax = 64

type standConn struct {
	net.Conn
	b     *StandIn
	stage amqp.Key // the method that must come next, until the connection is open
	open  bool
	over  bool // connection.close was sent
	max   uint32
	chans map[uint16]*standChan
	asm   amqp.Assembly
}

type standChan struct {
	asm       amqp.Assembly
	confirm   bool
	closing   bool
	tag       uint64
	last      string
	consumers map[string]string // queues by tag
}

// Handle serves one connection to its end.
func (b *StandIn) Handle(conn net.Conn) {
	c := &standConn{Conn: conn, b: b, max: amqp.FrameMax, chans: map[uint16]*standChan{}, stage: amqp.ConnStartOk}
	defer c.end()
	var buf []byte
	chunk := make([]byte, 8192)
	greeted := false
	for {
		n, err := conn.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:n]...)
		if !greeted {
			k := min(len(buf), len(amqp.ProtocolHeader))
			if string(buf[:k]) != amqp.ProtocolHeader[:k] {
				_, _ = conn.Write([]byte(amqp.ProtocolHeader))
				return
			}
			if k < len(amqp.ProtocolHeader) {
				continue
			}
			buf, greeted = buf[k:], true
			c.send(0, amqp.ConnStart, 0, 9, amqp.Table{}, "PLAIN AMQPLAIN", "en_US")
		}
		for {
			f, used, err := amqp.ParseFrame(buf, c.max)
			if err == nil && used == 0 {
				break
			}
			if err == nil && f.Kind != amqp.FrameHeartbeat {
				err = c.frame(f)
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if buf = buf[used:]; err != nil {
				c.fault(f.Channel, err)
				if used == 0 {
					buf = nil
				}
			}
		}
	}
}

// end closes the connection and removes what it owned.
func (c *standConn) end() {
	_ = c.Close()
	c.release()
}

// release removes the connection's consumers and exclusive queues.
func (c *standConn) release() {
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	for _, ch := range c.chans {
		for tag := range ch.consumers {
			c.b.cancel(ch, tag)
		}
	}
	clear(c.chans)
	for name, q := range c.b.queues {
		if q.owner == c {
			delete(c.b.queues, name)
		}
	}
}

func (c *standConn) send(ch uint16, k amqp.Key, args ...any) {
	_, _ = c.Write(amqp.AppendMethod(nil, ch, k, args...)) // a closed connection is seen by the next read
}

// fault answers an error by closing the channel or the connection.
func (c *standConn) fault(id uint16, err error) {
	f := amqp.Errorf(amqp.InternalError, "%v", err)
	errors.As(err, &f)
	args := []any{f.Code, f.Text, f.Method.Class(), f.Method.ID()}
	if ch := c.chans[id]; ch != nil && f.Soft() && !c.over {
		ch.closing = true
		c.send(id, amqp.ChanClose, args...)
		return
	}
	if !c.over {
		c.over = true
		c.send(0, amqp.ConnClose, args...)
	}
}

// frame assembles a frame, and answers the method that it completes.
func (c *standConn) frame(frame amqp.Frame) error {
	ch := c.chans[frame.Channel]
	asm := &c.asm
	switch {
	case ch != nil:
		asm = &ch.asm
	case frame.Channel != 0 && c.open && frame.Kind != amqp.FrameMethod:
		return amqp.Errorf(amqp.ChannelError, "channel %d is not open", frame.Channel)
	case frame.Channel != 0:
		asm = &amqp.Assembly{}
	}
	m, err := asm.Add(frame)
	if c.over || ch != nil && ch.closing {
		*asm = amqp.Assembly{}
		switch {
		case m == nil:
		case m.Key == amqp.ConnCloseOk && c.over && frame.Channel == 0:
			return net.ErrClosed
		case m.Key == amqp.ChanCloseOk && ch != nil:
			delete(c.chans, frame.Channel)
		}
		return nil
	}
	if err != nil || m == nil {
		return err
	}
	if frame.Channel == 0 {
		return c.connection(m)
	}
	return c.channel(frame.Channel, ch, m)
}

func refuse(message *amqp.Message, code uint16, text string) error {
	return &amqp.Fault{Code: code, Text: text, Method: message.Key}
}

func (c *standConn) connection(message *amqp.Message) error {
	switch {
	case message.Key == amqp.ConnClose:
		c.release() // before the reply: its client may look for the queues at once
		c.send(0, amqp.ConnCloseOk)
		return net.ErrClosed
	case message.Key == amqp.ConnCloseOk:
		return nil
	case message.Key == amqp.ConnUpdateSecret && c.open:
		c.send(0, amqp.ConnUpdateSecretOk)
		return nil
	case message.Key != c.stage:
		return refuse(message, amqp.CommandInvalid, "out of place")
	}
	switch message.Key {
	case amqp.ConnStartOk:
		if message.Str(1) != "PLAIN" || strings.Count(message.Str(2), "\x00") != 2 {
			return refuse(message, amqp.AccessRefused, "login refused")
		}
		c.stage = amqp.ConnTuneOk
		c.send(0, amqp.ConnTune, standMax, amqp.FrameMax, 0)
	case amqp.ConnTuneOk:
		if message.Int(0) > standMax || message.Int(1) > amqp.FrameMax || message.Int(1) < amqp.FrameMin {
			return refuse(message, amqp.NotAllowed, "limits outside of what was offered")
		}
		c.max, c.stage = uint32(message.Int(1)), amqp.ConnOpen
	case amqp.ConnOpen:
		if message.Str(0) != "/" {
			return refuse(message, amqp.NotAllowed, "no such virtual host")
		}
		c.stage, c.open = 0, true
		c.send(0, amqp.ConnOpenOk, "")
	}
	return nil
}

func (c *standConn) channel(id uint16, ch *standChan, message *amqp.Message) error {
	switch {
	case !c.open:
		return refuse(message, amqp.CommandInvalid, "the connection is not open")
	case message.Key == amqp.ChanOpen && (ch != nil || id > standMax):
		return refuse(message, amqp.ChannelError, "this channel cannot be opened")
	case message.Key == amqp.ChanOpen:
		c.chans[id] = &standChan{consumers: map[string]string{}}
		c.send(id, amqp.ChanOpenOk, "")
		return nil
	case ch == nil:
		return refuse(message, amqp.ChannelError, "the channel is not open")
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	switch message.Key {
	case amqp.ChanClose:
		for tag := range ch.consumers {
			c.b.cancel(ch, tag)
		}
		delete(c.chans, id)
		c.send(id, amqp.ChanCloseOk)
	case amqp.ChanFlow:
		c.send(id, amqp.ChanFlowOk, message.Bool(0))
	case amqp.ConfirmSelect:
		if ch.confirm = true; !message.Bool(0) {
			c.send(id, amqp.ConfirmSelectOk)
		}
	case amqp.Qos:
		c.send(id, amqp.QosOk)
	case amqp.Publish:
		return c.publish(id, ch, message)
	case amqp.Ack, amqp.Nack, amqp.Reject:
		if message.Key == amqp.Reject || !message.Bool(1) || message.Int(0) != 0 { // nothing is ever out
			return refuse(message, amqp.PreconditionFailed, "unknown delivery tag")
		}
	case amqp.Recover, amqp.RecoverAsync:
		if !message.Bool(0) {
			return refuse(message, amqp.NotImplemented, "without requeue")
		}
		if message.Key == amqp.Recover {
			c.send(id, amqp.RecoverOk)
		}
	case amqp.ExchangeDeclare:
		return c.exchange(id, message)
	default:
		return c.queue(id, ch, message)
	}
	return nil
}

// publish applies a message once its last byte is there, and confirms it.
func (c *standConn) publish(id uint16, ch *standChan, message *amqp.Message) error {
	if message.Str(1) != c.b.Exchange {
		return refuse(message, amqp.NotFound, "no such exchange")
	}
	if message.Bool(4) {
		return refuse(message, amqp.NotImplemented, "immediate")
	}
	ch.tag++
	if message.Str(2) == "1" {
		c.b.Applied[message.Props.MessageID]++
	} else if message.Bool(3) {
		_, _ = c.Write(amqp.AppendMessage(nil, id, amqp.Return, message.Props, message.Body, c.max, amqp.NoRoute, "NO_ROUTE",
			message.Str(1), message.Str(2)))
	}
	if ch.confirm {
		c.send(id, amqp.Ack, ch.tag, false)
	}
	return nil
}

func (c *standConn) exchange(id uint16, message *amqp.Message) error {
	switch name := message.Str(1); {
	case name == "":
		return refuse(message, amqp.AccessRefused, "the default exchange")
	case name != c.b.Exchange:
		return refuse(message, amqp.NotFound, "no such exchange")
	case !message.Bool(3) && (message.Str(2) != "direct" || !message.Bool(4) || message.Bool(5) || message.Bool(6)):
		return refuse(message, amqp.PreconditionFailed, "it is there with other properties")
	}
	if !message.Bool(7) {
		c.send(id, amqp.ExchangeDeclareOk)
	}
	return nil
}
