package amqpfront

import (
	"fmt"
	"net"
	"slices"
	"testing"

	"brackendale/internal/net/amqp"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/internal/testing/testkit"
	"brackendale/sender"

	"pgregory.net/rapid"
)

// modelClient is a client of one connection with two channels, and the model of its queue. Every accepted message has
// one final answer, which is queued, unacknowledged on a channel, or acknowledged.
type modelClient struct {
	t            *rapid.T
	front        *testFront
	queue        string
	conn         *frameConn
	channels     [3]modelChannel // 1 and 2
	outstanding  map[string]bool // published and not acknowledged
	delivered    map[string]bool // delivered at least once
	acknowledged map[string]bool
	ambiguous    map[string]bool // may have been in transit when a connection was lost
}

// modelChannel is the model of one channel.
type modelChannel struct {
	closing             bool // channel.close was sent, and channel.close-ok has not arrived
	tx, consumes, noAck bool
	unacked             []modelDelivery // ordered by tag
	acked               []modelDelivery // acknowledged in the transaction, not committed
	uncommitted         []string        // published in the transaction, not committed
}

type modelDelivery struct {
	tag uint64
	id  string
}

// connect opens a connection with channel 1 in confirm mode and channel 2 with transactions.
func (m *modelClient) connect() {
	netConn, err := net.Dial("tcp", m.front.addr)
	if err != nil {
		m.t.Fatal(err)
	}
	m.conn, m.channels = newFrameConn(netConn), [3]modelChannel{}
	_, _ = m.conn.Write([]byte(amqp.ProtocolHeader))
	m.want(amqp.ConnStart)
	m.conn.writeMethod(0, amqp.ConnStartOk, amqp.Table{}, "PLAIN", "\x00g\x00g", "en_US")
	m.want(amqp.ConnTune)
	m.conn.writeMethod(0, amqp.ConnTuneOk, 8, amqp.FrameMin, 0)
	m.conn.writeMethod(0, amqp.ConnOpen, "/", "", false)
	m.want(amqp.ConnOpenOk)
	m.openChannel(1, false)
	m.openChannel(2, true)
}

func (m *modelClient) openChannel(id uint16, tx bool) {
	m.conn.writeMethod(id, amqp.ChanOpen, "")
	m.want(amqp.ChanOpenOk)
	m.channels[id] = modelChannel{tx: tx}
	if tx {
		m.conn.writeMethod(id, amqp.TxSelect)
		m.want(amqp.TxSelectOk)
	} else {
		m.conn.writeMethod(id, amqp.ConfirmSelect, false)
		m.want(amqp.ConfirmSelectOk)
	}
}

// want waits for a method and records the answers that are delivered before it.
func (m *modelClient) want(key amqp.Key) *amqp.Message {
	for {
		ch, msg, err := m.conn.next()
		if err != nil {
			m.t.Fatalf("waiting for %s: %v", key, err)
		}
		if msg.Key == amqp.Deliver {
			m.recordDelivery(ch, msg)
			if key == amqp.Deliver {
				return msg
			}
			continue
		}
		if msg.Key != key {
			m.t.Fatalf("got %s, want %s: %d", msg.Key, key, msg.Int(0))
		}
		return msg
	}
}

// recordDelivery checks a delivered answer against the model, and records it there.
func (m *modelClient) recordDelivery(ch uint16, msg *amqp.Message) {
	id, c := msg.Props.MessageID, &m.channels[ch]
	if !m.outstanding[id] || m.acknowledged[id] {
		m.t.Fatalf("%s was delivered, but is not outstanding", id)
	}
	for i := range m.channels {
		for _, d := range slices.Concat(m.channels[i].unacked, m.channels[i].acked) {
			if d.id == id {
				m.t.Fatalf("%s was delivered twice without a requeue", id)
			}
		}
	}
	if msg.Bool(2) != m.delivered[id] && !m.ambiguous[id] {
		m.t.Fatalf("%s: redelivered is %v", id, msg.Bool(2))
	}
	m.delivered[id] = true
	if c.noAck {
		m.acknowledge(id)
		return
	}
	if !c.closing { // an answer that arrives during the close is requeued by it
		c.unacked = append(c.unacked, modelDelivery{msg.Int(1), id})
	}
}

