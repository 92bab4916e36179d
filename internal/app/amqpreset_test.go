package app

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/testing/standin"

	"github.com/rabbitmq/amqp091-go"
)

const (
	resetRounds      = 12
	resetMessages    = 60 // of a round
	maxResetDelay    = 8 * time.Millisecond
	upgradeEveryNth  = 3 // round
	partnerLatency   = 3 * time.Millisecond
	resetPublishTime = 5 * time.Second // in which the second client gets its confirms
)

// countingPartner is a stand-in partner that counts the calls of each message.
type countingPartner struct {
	mu    sync.Mutex
	calls map[string]int // by message ID
}

// ServeHTTP answers a call.
func (p *countingPartner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	p.mu.Lock()
	p.calls[request.Header.Get("Req-Id")]++
	p.mu.Unlock()
	time.Sleep(partnerLatency)
	writer.WriteHeader(http.StatusOK)
}

// publishAndReset publishes messages without reading the confirms, and resets the connection after a delay.
func publishAndReset(t *testing.T, addr string, ids []string, delay time.Duration) {
	t.Helper()
	var rawConn *net.TCPConn
	conn, err := amqp091.DialConfig("amqp://guest:guest@"+addr+"/", amqp091.Config{
		Dial: func(network, addr string) (net.Conn, error) {
			netConn, err := (&net.Dialer{}).DialContext(t.Context(), network, addr)
			if err == nil {
				rawConn = netConn.(*net.TCPConn)
			}
			return netConn, err
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	channel, err := conn.Channel()
	if err != nil {
		t.Fatal(err)
	}
	_ = rawConn.SetLinger(0)
	time.AfterFunc(delay, func() { _ = rawConn.Close() })
	for _, id := range ids {
		if channel.PublishWithContext(t.Context(), "messages", "1", false, false, resetMessage(id)) != nil {
			return
		}
	}
}

func resetMessage(id string) amqp091.Publishing {
	return amqp091.Publishing{MessageId: id, Type: "note", ReplyTo: "answers", CorrelationId: id, Body: []byte("b")}
}

// publishConfirmed publishes messages and waits for their confirms.
func publishConfirmed(t *testing.T, addr string, ids []string) {
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
	ctx, cancel := context.WithTimeout(t.Context(), resetPublishTime)
	defer cancel()
	for _, id := range ids {
		confirm, err := channel.PublishWithDeferredConfirmWithContext(ctx, "messages", "1", false, false, resetMessage(id))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := confirm.WaitContext(ctx); err != nil {
			t.Fatal(id, err)
		}
	}
}

// Picture (c) on AMQP: a message ran twice when its client reset the connection with the confirms unread and the
// message came again on another connection, also at the other process of an upgrade.
func TestMessagesOfAResetClientThatComeAgain(t *testing.T) {
	partner := &countingPartner{calls: map[string]int{}}
	server := httptest.NewServer(partner)
	t.Cleanup(server.Close)
	env := newApplianceEnv(t)
	text, err := os.ReadFile(env.configFile())
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), `effect = "repeatable"`, `effect = "once"`, 1)
	changed = strings.Replace(changed, `dial = "127.0.0.1:9"`, fmt.Sprintf("dial = %q", server.Listener.Addr()), 1)
	if err := os.WriteFile(env.configFile(), []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	proc := env.startProcess()
	env.waitReady(proc)
	rng := rand.New(rand.NewSource(64))
	published := 0
	for round := range resetRounds {
		var ids []string
		for i := range resetMessages {
			ids = append(ids, fmt.Sprintf("r%d-%d", round, i))
		}
		publishAndReset(t, env.amqpAddr, ids, time.Duration(rng.Int63n(int64(maxResetDelay))))
		if round%upgradeEveryNth == 0 {
			successor := env.startProcess()
			env.waitReady(successor)
			_ = proc.Process.Signal(syscall.SIGTERM)
			defer env.waitExit(proc)
			proc = successor
		}
		publishConfirmed(t, env.amqpAddr, ids)
		published += len(ids)
	}
	count := func() (ran, twice int) {
		partner.mu.Lock()
		defer partner.mu.Unlock()
		for _, calls := range partner.calls {
			ran++
			if calls > 1 {
				twice++
			}
		}
		return ran, twice
	}
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ran, _ := count(); ran == published {
			break
		}
	}
	if ran, twice := count(); twice > 0 || ran != published {
		t.Errorf("%d of %d messages ran, %d of them twice", ran, published, twice)
	}
}
