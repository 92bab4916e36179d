package amqpfront

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"

	"pgregory.net/rapid"
)

// The confirm tracker against a map: a confirm settles the publish with its tag or, with multiple, all publishes up to
// it that are not settled yet.
func TestConfirmTrackerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker confirmTracker
		model, lastTag := map[uint64]*publishAttempt{}, uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				p := &publishAttempt{attempt: sender.Attempt{ID: fmt.Sprint(lastTag + 1)}}
				tracker.add(p)
				lastTag++
				model[lastTag] = p
			},
			"confirm": func(t *rapid.T) {
				tag, multiple := rapid.Uint64Range(0, lastTag+1).Draw(t, "tag"), rapid.Bool().Draw(t, "multiple")
				settled, ok := tracker.settle(tag, multiple)
				if ok != (tag <= lastTag && (tag > 0 || multiple)) {
					t.Fatal(tag, ok)
				}
				var want []*publishAttempt
				for _, k := range slices.Sorted(maps.Keys(model)) {
					if ok && (k == tag || multiple && (k < tag || tag == 0)) {
						want = append(want, model[k])
						delete(model, k)
					}
				}
				if !slices.Equal(settled, want) {
					t.Fatal(tag, multiple, len(settled), len(want))
				}
			},
			"give up": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip()
				}
				k := rapid.SampledFrom(slices.Sorted(maps.Keys(model))).Draw(t, "which")
				tracker.remove(model[k])
				delete(model, k)
			},
			"": func(t *rapid.T) {
				for k, p := range model {
					if tracker.find(fmt.Sprint(k)) != p {
						t.Fatal(k)
					}
				}
				if len(tracker.unconfirmed) != len(model) || tracker.anyAwaited() != (len(model) > 0) {
					t.Fatal(len(tracker.unconfirmed), len(model))
				}
			},
		})
	})
}

// Idempotent messages share a channel and are confirmed by one ack. Each unsafe message has a channel of its own.
func TestPublishesShareAChannel(t *testing.T) {
	for class, shared := range map[string]bool{"safe": true, "once": false} {
		broker := newBroker(t)
		var mu sync.Mutex
		tagByChannel, unconfirmed, maxChannels := map[uint16]uint64{}, 0, 0
		broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
			broker.apply(msg)
			mu.Lock()
			defer mu.Unlock()
			tagByChannel[ch] = tag
			if unconfirmed++; unconfirmed < 4 && msg.Props.MessageID != "first" {
				return
			}
			maxChannels = max(maxChannels, len(tagByChannel))
			for ch, tag := range tagByChannel {
				conn.writeMethod(ch, amqp.Ack, tag, true)
			}
			clear(tagByChannel)
			unconfirmed = 0
		}
		addr, _ := start(t, t.TempDir(), broker)
		client := dial(t, addr)
		client.consume()
		client.publish("first", class)
		client.want(amqp.Ack)
		client.wantAnswer("first", true)
		for i := range 4 {
			client.publish(fmt.Sprint("m", i), class)
		}
		for ended := 0; ended < 4; {
			_, msg, err := client.next()
			if err != nil {
				t.Fatal(class, err)
			}
			if msg.Key == amqp.Deliver {
				if ended++; msg.Props.Type != "delivered" || broker.count(msg.Props.MessageID) != 1 {
					t.Error(class, msg.Props.MessageID, msg.Props.Type)
				}
			}
		}
		if mu.Lock(); (maxChannels == 1) != shared {
			t.Errorf("%s: published on %d channels", class, maxChannels)
		}
		mu.Unlock()
	}
}

