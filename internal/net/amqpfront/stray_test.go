package amqpfront

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"brackendale/internal/net/amqp"
)

// A reply of a broker that names no outstanding request of ours must not end a publish, nor make it run again.
func TestStrayBrokerReplyEndsAPublish(t *testing.T) {
	for name, stray := range map[string]func(conn *frameConn, ch uint16){
		"channel.close-ok": func(conn *frameConn, ch uint16) { conn.writeMethod(ch, amqp.ChanCloseOk) },
		"channel.open-ok":  func(conn *frameConn, ch uint16) { conn.writeMethod(ch, amqp.ChanOpenOk, "") },
		"select-ok":        func(conn *frameConn, ch uint16) { conn.writeMethod(ch, amqp.ConfirmSelectOk) },
		"start": func(conn *frameConn, _ uint16) {
			conn.writeMethod(0, amqp.ConnStart, 0, 9, amqp.Table{}, "PLAIN", "en_US")
		},
		"tune":    func(conn *frameConn, _ uint16) { conn.writeMethod(0, amqp.ConnTune, 0, amqp.FrameMin, 0) },
		"open-ok": func(conn *frameConn, _ uint16) { conn.writeMethod(0, amqp.ConnOpenOk, "") },
	} {
		for _, class := range []string{"once", "key", "safe"} {
			t.Run(name+" "+class, func(t *testing.T) {
				broker := newBroker(t)
				broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
					broker.apply(msg)
					stray(conn, ch)
					conn.writeMethod(ch, amqp.Ack, tag, false)
				}
				var opened atomic.Int32
				broker.step = func(step string) bool {
					if step == "open" {
						opened.Add(1)
					}
					return false
				}
				addr, _ := start(t, t.TempDir(), broker)
				client := dial(t, addr)
				client.consume()
				for _, id := range []string{"first", "next"} {
					client.publish(id, class)
					client.want(amqp.Ack)
					if got := client.wantAnswer(id, true); got != "delivered" || broker.count(id) != 1 {
						t.Errorf("%s: %s, applied %d times", id, got, broker.count(id))
					}
				}
				if opened.Load() != 1 {
					t.Errorf("the virtual host was opened %d times", opened.Load())
				}
			})
		}
	}
}

// A second copy of a return must not prove that a later attempt of its message has not run.
func TestStrayReturnRepeatsAPublish(t *testing.T) {
	broker := newBroker(t)
	attempts, first := 0, uint16(0)
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		returned := func(ch uint16) {
			_, _ = conn.Write(amqp.AppendMessage(nil, ch, amqp.Return, msg.Props, msg.Body, amqp.FrameMin, amqp.NoRoute,
				"NO_ROUTE", "records", "in"))
		}
		if attempts++; attempts == 1 {
			first = ch
			returned(ch)
		} else {
			broker.apply(msg)
			returned(first)
		}
		conn.writeMethod(ch, amqp.Ack, tag, false)
	}
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.consume()
	client.publish("m", "once")
	client.want(amqp.Ack)
	if got := client.wantAnswer("m", true); got != "delivered" || broker.count("m") != 1 {
		t.Errorf("%s, applied %d times", got, broker.count("m"))
	}
}

// What is late for a closed channel must not meet another channel of the same number: each number is used once on a
// connection, which is replaced when all were used.
func TestChannelNumberUsedTwice(t *testing.T) {
	const channels, messages = 2, 7
	broker := newBroker(t)
	broker.maxChannels = channels
	var mu sync.Mutex
	used, attempts := map[string]int{}, map[string]int{}
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		mu.Lock()
		attempts[msg.Props.MessageID]++
		isFirst := attempts[msg.Props.MessageID] == 1
		if tag == 1 {
			used[fmt.Sprintf("%p channel %d", conn, ch)]++
		}
		mu.Unlock()
		if isFirst {
			conn.writeMethod(ch, amqp.ChanClose, amqp.PreconditionFailed, "no", 60, 40)
			return
		}
		broker.apply(msg)
		conn.writeMethod(ch, amqp.Ack, tag, false)
	}
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.consume()
	for i := range messages {
		id := fmt.Sprint("m", i)
		client.publish(id, "key")
		client.want(amqp.Ack)
		if got := client.wantAnswer(id, true); got != "delivered" || broker.count(id) != 1 {
			t.Fatalf("%s: %s, applied %d times", id, got, broker.count(id))
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(used) <= 2*channels {
		t.Errorf("%d channels were used, want more than those of two connections", len(used))
	}
	for name, count := range used {
		if count > 1 {
			t.Errorf("%s was opened %d times", name, count)
		}
	}
}
