// Package interop tests client libraries from public registries against a running sender. It is a separate module, so
// that the sender does not depend on them.
package interop

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

const hangTimeout = 20 * time.Second // ends a hang; no test case depends on timing

var program string

// TestMain builds the sender, unless INTEROP_PROGRAM names an executable to test.
func TestMain(m *testing.M) {
	if program = os.Getenv("INTEROP_PROGRAM"); program != "" {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "interop")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "brackendale")
	build := exec.Command("go", "build", "-o", program, "./cmd/brackendale")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// site is a sender, its configuration and its stand-in endpoint.
type site struct {
	t       *testing.T
	url     string
	dir     string
	partner string
	proc    *os.Process
	mu      sync.Mutex
	applied map[string]int
}

func start(t *testing.T) *site {
	t.Helper()
	s := prepare(t)
	addr := freeAddr(t)
	s.write(fmt.Sprintf("listen = %q\nuser = \"lab\"\npassword = \"secret\"\nexchange = \"messages\"\n", addr))
	s.serve(addr)
	s.url = "amqp://lab:secret@" + addr + "/"
	return s
}

// prepare creates a site whose sender is not started yet.
func prepare(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, applied: map[string]int{}, dir: t.TempDir()}
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.applied[r.Header.Get("Req-Id")]++
		s.mu.Unlock()
	}))
	t.Cleanup(partner.Close)
	s.partner = partner.Listener.Addr().String()
	return s
}

// freeAddr returns a loopback address that no process is listening on at the time of the call.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (s *site) file() string { return filepath.Join(s.dir, "site.toml") }

