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
	"brackendale/sender"

	"pgregory.net/rapid"
)

// The ledger against a map: what a confirm takes off is what was published up to its tag, or just
// that, and not settled.
func TestLedgerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ledger
		model, last := map[uint64]*publishAttempt{}, uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				p := &publishAttempt{attempt: sender.Attempt{ID: fmt.Sprint(last + 1)}}
				l.add(p)
				last++
				model[last] = p
			},
			"confirm": func(t *rapid.T) {
				tag, multiple := rapid.Uint64Range(0, last+1).Draw(t, "tag"), rapid.Bool().Draw(t, "multiple")
				hit, ok := l.settle(tag, multiple)
				if ok != (tag <= last && (tag > 0 || multiple)) {
					t.Fatal(tag, ok)
				}
				var want []*publishAttempt
				for _, k := range slices.Sorted(maps.Keys(model)) {
					if ok && (k == tag || multiple && (k < tag || tag == 0)) {
						want = append(want, model[k])
						delete(model, k)
					}
				}
				if !slices.Equal(hit, want) {
					t.Fatal(tag, multiple, len(hit), len(want))
				}
			},
			"give up": func(t *rapid.T) {
				if len(model) == 0 {
					t.Skip()
				}
				k := rapid.SampledFrom(slices.Sorted(maps.Keys(model))).Draw(t, "which")
				l.remove(model[k])
				delete(model, k)
			},
			"": func(t *rapid.T) {
				for k, p := range model {
					if l.find(fmt.Sprint(k)) != p {
						t.Fatal(k)
					}
				}
				if len(l.unconfirmed) != len(model) || l.anyWanted() != (len(model) > 0) {
					t.Fatal(len(l.unconfirmed), len(model))
				}
			},
		})
	})
}

// Messages that may be repeated share a channel and are confirmed by one ack; unsafe ones have one each.
func TestPublishesShareAChannel(t *testing.T) {
	for class, shared := range map[string]bool{"safe": true, "once": false} {
		b := newBroker(t)
		var mu sync.Mutex
		on, open, most := map[uint16]uint64{}, 0, 0
		b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
			b.apply(m)
			mu.Lock()
			defer mu.Unlock()
			on[ch] = tag
			if open++; open < 4 && m.Props.MessageID != "first" {
				return
			}
			most = max(most, len(on))
			for ch, tag := range on {
				s.method(ch, amqp.Ack, tag, true)
			}
			clear(on)
			open = 0
		}
		addr, _ := start(t, t.TempDir(), b)
		c := dial(t, addr)
		c.consume()
		c.publish("first", class)
		c.want(amqp.Ack)
		c.answer("first", true)
		for i := range 4 {
			c.publish(fmt.Sprint("m", i), class)
		}
		for ended := 0; ended < 4; {
			_, m, err := c.next()
			if err != nil {
				t.Fatal(class, err)
			}
			if m.Key == amqp.Deliver {
				if ended++; m.Props.Type != "delivered" || b.count(m.Props.MessageID) != 1 {
					t.Error(class, m.Props.MessageID, m.Props.Type)
				}
			}
		}
		if mu.Lock(); (most == 1) != shared {
			t.Errorf("%s: on %d channels", class, most)
		}
		mu.Unlock()
	}
}

// A confirm with multiple that covers a publish which was given up settles it too, and its channel serves on; one that
// covers nothing else closes it, and what was given up ends as such.
func TestConfirmCoversAGivenUpPublish(t *testing.T) {
	for _, covered := range []bool{true, false} {
		b := newBroker(t)
		type seen struct {
			ch  uint16
			tag uint64
		}
		came, conns2 := make(chan seen, 9), make(chan *side, 9)
		b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) { conns2 <- s; came <- seen{ch, tag} }
		var e *Egress
		var at *reactor.Reactor
		standin.Start(t, t.TempDir(), func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			at, e = r, NewEgress(c, r, standin.Long, conntable.NewSharedLimit(100))
			return func(*reactor.Conn) reactor.Handler { return nil }
		})
		send := func(ids ...string) {
			var attempts []sender.Attempt
			for _, id := range ids {
				attempts = append(attempts, sender.Attempt{
					ID: id, Class: "safe", TimeoutUs: 60e6,
					Deadline: clock.Steady().Add(time.Minute),
				})
			}
			at.Post(func() { e.Send(listed(e, b), attempts) })
		}
		out := func() int {
			n := make(chan int)
			at.Post(func() { n <- len(e.attempts) })
			return <-n
		}
		send("a", "b")
		first, second := <-came, <-came
		if first.ch != second.ch || second.tag != 2 {
			t.Fatal(first, second)
		}
		s := <-conns2
		at.Post(func() { e.Cancel("a", 0) })
		if out() != 2 {
			t.Fatal("it ended while its channel lives")
		}
		if covered {
			s.method(first.ch, amqp.Ack, 2, true)
		} else {
			s.method(first.ch, amqp.Ack, 2, false)
		}
		for out() > 0 {
			time.Sleep(time.Millisecond)
		}
		send("c")
		third := <-came
		if same := third.ch == first.ch && third.tag == 3; same != covered {
			t.Fatal(covered, first, third)
		}
	}
}

// A confirm that comes late, for a channel that was closed, is taken for no other publish.
func TestLateConfirmOfAClosedChannel(t *testing.T) {
	b := newBroker(t)
	var old uint16
	b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
		if m.Props.MessageID == "a" {
			old = ch // says nothing: it is given up, and its channel closed
			return
		}
		s.method(old, amqp.Ack, 1, true)
	}
	addr, _ := start(t, t.TempDir(), b)
	c := dial(t, addr)
	c.consume()
	c.publish("a", "once", func(p *amqp.Props) { p.Expiration = "400" })
	c.want(amqp.Ack)
	if got := c.answer("a", true); got != "failed" {
		t.Fatal(got)
	}
	c.publish("b", "once", func(p *amqp.Props) { p.Expiration = "3000" })
	c.want(amqp.Ack)
	if got := c.answer("b", true); got == "delivered" {
		t.Fatal("another channel's confirm was taken for its own")
	}
}