// A confirm with multiple that covers a given-up publish settles it too, and the channel stays in use. If the confirm
// does not cover it, the channel is closed, and the publish ends as given up.
func TestConfirmCoversAGivenUpPublish(t *testing.T) {
	for _, covered := range []bool{true, false} {
		broker := newBroker(t)
		type publishTag struct {
			ch  uint16
			tag uint64
		}
		published, conns := make(chan publishTag, 9), make(chan *frameConn, 9)
		broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
			conns <- conn
			published <- publishTag{ch, tag}
		}
		var egress *Egress
		var loopReactor *reactor.Reactor
		standin.Start(t, t.TempDir(), func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			loopReactor, egress = react, NewEgress(core, react, standin.Long, conntable.NewSharedLimit(100))
			return func(*reactor.Conn) reactor.Handler { return nil }
		})
		send := func(ids ...string) {
			var attempts []sender.Attempt
			for _, id := range ids {
				attempts = append(attempts, sender.Attempt{
					ID: id, Class: "safe", Effect: scheduler.Idempotent, TimeoutUs: 60e6,
					Deadline: clock.Steady().Add(time.Minute),
				})
			}
			loopReactor.Post(func() { egress.Send(addToGate(egress, broker), attempts) })
		}
		inFlight := func() int {
			n := make(chan int)
			loopReactor.Post(func() { n <- len(egress.attempts) })
			return <-n
		}
		send("a", "b")
		first, second := <-published, <-published
		if first.ch != second.ch || second.tag != 2 {
			t.Fatal(first, second)
		}
		conn := <-conns
		loopReactor.Post(func() { egress.Cancel("a", 0) })
		if inFlight() != 2 {
			t.Fatal("the attempt ended before its channel was closed")
		}
		if covered {
			conn.writeMethod(first.ch, amqp.Ack, 2, true)
		} else {
			conn.writeMethod(first.ch, amqp.Ack, 2, false)
		}
		for inFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		send("c")
		third := <-published
		if same := third.ch == first.ch && third.tag == 3; same != covered {
			t.Fatal(covered, first, third)
		}
	}
}

// A late confirm for a closed channel is not taken for that of another publish.
func TestLateConfirmOfAClosedChannel(t *testing.T) {
	broker := newBroker(t)
	var old uint16
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		if msg.Props.MessageID == "a" {
			old = ch // no confirm: the publish is given up, and its channel closed
			return
		}
		conn.writeMethod(old, amqp.Ack, 1, true)
	}
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.consume()
	client.publish("a", "once", func(props *amqp.Props) { props.Expiration = "400" })
	client.want(amqp.Ack)
	if got := client.wantAnswer("a", true); got != "failed" {
		t.Fatal(got)
	}
	client.publish("b", "once", func(props *amqp.Props) { props.Expiration = "3000" })
	client.want(amqp.Ack)
	if got := client.wantAnswer("b", true); got == "delivered" {
		t.Fatal("the confirm of another channel was taken for that of this publish")
	}
}

// Two virtual hosts of a broker whose names and users are the same when written one behind the other must not share a
// connection: a message for one was published to the other.
func TestVirtualHostsDoNotShareAConnection(t *testing.T) {
	broker := newBroker(t)
	conns := make(chan *frameConn, 9)
	broker.publish = func(conn *frameConn, _ uint16, _ *amqp.Message, _ uint64) { conns <- conn }
	var egress *Egress
	var loopReactor *reactor.Reactor
	standin.Start(t, t.TempDir(), func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		loopReactor, egress = react, NewEgress(core, react, standin.Long, conntable.NewSharedLimit(100))
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	send := func(id, user, vhost string) *frameConn {
		loopReactor.Post(func() {
			route := addToGate(egress, broker)
			route.Dial = "amqp://" + user + ":p@" + broker.listener.Addr().String() + "/" + vhost + "?key=in"
			egress.Send(route, []sender.Attempt{{
				ID: id, Class: "safe", Effect: scheduler.Idempotent, TimeoutUs: 60e6, Deadline: clock.Steady().Add(time.Minute),
			}})
		})
		return <-conns
	}
	first := send("a", "12", "lab")
	if second := send("b", "2", "lab1"); second == first {
		t.Error("a message for lab1 is published on a connection to lab")
	}
	if third := send("c", "12", "lab"); third != first {
		t.Error("two messages for one virtual host do not share a connection")
	}
}