// write writes the configuration file; amqpPart starts with the keys of its [amqp] section.
func (s *site) write(amqpPart string) {
	s.t.Helper()
	if err := os.WriteFile(s.file(), fmt.Appendf(nil, `[[class]]
name = "charge"
effect = "once"
aim_ms = 2000
deadline_ms = 20000
worth = 1
[[route]]
name = "partner"
dest = 1
proto = "http"
dial = %q
[amqp]
%s`, s.partner, amqpPart), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// serve starts the sender and waits until it accepts connections at addr.
func (s *site) serve(addr string) {
	s.t.Helper()
	c := exec.Command(program, "serve", "--config", s.file())
	c.Env = append(os.Environ(), "LB_STATE="+s.dir, "LB_CONFIG=")
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.proc = c.Process
	s.t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	for started := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if p, err := net.Dial("tcp", addr); err == nil {
			_ = p.Close()
			return
		} else if time.Since(started) > hangTimeout {
			s.t.Fatal(err)
		}
	}
}

func (s *site) channel() *amqp.Channel {
	s.t.Helper()
	c, err := amqp.Dial(s.url)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	ch, err := c.Channel()
	if err != nil {
		s.t.Fatal(err)
	}
	return ch
}

// publish submits a message and waits for its confirm.
func (s *site) publish(ch *amqp.Channel, id, replyTo string) error {
	if err := ch.Confirm(false); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	d, err := ch.PublishWithDeferredConfirmWithContext(ctx, "messages", "1", true, false,
		amqp.Publishing{MessageId: id, Type: "charge", ReplyTo: replyTo, CorrelationId: "c-" + id, Body: []byte("body")})
	if err != nil {
		return err
	}
	if ok, err := d.WaitContext(ctx); err != nil || !ok {
		return fmt.Errorf("confirmed %v: %w", ok, err)
	}
	return nil
}

// checkDelivered waits for the final answer and checks that the endpoint received the message exactly once.
func (s *site) checkDelivered(answers <-chan amqp.Delivery, id string) error {
	select {
	case d := <-answers:
		s.mu.Lock()
		n := s.applied[id]
		s.mu.Unlock()
		if d.MessageId != id || d.CorrelationId != "c-"+id || d.Type != "delivered" || n != 1 {
			return fmt.Errorf("%s %s %s, applied %d times", d.MessageId, d.CorrelationId, d.Type, n)
		}
		return nil
	case <-time.After(hangTimeout):
		return errors.New("no final answer")
	}
}

// wantError returns nil if err is an AMQP error with that code.
func wantError(err error, code int) error {
	var e *amqp.Error
	if !errors.As(err, &e) || e.Code != code {
		return fmt.Errorf("want %d: %w", code, err)
	}
	return nil
}

// A client library must be able to use each feature, and what the sender does not support must be refused with the
// code that docs/amqp.md lists.
func TestClientFeatures(t *testing.T) {
	s := start(t)
	for name, testCase := range map[string]func(ch *amqp.Channel, id string) error{
		"publish, confirm, answer, ack": func(ch *amqp.Channel, id string) error {
			answers, err := ch.Consume(id, "", false, false, false, false, nil)
			if err == nil {
				err = s.publish(ch, id, id)
			}
			return errors.Join(err, s.checkDelivered(answers, id))
		},
		"consume without acknowledgement": func(ch *amqp.Channel, id string) error {
			answers, err := ch.Consume(id, "", true, false, false, false, nil)
			return errors.Join(err, s.publish(ch, id, id), s.checkDelivered(answers, id))
		},
		"direct reply-to": func(ch *amqp.Channel, id string) error {
			answers, err := ch.Consume("amq.rabbitmq.reply-to", "", true, false, false, false, nil)
			return errors.Join(err, s.publish(ch, id, "amq.rabbitmq.reply-to"), s.checkDelivered(answers, id))
		},
		"a queue of the server's naming": func(ch *amqp.Channel, id string) error {
			q, err := ch.QueueDeclare("", false, true, true, false, nil)
			if err != nil {
				return err
			}
			answers, err := ch.Consume(q.Name, "", false, true, false, false, nil)
			return errors.Join(err, s.publish(ch, id, q.Name), s.checkDelivered(answers, id))
		},
		"get": func(ch *amqp.Channel, id string) error {
			if _, err := ch.QueueDeclare(id, true, false, false, false, nil); err != nil {
				return err
			}
			if err := s.publish(ch, id, id); err != nil {
				return err
			}
			for {
				d, ok, err := ch.Get(id, false)
				if err != nil {
					return err
				}
				if ok {
					one := make(chan amqp.Delivery, 1)
					one <- d
					return errors.Join(s.checkDelivered(one, id), d.Ack(false))
				}
				time.Sleep(time.Millisecond)
			}
		},
		"qos, nack with requeue, redelivered": func(ch *amqp.Channel, id string) error {
			answers, err := ch.Consume(id, "", false, false, false, false, nil)
			if err = errors.Join(err, ch.Qos(1, 0, false), s.publish(ch, id, id)); err != nil {
				return err
			}
			d := <-answers
			if err := d.Nack(false, true); err != nil {
				return err
			}
			if d = <-answers; !d.Redelivered {
				return errors.New("not marked as redelivered")
			}
			return d.Ack(true)
		},
		"cancel": func(ch *amqp.Channel, id string) error {
			_, err := ch.Consume(id, "me", false, false, false, false, nil)
			return errors.Join(err, ch.Cancel("me", false))
		},
		"flow": func(ch *amqp.Channel, _ string) error { return errors.Join(ch.Flow(false), ch.Flow(true)) },
		"recover": func(ch *amqp.Channel, _ string) error {
			return ch.Recover(true) //nolint:staticcheck // deprecated there, served here
		},
		"queue.purge": func(ch *amqp.Channel, id string) error {
			_, err := ch.QueueDeclare(id, true, false, false, false, nil)
			_, perr := ch.QueuePurge(id, false)
			return errors.Join(err, perr)
		},
		"queue.delete": func(ch *amqp.Channel, id string) error {
			_,
				err := ch.QueueDelete(id, false, false, false)
			return err
		},
		"queue limits": func(ch *amqp.Channel, id string) error {
			_, err := ch.QueueDeclare(id, true, false, false, false, amqp.Table{"x-max-length": 10, "x-message-ttl": 60000})
			return err
		},
		"exchange.declare": func(ch *amqp.Channel, _ string) error {
			return ch.ExchangeDeclare("messages", "direct", true, false, false, false, nil)
		},
		"exchange.declare, passively": func(ch *amqp.Channel, _ string) error {
			return ch.ExchangeDeclarePassive("messages", "direct", true, false, false, false, nil)
		},
		"exchange.declare of another": func(ch *amqp.Channel, _ string) error {
			return wantError(ch.ExchangeDeclare("mine", "topic", true, false, false, false, nil), 403)
		},
		"queue.bind": func(ch *amqp.Channel, id string) error {
			_, err := ch.QueueDeclare(id, true, false, false, false, nil)
			return errors.Join(err, wantError(ch.QueueBind(id, "1", "messages", false, nil), 540))
		},
		"transactions": func(ch *amqp.Channel, id string) error {
			answers, err := ch.Consume(id, "", false, false, false, false, nil)
			if err = errors.Join(err, ch.Tx()); err != nil {
				return err
			}
			publishInTx := func(id, replyTo string) error {
				return ch.PublishWithContext(context.Background(), "messages", "1", false, false,
					amqp.Publishing{MessageId: id, Type: "charge", ReplyTo: replyTo, CorrelationId: "c-" + id})
			}
			if err := errors.Join(publishInTx(id+"-back", id), ch.TxRollback(), publishInTx(id, id), ch.TxCommit(),
				s.checkDelivered(answers, id)); err != nil {
				return err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.applied[id+"-back"] != 0 {
				return errors.New("a publish that was rolled back was applied")
			}
			return nil
		},
		"a mandatory publish to nowhere": func(ch *amqp.Channel, id string) error {
			back := ch.NotifyReturn(make(chan amqp.Return, 1))
			if err := ch.Confirm(false); err != nil {
				return err
			}
			err := ch.PublishWithContext(context.Background(), "messages", "99", true, false,
				amqp.Publishing{MessageId: id, Type: "charge", ReplyTo: id})
			if r := <-back; err != nil || r.ReplyCode != 312 {
				return fmt.Errorf("%d: %w", r.ReplyCode, err)
			}
			return nil
		},
		"another virtual host": func(*amqp.Channel, string) error {
			_,
				err := amqp.Dial(s.url + "other")
			return wantError(err, 530)
		},
		"a wrong password": func(*amqp.Channel, string) error {
			_, err := amqp.DialConfig(s.url, amqp.Config{SASL: []amqp.Authentication{&amqp.PlainAuth{
				Username: "lab",
				Password: "x",
			}}})
			return wantError(err, 403)
		},
		"AMQPLAIN": func(*amqp.Channel, string) error {
			c, err := amqp.DialConfig(s.url, amqp.Config{SASL: []amqp.Authentication{&amqp.AMQPlainAuth{
				Username: "lab",
				Password: "secret",
			}}})
			if err == nil {
				err = c.Close()
			}
			return err
		},
		"forty channels": func(*amqp.Channel, string) error {
			c, err := amqp.Dial(s.url)
			for i := 0; i < 40 && err == nil; i++ {
				_, err = c.Channel()
			}
			return err
		},
		"update-secret": func(*amqp.Channel, string) error {
			c, err := amqp.Dial(s.url)
			if err != nil {
				return err
			}
			return errors.Join(c.UpdateSecret("secret", "a new day"), c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			if err := testCase(s.channel(), fmt.Sprintf("id-%d", time.Now().UnixNano())); err != nil {
				t.Error(err)
			}
		})
	}
}

// A burst far above the number of messages that the sender queues must end with a confirm or a rejection for each
// publish: confirmed messages have one final answer each, rejected messages have none.
func TestBurstAboveQueueLimit(t *testing.T) {
	s := start(t)
	ch := s.channel()
	answers, err := ch.Consume("answers", "", true, false, false, false, nil)
	if err = errors.Join(err, ch.Confirm(false)); err != nil {
		t.Fatal(err)
	}
	const burst = 4000
	confirms := ch.NotifyPublish(make(chan amqp.Confirmation, burst))
	for i := range burst {
		if err := ch.PublishWithContext(context.Background(), "messages", "1", false, false,
			amqp.Publishing{MessageId: fmt.Sprint("m", i+1), Type: "charge", ReplyTo: "answers"}); err != nil {
			t.Fatal(err)
		}
	}
	confirmed := map[string]bool{}
	for range burst {
		select {
		case c := <-confirms:
			if c.Ack {
				confirmed[fmt.Sprint("m", c.DeliveryTag)] = true
			}
		case <-time.After(hangTimeout):
			t.Fatal("a publish has neither a confirm nor a rejection")
		}
	}
	if len(confirmed) == 0 || len(confirmed) == burst {
		t.Fatal("want some publishes confirmed and some rejected; confirmed:", len(confirmed))
	}
	for n := len(confirmed); n > 0; n-- {
		select {
		case d := <-answers:
			if !confirmed[d.MessageId] {
				t.Errorf("%s was rejected, but has a final answer", d.MessageId)
			}
			delete(confirmed, d.MessageId)
		case <-time.After(hangTimeout):
			t.Fatal(len(confirmed), "publishes were confirmed, but have no final answer")
		}
	}
}
