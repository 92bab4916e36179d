package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/testing/standin"

	"github.com/rabbitmq/amqp091-go"
)

const (
	chargeCount      = 400 // charges published in a test
	consumerStall    = 3 * time.Second
	failureInterval  = 10 // of this many calls, one is answered with status 500, and one is aborted
	chargesPerSecond = 60
)

// gatedConn is a connection whose reads and writes block while its gate is locked, as those of a stopped client.
type gatedConn struct {
	net.Conn
	gate *sync.RWMutex
}

func (c *gatedConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}

func (c *gatedConn) Write(buf []byte) (int, error) {
	c.gate.RLock()
	defer c.gate.RUnlock()
	return c.Conn.Write(buf)
}

// consumerAnswers has the final answers that a consumer received.
type consumerAnswers struct {
	mu              sync.Mutex
	byCorrelationID map[string]string
	connects        int // number of connections made
}

func (a *consumerAnswers) add(delivery *amqp091.Delivery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byCorrelationID[delivery.CorrelationId] = delivery.Type
}

func (a *consumerAnswers) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byCorrelationID)
}

// consumeUntil consumes answers until stop is closed. It connects again each time that the connection is closed.
func (a *consumerAnswers) consumeUntil(addr string, gate *sync.RWMutex, stop chan bool) {
	for {
		conn, err := amqp091.DialConfig("amqp://guest:guest@"+addr+"/", amqp091.Config{
			Heartbeat: time.Second,
			Dial: func(network, addr string) (net.Conn, error) {
				rawConn, err := (&net.Dialer{}).DialContext(context.Background(), network, addr)
				return &gatedConn{rawConn, gate}, err
			},
		})
		if err == nil {
			a.consume(conn, stop)
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (a *consumerAnswers) consume(conn *amqp091.Connection, stop chan bool) {
	channel, err := conn.Channel()
	if err != nil {
		return
	}
	a.mu.Lock()
	a.connects++
	a.mu.Unlock()
	deliveries, err := channel.Consume("answers", "", false, false, false, false, nil)
	if err != nil {
		return
	}
	for {
		select {
		case delivery, ok := <-deliveries:
			if !ok {
				return
			}
			a.add(&delivery)
			if delivery.Ack(false) != nil {
				return
			}
		case <-stop:
			return
		}
	}
}

// unreliablePartner starts a stand-in partner that replies to a tenth of the calls with status 500 and aborts another
// tenth.
func unreliablePartner(t *testing.T) string {
	t.Helper()
	var mu sync.Mutex
	calls := 0
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		calls++
		call := calls
		mu.Unlock()
		switch call % failureInterval {
		case 3:
			w.WriteHeader(http.StatusInternalServerError)
		case 7:
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(func() { partner.CloseClientConnections(); partner.Close() })
	partner.Config.ErrorLog = nil
	return partner.Listener.Addr().String()
}

// All final answers must reach a consumer that stalls until the sender closes its connection for missing heartbeats,
// while answers are in its socket or unacknowledged. The failure: such answers were lost or late.
func TestFinalAnswersReachStalledConsumer(t *testing.T) {
	appliance := newAppliance(t)
	text := strings.Replace(fmt.Sprintf(applianceConfig, 0.5, 0, appliance.amqpAddr, appliance.respAddr),
		`effect = "repeatable"`, `effect = "once"`, 1)
	text = strings.Replace(text, "heartbeat_s = 0", "heartbeat_s = 1", 1)
	text = strings.Replace(text, `dial = "127.0.0.1:9"`, fmt.Sprintf("dial = %q", unreliablePartner(t)), 1)
	if err := os.WriteFile(appliance.configFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	appliance.start()
	answers, gate, stop := &consumerAnswers{byCorrelationID: map[string]string{}}, &sync.RWMutex{}, make(chan bool)
	var consumer sync.WaitGroup
	consumer.Add(1)
	go func() { defer consumer.Done(); answers.consumeUntil(appliance.amqpAddr, gate, stop) }()
	accepted := publishCharges(t, appliance.amqpAddr, func(i int) {
		if i%(chargeCount/2) == chargeCount/4 {
			gate.Lock()
			time.AfterFunc(consumerStall, gate.Unlock)
		}
	})
	for deadline := time.Now().Add(2 * standin.Long); answers.count() < accepted && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	consumer.Wait()
	if got := answers.count(); got != accepted || accepted == 0 {
		t.Fatalf("%d of %d accepted charges have a final answer", got, accepted)
	}
	if answers.connects < 3 {
		t.Fatalf("the connection of the stalled consumer was not closed: %d connections", answers.connects)
	}
}

// publishCharges publishes charges at a constant rate and returns how many were accepted. before is called before
// each.
func publishCharges(t *testing.T, addr string, before func(i int)) (accepted int) {
	t.Helper()
	conn, err := amqp091.Dial("amqp://guest:guest@" + addr + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	channel, err := conn.Channel()
	if err == nil {
		err = channel.Confirm(false)
	}
	if err != nil {
		t.Fatal(err)
	}
	var confirms []*amqp091.DeferredConfirmation
	for i := range chargeCount {
		before(i)
		id := fmt.Sprint("m", i)
		confirm, err := channel.PublishWithDeferredConfirmWithContext(t.Context(), "messages", "1", false, false,
			amqp091.Publishing{MessageId: id, Type: "note", ReplyTo: "answers", CorrelationId: id, Body: []byte("b")})
		if err != nil {
			t.Fatal(err)
		}
		confirms = append(confirms, confirm)
		time.Sleep(time.Second / chargesPerSecond)
	}
	for _, confirm := range confirms {
		ok, err := confirm.WaitContext(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			accepted++
		}
	}
	return accepted
}
