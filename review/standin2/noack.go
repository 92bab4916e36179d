package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The messages of noAck: so many that the answers for them exceed what the system's buffers hold.
const (
	noAckWindow    = 40    // publishes without a confirm
	noAckOpen      = 60    // messages that the partner has not run yet
	noAckMessages  = 12000 // at most
	noAckTime      = 45 * time.Second
	noAckQueueName = "answers-of-the-ledger-"
)

// noAck: a consumer without acknowledgements does not read for some seconds, while the answers to what its client has
// published come in. The sender is killed and started again. Then the consumer reads all that had left, and consumes
// again.
func noAck(e *env) {
	partner := newEndpoint(e)
	amqp, state := freeAddr(), filepath.Join(e.dir, "state")
	config := applianceConfig("sender", amqp, 64) + httpRoute("lab", 1, partner.addr)
	p := e.serve("sender", config, state)
	e.waitAMQP(p, amqp).reset()
	queue := noAckQueueName + strings.Repeat("q", 120-len(noAckQueueName))

	consumer, err := dialAMQP(amqp, 4096)
	e.must(err, "the consumer")
	e.must(consumer.openChannel(1, false), "its channel")
	e.must(consumer.consume(1, queue, strings.Repeat("c", 200), true), "its consumer")
	e.log("consumer: consumes without acknowledgements, and does not read from now on")

	publisher, err := dialAMQP(amqp, 0)
	e.must(err, "the publisher")
	e.must(publisher.openChannel(1, true), "its channel")
	id := func(n int) string { return fmt.Sprintf("state-%05d", n) }
	var (
		mu       sync.Mutex
		accepted = map[string]bool{}
		room     = make(chan bool, noAckWindow)
		enough   = make(chan bool)
	)
	open := map[uint64]bool{} // the tags without a confirm
	go func() {
		for {
			m, err := publisher.next()
			if err != nil {
				return
			}
			mu.Lock()
			for tag := range open {
				if tag == m.tag || m.again && tag < m.tag { // again: multiple
					accepted[id(int(tag))] = m.method == basicAck
					delete(open, tag)
					<-room
				}
			}
			mu.Unlock()
		}
	}()
	published := 0
	go func() {
		defer close(enough)
		for n := 1; n <= noAckMessages; n++ {
			room <- true
			for n-partner.total() > noAckOpen && time.Since(e.start) < noAckTime {
				time.Sleep(time.Millisecond)
			}
			if time.Since(e.start) >= noAckTime {
				return
			}
			mu.Lock()
			open[uint64(n)] = true
			mu.Unlock()
			if publisher.publish(1, "messages", "1", props{
				messageID: id(n), typ: "calib-state", replyTo: queue, correlationID: strings.Repeat("x", 240),
			}, nil) != nil {
				return
			}
			published = n
		}
	}()
	<-enough
	time.Sleep(8 * time.Second) // all have their answers by now: the deadline is 6 s
	mu.Lock()
	owed := 0
	for _, taken := range accepted {
		if taken {
			owed++
		}
	}
	mu.Unlock()
	e.log("publisher: %d published, %d confirmed with basic.ack, in all", published, owed)
	if e.trouble {
		e.log("sender: SIGKILL")
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	answered := map[string]int{}
	read := func(c *client, limit time.Duration) error {
		for {
			_ = c.conn.SetReadDeadline(time.Now().Add(limit))
			m, err := c.next()
			if err != nil {
				return err
			}
			if m.method == basicDeliver {
				answered[m.props.messageID]++
			}
		}
	}
	e.log("consumer: reads again")
	err = read(consumer, 3*time.Second)
	e.log("consumer: %d answers, then %v", len(answered), err)
	if errors.Is(err, syscall.ECONNRESET) {
		e.finish(unable, "the connection was reset, and with it went what had left")
	}
	if e.trouble && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		e.finish(unable, "the consumer's connection did not end")
	}
	if e.trouble {
		p = e.serve("sender", config, state)
		again := e.waitAMQP(p, amqp)
		e.must(again.openChannel(1, false), "the channel after the restart")
		e.must(again.consume(1, queue, "again", true), "the consumer after the restart")
		before := len(answered)
		err = read(again, 10*time.Second)
		e.log("consumer after the restart: %d further answers, then %v", len(answered)-before, err)
	}
	lost := 0
	for id, taken := range accepted {
		if taken && answered[id] == 0 {
			if lost++; lost <= 5 {
				e.log("%s: taken on, ran %d times, never answered", id, partner.ran(id))
			}
		}
	}
	if lost > 1 { // one may have left in part
		e.finish(broken, "%d of %d messages that were taken on were never answered", lost, owed)
	}
	e.finish(held, "%d messages, all answered", owed)
}
