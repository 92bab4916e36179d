package amqpfront

import (
	"testing"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/sender"
)

// The acks of consecutive delivery tags that are written in one turn of the loop are merged to one ack with multiple.
// An ack with multiple must never cover a publish that was rejected or is still pending: the client would take it for
// accepted.
func TestConsecutiveConfirmsAreMerged(t *testing.T) {
	front := newTestFront(t, newBroker(t), 10, time.Minute)
	client := dial(t, front.addr)
	type confirmation struct {
		tag      uint64
		verdict  sender.Verdict
		reply    amqp.Key // the method that must arrive; none if a later ack covers the tag
		multiple bool     // the bit in the reply
	}
	const none = amqp.Key(0)
	var ch *channel
	front.onLoop(func() { ch = lastSession(front.ingress).channelByID(1) })
	for name, turns := range map[string][][]confirmation{
		"in a row": {{
			{1, sender.Accepted, none, false},
			{2, sender.Accepted, none, false},
			{3, sender.Accepted, amqp.Ack, true},
		}},
		"a refusal first in the next turn": {
			{{1, sender.Accepted, amqp.Ack, false}},
			{{2, sender.Rejected, amqp.Nack, false}, {3, sender.Accepted, amqp.Ack, false}},
		},
		"a refusal told before": {{
			{2, sender.Rejected, amqp.Nack, false},
			{1, sender.Accepted, amqp.Ack, false},
			{3, sender.Accepted, amqp.Ack, false},
		}},
		"a refusal between": {{
			{1, sender.Accepted, amqp.Ack, false},
			{2, sender.Rejected, amqp.Nack, false},
			{3, sender.Accepted, amqp.Ack, false},
		}},
		"one before waits": {
			{{2, sender.Accepted, amqp.Ack, false}, {3, sender.Accepted, amqp.Ack, false}},
			{{1, sender.Accepted, amqp.Ack, false}},
		},
	} {
		publishes := map[uint64]*incomingPublish{}
		front.onLoop(func() {
			for tag := uint64(1); tag <= 3; tag++ {
				publish := &incomingPublish{channel: ch, tag: tag}
				publish.IngressData = publish
				publishes[tag] = publish
				ch.pending = append(ch.pending, &publish.Request)
				ch.session.addPending(1)
			}
		})
		for _, turn := range turns {
			front.onLoop(func() {
				for _, confirm := range turn {
					ch.session.host.Answer(&publishes[confirm.tag].Request, confirm.verdict, 0)
				}
			})
			for _, confirm := range turn {
				if confirm.reply == none {
					continue
				}
				if msg := client.want(confirm.reply); msg.Int(0) != confirm.tag || msg.Bool(1) != confirm.multiple {
					t.Errorf("%s: got %s of tag %d, multiple %v", name, msg.Key, msg.Int(0), msg.Bool(1))
				}
			}
		}
	}
}