// acknowledge records that the answers are acknowledged.
func (m *modelClient) acknowledge(ids ...string) {
	for _, id := range ids {
		delete(m.outstanding, id)
		m.acknowledged[id] = true
	}
}

// sync waits until the front has handled all methods that were sent before.
func (m *modelClient) sync(ch uint16) {
	m.conn.writeMethod(ch, amqp.ChanFlow, true)
	m.want(amqp.ChanFlowOk)
}

// Random operations of a client against a model of its outstanding answers. Whatever the client does with consumers,
// acknowledgements, transactions, channels and connections, the final answer of each message is unacknowledged on at
// most one channel at a time, is marked as redelivered if and only if it was delivered before, is never delivered again
// after its acknowledgement, and is delivered to a consumer in the end.
func TestSessionAgainstModel(t *testing.T) {
	settings, front := standin.Settings(), &testFront{t: t}
	settings.Limits.MaxMessages = 100_000
	front.addr, front.kill = standin.StartWith(t, t.TempDir(), settings, 256<<20, nil,
		func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			front.react, front.ingress = react, newInstantIngress(core, react)
			return front.ingress.Accept
		})
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		m := &modelClient{
			t: t, front: front, queue: fmt.Sprintf("q%d", run), outstanding: map[string]bool{},
			delivered: map[string]bool{}, acknowledged: map[string]bool{}, ambiguous: map[string]bool{},
		}
		m.connect()
		n := 0
		publish := func(ch uint16) string {
			n++
			id := fmt.Sprintf("r%d-%d", run, n)
			m.ambiguous[id] = m.lossUnnoticed()
			_, _ = m.conn.Write(amqp.AppendMessage(nil, ch, amqp.Publish,
				&amqp.Props{MessageID: id, Type: "once", ReplyTo: m.queue},
				[]byte("b"), amqp.FrameMin, 0, "messages", "7", false, false))
			return id
		}
		settle := func(ch uint16, from, to int) {
			c := &m.channels[ch]
			if settled := c.unacked[from:to]; c.tx {
				c.acked = append(c.acked, settled...)
			} else {
				for _, d := range settled {
					m.acknowledge(d.id)
				}
			}
			c.unacked = slices.Delete(c.unacked, from, to)
		}
		drawChannel := func(t *rapid.T) uint16 { return uint16(rapid.IntRange(1, 2).Draw(t, "channel")) }
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				m.outstanding[publish(1)] = true
				m.want(amqp.Ack)
			},
			"publish in a transaction": func(*rapid.T) {
				m.channels[2].uncommitted = append(m.channels[2].uncommitted, publish(2))
			},
			"commit": func(*rapid.T) {
				c := &m.channels[2]
				for _, id := range c.uncommitted {
					m.outstanding[id] = true // the answer may arrive before tx.commit-ok
				}
				m.conn.writeMethod(2, amqp.TxCommit)
				m.want(amqp.TxCommitOk)
				for _, d := range c.acked {
					m.acknowledge(d.id)
				}
				c.uncommitted, c.acked = nil, nil
			},
			"roll back": func(*rapid.T) {
				m.conn.writeMethod(2, amqp.TxRollback)
				m.want(amqp.TxRollbackOk)
				c := &m.channels[2]
				c.unacked = append(c.unacked, c.acked...)
				slices.SortFunc(c.unacked, func(a, b modelDelivery) int { return int(a.tag) - int(b.tag) })
				c.uncommitted, c.acked = nil, nil
			},
			"consume": func(t *rapid.T) {
				ch := drawChannel(t)
				if m.channels[ch].consumes {
					t.Skip()
				}
				m.channels[ch].consumes, m.channels[ch].noAck = true, rapid.IntRange(0, 9).Draw(t, "no-ack") == 0
				m.conn.writeMethod(ch, amqp.Consume, 0, m.queue, "me", false, m.channels[ch].noAck, false, false, amqp.Table{})
				m.want(amqp.ConsumeOk)
			},
			"cancel": func(t *rapid.T) {
				ch := drawChannel(t)
				m.conn.writeMethod(ch, amqp.Cancel, "me", false)
				m.want(amqp.CancelOk)
				m.channels[ch].consumes, m.channels[ch].noAck = false, false
			},
			"ack": func(t *rapid.T) {
				ch := drawChannel(t)
				m.sync(ch)
				if len(m.channels[ch].unacked) == 0 {
					t.Skip()
				}
				i, multiple := rapid.IntRange(0, len(m.channels[ch].unacked)-1).Draw(t, "which"), rapid.Bool().Draw(t, "multiple")
				m.conn.writeMethod(ch, amqp.Ack, m.channels[ch].unacked[i].tag, multiple)
				if multiple {
					settle(ch, 0, i+1)
				} else {
					settle(ch, i, i+1)
				}
				m.sync(ch)
			},
			"hand back": func(t *rapid.T) {
				ch := drawChannel(t)
				m.sync(ch)
				if len(m.channels[ch].unacked) == 0 || m.channels[ch].tx {
					t.Skip()
				}
				tag := m.channels[ch].unacked[0].tag
				m.channels[ch].unacked = slices.Delete(m.channels[ch].unacked, 0, 1)
				m.conn.writeMethod(ch, amqp.Reject, tag, true)
				m.sync(ch)
			},
			"recover": func(t *rapid.T) {
				ch := drawChannel(t)
				m.conn.writeMethod(ch, amqp.Recover, true)
				m.want(amqp.RecoverOk)
				m.channels[ch].unacked = nil
			},
			"close the channel": func(t *rapid.T) {
				ch := drawChannel(t)
				m.sync(ch)
				m.conn.writeMethod(ch, amqp.ChanClose, 200, "", 0, 0)
				m.channels[ch].unacked, m.channels[ch].acked, m.channels[ch].closing = nil, nil, true
				m.want(amqp.ChanCloseOk)
				m.openChannel(ch, ch == 2)
			},
			"lose the connection": func(t *rapid.T) {
				if m.closeAbruptly() {
					m.connect()
				}
			},
		})
		m.drain()
	})
}

