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
	chargesHeld      = 400 // published in a test
	consumerStall    = 3 * time.Second
	unreliableShare  = 10 // one of so many calls is answered with 500, and one is cut
	chargesPerSecond = 60
)

// gatedConn is a connection that stands still while its gate is shut, as a client that is stopped.
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

// ends is what a consumer has heard: the answers by correlation id.
type ends struct {
	mu       sync.Mutex
	answers  map[string]string
	connects int
}

func (e *ends) add(d *amqp091.Delivery) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers[d.CorrelationId] = d.Type
}

func (e *ends) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.answers)
}

// consumeUntil consumes the answers, anew after each close, until stop is closed.
func (e *ends) consumeUntil(addr string, gate *sync.RWMutex, stop chan bool) {
	for {
		conn, err := amqp091.DialConfig("amqp://guest:guest@"+addr+"/", amqp091.Config{
			Heartbeat: time.Second,
			Dial: func(network, addr string) (net.Conn, error) {
				plain, err := (&net.Dialer{}).DialContext(context.Background(), network, addr)
				return &gatedConn{plain, gate}, err
			},
		})
		if err == nil {
			e.consume(conn, stop)
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (e *ends) consume(conn *amqp091.Connection, stop chan bool) {
	ch, err := conn.Channel()
	if err != nil {
		return
	}
	e.mu.Lock()
	e.connects++
	e.mu.Unlock()
	deliveries, err := ch.Consume("answers", "", false, false, false, false, nil)
	if err != nil {
		return
	}
	for {
		select {
		case d, ok := <-deliveries:
			if !ok {
				return
			}
			e.add(&d)
			if d.Ack(false) != nil {
				return
			}
		case <-stop:
			return
		}
	}
}

// unreliablePartner answers a tenth of the calls with 500 and cuts a tenth.
func unreliablePartner(t *testing.T) string {
	t.Helper()
	var mu sync.Mutex
	calls := 0
	partner := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		calls++
		call := calls
		mu.Unlock()
		switch call % unreliableShare {
		case 3:
			rw.WriteHeader(http.StatusInternalServerError)
		case 7:
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(func() { partner.CloseClientConnections(); partner.Close() })
	partner.Config.ErrorLog = nil
	return partner.Listener.Addr().String()
}

// Ends are lost, or come late, where a consumer stands still until the sender closes it for its heartbeats, with ends
// in its socket and unacknowledged.
func TestEndsReachAConsumerThatStalls(t *testing.T) {
	a := newAppliance(t)
	text := strings.Replace(fmt.Sprintf(applianceFile, 0.5, 0, a.amqp, a.resp), `effect = "repeatable"`,
		`effect = "once"`, 1)
	text = strings.Replace(text, "heartbeat_s = 0", "heartbeat_s = 1", 1)
	text = strings.Replace(text, `dial = "127.0.0.1:9"`, fmt.Sprintf("dial = %q", unreliablePartner(t)), 1)
	if err := os.WriteFile(a.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	go func() { a.done <- Serve(t.Context(), a.file, Options{}) }()
	a.ready()
	heard, gate, stop := &ends{answers: map[string]string{}}, &sync.RWMutex{}, make(chan bool)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); heard.consumeUntil(a.amqp, gate, stop) }()
	accepted := publishCharges(t, a.amqp, func(i int) {
		if i%(chargesHeld/2) == chargesHeld/4 {
			gate.Lock()
			time.AfterFunc(consumerStall, gate.Unlock)
		}
	})
	for until := time.Now().Add(2 * standin.Long); heard.count() < accepted && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	if got := heard.count(); got != accepted || accepted == 0 {
		t.Fatalf("%d of %d accepted charges have an end", got, accepted)
	}
	if heard.connects < 3 {
		t.Fatalf("the consumer was not closed for its stalls: %d connections", heard.connects)
	}
}

// publishCharges publishes charges at a steady pace and returns how many were accepted; each is called before one.
func publishCharges(t *testing.T, addr string, each func(i int)) (accepted int) {
	t.Helper()
	conn, err := amqp091.Dial("amqp://guest:guest@" + addr + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ch, err := conn.Channel()
	if err == nil {
		err = ch.Confirm(false)
	}
	if err != nil {
		t.Fatal(err)
	}
	var confirms []*amqp091.DeferredConfirmation
	for i := range chargesHeld {
		each(i)
		id := fmt.Sprint("m", i)
		confirm, err := ch.PublishWithDeferredConfirmWithContext(t.Context(), "messages", "1", false, false,
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
