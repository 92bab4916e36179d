package amqpfront

import (
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"
)

// cutConn is a broker's connection that ends after so many bytes of one direction; below 0 it stays.
type cutConn struct {
	net.Conn
	in, out int
}

func (c *cutConn) Read(b []byte) (int, error) {
	if c.in == 0 {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	if c.in > 0 && len(b) > c.in {
		b = b[:c.in]
	}
	n, err := c.Conn.Read(b)
	if c.in > 0 {
		c.in -= n
	}
	return n, err
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.out < 0 {
		return c.Conn.Write(b)
	}
	n := min(len(b), c.out)
	c.out -= n
	_, _ = c.Conn.Write(b[:n])
	if n < len(b) {
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, nil
}

// brokerCut is a stand-in broker whose first connection dies at a byte. With tls it speaks it.
func brokerCut(t *testing.T, in, out int, secure *tls.Config) *broker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	b := &broker{
		ln: ln, applied: map[string]int{}, props: make(chan *amqp.Props, 100),
		step: func(string) bool { return false },
	}
	var first atomic.Bool
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if first.CompareAndSwap(false, true) {
				c = &cutConn{c, in, out}
			}
			if secure != nil {
				c = tls.Server(c, secure)
			}
			go b.serve(newSide(c))
		}
	}()
	return b
}

// The broker is killed at every byte that it hears or says, of the TLS handshake (every few), the
// AMQP handshake, the publish and its confirm, its return or the close of its channel. No charge is
// applied twice, none that is reported as delivered is missing, and every message has one final answer.
func TestBrokerKilledAtEveryByte(t *testing.T) {
	server, client := siteKeys(t)
	returns := func(s *side, ch uint16, m *amqp.Message, tag uint64) { // it never ran
		_, _ = s.Write(amqp.AppendMessage(nil, ch, amqp.Return, m.Props, m.Body, amqp.FrameMin, amqp.NoRoute,
			"NO_ROUTE", "records", "in"))
		s.method(ch, amqp.Ack, tag, false)
	}
	closes := func(s *side, ch uint16, _ *amqp.Message, _ uint64) {
		s.method(ch, amqp.ChanClose, amqp.PreconditionFailed, "no", 60, 40)
	}
	for name, c := range map[string]struct {
		secure     *tls.Config
		scheme     string
		step, most int
		first      func(s *side, ch uint16, m *amqp.Message, tag uint64) // what it does with the first publish; nil: takes it
	}{
		"plain": {nil, "amqp", 1, 480, nil}, "under TLS": {server, "amqps", 11, 2600, nil},
		"in a return": {nil, "amqp", 2, 640, returns},
		"in a close":  {nil, "amqp", 2, 480, closes},
	} {
		t.Run(name, func(t *testing.T) {
			var brokers []*broker
			for cut := 0; cut < c.most; cut += c.step {
				brokers = append(brokers, brokerCut(t, cut, -1, c.secure), brokerCut(t, -1, cut, c.secure))
			}
			onCut := make([]atomic.Bool, len(brokers)) // the publish that was taken came over the connection that dies
			for i, b := range brokers {
				var did atomic.Bool
				if c.first != nil {
					b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
						if did.CompareAndSwap(false, true) {
							c.first(s, ch, m, tag)
							return
						}
						_, cut := s.Conn.(*cutConn)
						onCut[i].Store(cut)
						b.apply(m)
						s.method(ch, amqp.Ack, tag, false)
					}
				}
			}
			addr, _ := standin.Start(t, t.TempDir(),
				func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
					in := NewIngress(core, r, Options{Policy: access.Anyone("messages"), Channels: 16},
						conntable.NewSharedLimit(10).NewTable(Limits(10)))
					e := NewEgress(core, r, standin.Long, conntable.NewSharedLimit(len(brokers)))
					core.AddEgress(Proto, e)
					var routes []sender.Route
					trust := map[string]*tls.Config{}
					for i, b := range brokers {
						name := fmt.Sprint("b", i)
						routes = append(routes, sender.Route{
							Endpoint: scheduler.Endpoint{Addr: name, MachineType: "k", Destination: int64(i), State: "live"},
							Protocol: Proto,
							Dial:     c.scheme + "://u:p@" + b.ln.Addr().String() + "/?exchange=records&key=in",
						})
						trust[name] = client
					}
					e.Secure(trust)
					core.UpdateRoutes("whole", routes)
					return in.Accept
				})
			cl := dial(t, addr)
			cl.consume()
			ends, next, open := map[string]string{}, 0, 0
			for len(ends) < len(brokers) {
				for ; open < 60 && next < len(brokers); next++ {
					p := &amqp.Props{MessageID: fmt.Sprint("m", next), Type: "once", ReplyTo: "answers"}
					_, _ = cl.Write(amqp.AppendMessage(nil, 1, amqp.Publish, p, make([]byte, 50), amqp.FrameMin, 0, "messages",
						fmt.Sprint(next), false, false))
					open++
				}
				_, m, err := cl.next()
				if err != nil {
					t.Fatal(err)
				}
				if m.Key == amqp.Nack {
					t.Fatal("refused")
				}
				if m.Key != amqp.Deliver {
					continue
				}
				open--
				if was, twice := ends[m.Props.MessageID]; twice {
					t.Errorf("%s ended as %s and as %s", m.Props.MessageID, was, m.Props.Type)
				}
				ends[m.Props.MessageID] = m.Props.Type
				cl.method(1, amqp.Ack, m.Int(1), false)
			}
			tally := map[string]int{}
			for i, b := range brokers {
				id := fmt.Sprint("m", i)
				if n := b.count(id); n > 1 || n == 0 && ends[id] == "delivered" {
					t.Errorf("%s: %s, applied %d times", id, ends[id], n)
				}
				tally[fmt.Sprint(ends[id], b.count(id))]++
				if ends[id] == "failed" && b.count(id) == 1 && c.first != nil && !onCut[i].Load() {
					t.Errorf("%s was taken over a connection that lived, and failed", id)
				}
			}
			lay := tally["failed1"] > 0 && tally["delivered1"] > len(brokers)/2 // the cuts, where they were meant to
			switch name {
			case "in a return": // a second try over the first connection, before that is closed as idle, may be cut as well
				lay = tally["delivered1"] > len(brokers)/2 && tally["failed0"] > 0
			case "in a close":
				lay = tally["failed0"] == len(brokers) // it may have run, wherever the cut was
			}
			if !lay {
				t.Error(tally)
			}
			t.Log(tally)
		})
	}
}