// closeAbruptly closes the connection without the closing handshake. It returns false, and does nothing, while a
// consumer has no-ack, because answers in transit would then count as acknowledged.
func (m *modelClient) closeAbruptly() bool {
	consumes := false
	for _, c := range m.channels {
		if consumes = consumes || c.consumes; c.noAck {
			return false
		}
	}
	_ = m.conn.Close()
	for id := range m.outstanding {
		m.ambiguous[id] = m.ambiguous[id] || consumes
	}
	m.channels = [3]modelChannel{}
	return true
}

// lossUnnoticed reports whether the front has not noticed yet that an earlier connection is closed: its consumers may
// get the answers of messages that are published now.
func (m *modelClient) lossUnnoticed() bool {
	connections := 0
	m.front.onLoop(func() { connections = m.front.ingress.table.Len() })
	return connections > 1
}

// drain consumes and acknowledges all outstanding answers on a new connection.
func (m *modelClient) drain() {
	for ch := range m.channels {
		if m.channels[ch].noAck {
			m.conn.writeMethod(uint16(ch), amqp.Cancel, "me", false)
			m.want(amqp.CancelOk)
			m.channels[ch].noAck = false
		}
	}
	m.closeAbruptly()
	m.connect()
	m.conn.writeMethod(1, amqp.Consume, 0, m.queue, "me", false, false, false, false, amqp.Table{})
	m.want(amqp.ConsumeOk)
	for len(m.outstanding) > 0 {
		for _, d := range m.channels[1].unacked {
			m.conn.writeMethod(1, amqp.Ack, d.tag, false)
			m.acknowledge(d.id)
		}
		if m.channels[1].unacked = nil; len(m.outstanding) > 0 {
			m.want(amqp.Deliver)
		}
	}
	_ = m.conn.Close()
}

func TestMain(m *testing.M) { testkit.Seeded(m, "400") }
