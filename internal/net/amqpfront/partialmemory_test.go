package amqpfront

import (
	"io"
	"testing"

	"brackendale/internal/net/amqp"
)

// Beyond the limit on unfinished frames, the client whose frame has been unfinished for longest is closed, and the
// others go on. A connection that is being closed and sends another unfinished frame is cut.
func TestMostlyUnfinishedFramesAreRejected(t *testing.T) {
	front := newTestFrontWithFrameLimit(t, nil)
	const bufferSize = 4 << 10 // of a partial frame of half of this size
	front.onLoop(func() { front.ingress.LimitPartialMemory(bufferSize * 3 / 2) })
	beginning := append(incompleteFrame[:len(incompleteFrame):len(incompleteFrame)], make([]byte, bufferSize/2)...)
	first, second := dialWith(t, front.addr, nil), dialWith(t, front.addr, nil)
	for _, client := range []*testClient{first, second} {
		client.handshake(amqp.Table{}, 0)
		_, _ = client.Write(beginning)
		front.waitForPartialFrame()
	}
	if closed := first.want(amqp.ConnClose); closed.Int(0) != amqp.ResourceError {
		t.Errorf("connection.close with %d", closed.Int(0))
	}
	const frameEnd = 0xCE
	_, _ = second.Write(append(make([]byte, 4000-bufferSize/2), frameEnd))
	if closed := second.want(amqp.ConnClose); closed.Int(0) == amqp.ResourceError { // a whole frame, of the wrong kind
		t.Error("the other client's unfinished frame was rejected, too")
	}

	front.onLoop(func() { front.ingress.LimitPartialMemory(bufferSize / 2) })
	_, _ = first.Write(beginning)
	if _, err := io.ReadAll(first); err != nil {
		t.Errorf("a connection that is being closed sends an unfinished frame: %v", err)
	}
	front.onLoop(func() {
		if front.ingress.partialMemory.Exceeded() {
			t.Error("the memory of closed connections is not freed")
		}
	})
}
