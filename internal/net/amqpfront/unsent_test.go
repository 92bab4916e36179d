package amqpfront

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
)

// An answer whose write fails is owed still, although its consumer needs no acknowledgement.
func TestAnswerWhoseWriteFailsIsOwed(t *testing.T) {
	for name, queue := range map[string]string{"queue": "answers", "direct reply-to": directReplyTo} {
		t.Run(name, func(t *testing.T) {
			broker := newBroker(t)
			addr, _ := start(t, t.TempDir(), broker)
			publisher, consumer := dial(t, addr), dial(t, addr)
			publisher.consumeFrom("answers", false)
			if queue == directReplyTo {
				publisher.publish("m", "once")
				publisher.want(amqp.Ack)
				publisher.wantAnswer("m", false)
			}
			publisher.writeMethod(1, amqp.Cancel, "c1.0", false)
			publisher.want(amqp.CancelOk)
			consumer.consumeFrom(queue, true)
			var failed atomic.Bool
			defer reactor.SetFaultHook(func(call reactor.SocketCall, peer string) *reactor.SocketFault {
				if call != reactor.CallWrite || peer != consumer.LocalAddr().String() || broker.count("m") == 0 {
					return nil
				}
				failed.Store(true)
				return &reactor.SocketFault{Errno: syscall.ECONNRESET}
			})()
			if queue == directReplyTo {
				consumer.publish("m", "once", withReplyTo(queue, "c-m"))
			} else {
				publisher.publish("m", "once")
				publisher.want(amqp.Ack)
			}
			for _, _, err := consumer.next(); err == nil; _, _, err = consumer.next() {
			}
			next := dial(t, addr)
			next.consumeFrom("answers", false)
			if next.wantAnswer("m", true); !failed.Load() || broker.count("m") != 1 {
				t.Fatal(failed.Load(), broker.count("m"))
			}
		})
	}
}

// dialSmall is like dial, with a connection whose socket buffers are small on both sides: those of the sender's side go
// by the segment size.
func dialSmall(t *testing.T, addr string) *testClient {
	t.Helper()
	const segmentSize, readBuffer = 536, 4096 // bytes
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		return errors.Join(raw.Control(func(fd uintptr) {
			err = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer))
		}), err)
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	client := &testClient{newFrameConn(conn), t}
	_, _ = client.Write([]byte(amqp.ProtocolHeader))
	client.handshake(amqp.Table{}, 0)
	return client
}

// The sender is killed while a consumer that needs no acknowledgements does not read: what the system has not taken
// over is owed to the next consumer, and all else is in the consumer's socket.
func TestAnswersToAConsumerThatDoesNotRead(t *testing.T) {
	const messages, diskBytes = 1500, 64 << 20
	broker, dir := newBroker(t), t.TempDir()
	broker.publish = func(conn *frameConn, ch uint16, _ *amqp.Message, tag uint64) {
		conn.writeMethod(ch, amqp.Ack, tag, false)
	}
	startHere := func() (addr string, kill func()) {
		return standin.StartWith(t, dir, standin.Settings(), diskBytes, nil, joinFor(broker, access.OpenPolicy("messages")))
	}
	addr, kill := startHere()
	consumer, publisher := dialSmall(t, addr), dial(t, addr)
	consumer.consumeFrom("answers", true)
	publisher.consumeFrom(directReplyTo, true)
	long := fmt.Sprintf("%0200d", 0)
	for i := range messages {
		publisher.publish(fmt.Sprint("m", i), "safe", withReplyTo("answers", long))
		publisher.want(amqp.Ack)
	}
	publisher.publishDirect("last", "last")
	publisher.wantCorrelation("last")
	kill()
	heard := map[string]bool{}
	record := func(client *testClient) {
		for {
			_, msg, err := client.next()
			if err != nil {
				return
			}
			if heard[msg.Props.MessageID] = true; msg.Props.MessageID == "last-of-all" {
				return
			}
		}
	}
	record(consumer)
	before := len(heard)
	addr, _ = startHere()
	next, publisher := dial(t, addr), dial(t, addr)
	next.consumeFrom("answers", true)
	publisher.publish("last-of-all", "safe", withReplyTo("answers", long))
	publisher.want(amqp.Ack)
	record(next)
	for i := range messages {
		if id := fmt.Sprint("m", i); !heard[id] {
			t.Errorf("no answer to %s", id)
		}
	}
	t.Logf("%d answers were in the socket, %d were owed", before, len(heard)-before)
	if len(heard) == before+1 {
		t.Error("the consumer's socket took everything: nothing was tried")
	}
}
