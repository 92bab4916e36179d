package amqpfront

import (
	"net"
	"syscall"
	"testing"

	"brackendale/internal/net/amqp"
)

// A publish that was given up, and that the broker had not read whole, is applied when the broker reads again.
func TestBytesOfAnAbandonedPublish(t *testing.T) {
	const smallBuffer, largeBody = 1024, 60_000
	broker := newBroker(t)
	raw, err := broker.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	answered, ended := make(chan bool), make(chan bool, 9)
	broker.step = func(step string) bool {
		if step == "publish" {
			<-answered // the broker does not read until the message has its final answer
			ended <- true
		}
		return false
	}
	applied := make(chan string, 9)
	broker.publish = func(_ *frameConn, _ uint16, msg *amqp.Message, _ uint64) { applied <- msg.Props.MessageID }
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.consume()
	props := &amqp.Props{
		MessageID: "m", Type: "once", ReplyTo: "answers", CorrelationID: "c-m", Expiration: "300",
		Headers: amqp.Table{"idempotency-key": "k"},
	}
	_, _ = client.Write(amqp.AppendMessage(nil, 1, amqp.Publish, props, make([]byte, largeBody), amqp.FrameMin, 0,
		"messages", "7", false, false))
	client.want(amqp.Ack)
	if got := client.wantAnswer("m", true); got != "failed" {
		t.Fatal(got)
	}
	close(answered)
	<-ended
	broker.connections.Wait()
	if len(applied) > 0 {
		t.Error("applied behind its end:", <-applied)
	}
}
