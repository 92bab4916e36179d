package app

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"brackendale/internal/hotrestart"
)

// The limits of a restart link.
const (
	maxQueuedMessages  = 4096        // messages queued while the peer does not read
	linkWriteTimeout   = time.Second // for one message
	flushCheckInterval = time.Millisecond
)

// restartLink is the connection between predecessor and successor. A separate goroutine writes the messages in order,
// so neither core waits for the other process. send, flushed and close may be called on any goroutine; receive is not
// safe for concurrent use.
type restartLink struct {
	conn        net.Conn
	reader      *hotrestart.Reader
	descriptors descriptorReader
	wake        chan struct{} // notifies the writer of new messages and of the close

	mu     sync.Mutex
	queue  []hotrestart.Message
	closed bool
	idle   bool  // the writer has written all messages
	failed error // why a message could not be written; nil: all could
}

func newRestartLink(conn net.Conn) *restartLink {
	l := &restartLink{conn: conn, descriptors: descriptorReader{conn: conn}, wake: make(chan struct{}, 1), idle: true}
	l.reader = hotrestart.NewReader(&l.descriptors)
	go l.write()
	return l
}

// send queues a message. If the queue is full since the peer does not read, the connection is closed.
func (l *restartLink) send(msg hotrestart.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if len(l.queue) >= maxQueuedMessages {
		l.closed = true
		_ = l.conn.Close()
		return
	}
	l.queue, l.idle = append(l.queue, msg), false
	l.wakeWriter()
}

// wakeWriter never blocks: one pending wake-up is enough.
func (l *restartLink) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write runs on the writer's goroutine until the connection is closed.
func (l *restartLink) write() {
	for range l.wake {
		for {
			batch, closed := l.dequeueAll()
			if closed {
				return
			}
			if len(batch) == 0 {
				break
			}
			for _, msg := range batch {
				_ = l.conn.SetWriteDeadline(time.Now().Add(linkWriteTimeout))
				if err := l.writeMessage(msg); err != nil {
					l.fail(err)
					return
				}
			}
		}
	}
}

// writeMessage writes one message with its descriptors, which it closes.
func (l *restartLink) writeMessage(msg hotrestart.Message) error {
	defer closeDescriptors(msg.Descriptors)
	raw, err := json.Marshal(msg)
	if err != nil {
		return fmt.Errorf("encoding a message of the kind %q: %w", msg.Kind, err)
	}
	return writeWithDescriptors(l.conn, append(raw, '\n'), msg.Descriptors)
}

// fail closes the connection after a message that could not be written, for example since it cannot be encoded.
func (l *restartLink) fail(err error) {
	l.mu.Lock()
	l.failed = err
	l.mu.Unlock()
	l.close()
}

// dequeueAll removes all messages from the queue and returns them to the writer.
func (l *restartLink) dequeueAll() (batch []hotrestart.Message, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, l.queue = l.queue, nil
	l.idle = len(batch) == 0
	return batch, l.closed
}

// receive reads one message, with the descriptors that came with it, which the caller closes. With a timeout of 0 it
// waits without limit. After a timeout no further message can be received.
func (l *restartLink) receive(timeout time.Duration) (hotrestart.Message, error) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = l.conn.SetReadDeadline(deadline)
	msg, err := l.reader.Next()
	msg.Descriptors = l.descriptors.take()
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		err = errors.Join(l.failed, err)
	}
	return msg, err
}

// flushed reports whether all messages have been written, or cannot be written since the connection is closed.
func (l *restartLink) flushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed || l.idle && len(l.queue) == 0
}

// waitFlushed returns once all messages have been written or the connection is closed.
func (l *restartLink) waitFlushed() {
	for !l.flushed() {
		time.Sleep(flushCheckInterval)
	}
}

func (l *restartLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	_ = l.conn.Close()
	l.wakeWriter()
}
