package amqpfront

import (
	"testing"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
)

// A reply-to with a zero byte is refused: the rest would be taken for the correlation-id, and the answer would go to a
// queue that the user may not read.
func TestReplyToWithAZeroByte(t *testing.T) {
	policy, err := access.New([]access.User{{Name: "guest", Hash: access.Plain("guest")}}, []access.Host{{
		Name: access.Root, Exchange: "messages",
		Permissions: []access.Permission{{User: "guest", Publish: ".*", Read: "(?s).*-own"}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	addr, _ := startFor(t, t.TempDir(), newBroker(t), policy)
	client := dial(t, addr)
	client.publish("m", "once", withReplyTo("another\x00-own", "c"))
	if msg := client.want(amqp.ChanClose); msg.Int(0) != amqp.PreconditionFailed {
		t.Error(msg.Int(0), msg.Str(1))
	}
	client = dial(t, addr)
	client.publish("m", "once", withReplyTo("my-own", "c\x00d"))
	client.want(amqp.Ack)
	client.consumeFrom("my-own", true)
	client.wantCorrelation("c\x00d")
}
