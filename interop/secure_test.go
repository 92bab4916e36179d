package interop

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"
)

// run runs a subcommand of the program and returns its output.
func run(t *testing.T, in string, args ...string) string {
	t.Helper()
	command := exec.Command(program, args...)
	command.Stdin = strings.NewReader(in)
	out, err := command.Output()
	if err != nil {
		t.Fatalf("%v: %v", args, err)
	}
	return strings.TrimSpace(string(out))
}

// secure is a site with TLS, two virtual hosts and two users, one of which authenticates by certificate.
type secure struct {
	*site
	keys string
	addr string
}

func startSecure(t *testing.T) *secure {
	t.Helper()
	s := &secure{site: prepare(t), addr: freeAddr(t)}
	s.keys = filepath.Join(s.dir, "keys")
	run(t, "", "keys", "init", "--dir", s.keys)
	run(t, "", "keys", "server", "--dir", s.keys, "127.0.0.1")
	run(t, "", "keys", "client", "--dir", s.keys, "robot")
	run(t, "", "keys", "client", "--dir", s.keys, "thief")
	s.accounts("first", true)
	s.serve(s.addr)
	return s
}

// accounts writes the configuration with a password for lab, and with or without the robot's permission on the second
// virtual host.
func (s *secure) accounts(password string, robot bool) {
	account := "lab"
	if robot {
		account = "robot"
	}
	s.write(fmt.Sprintf(`exchange = "messages"
[amqp.tls]
listen = %q
cert = "keys/127.0.0.1.pem"
key = "keys/127.0.0.1.key"
client_ca = "keys/ca.pem"
revoked = "keys/revoked.crl"
[[amqp.account]]
name = "lab"
password = %q
[[amqp.account]]
name = "robot"
certificate = "robot"
[[amqp.vhost]]
name = "night"
exchange = "runs"
destinations = [1]
[[amqp.vhost.permission]]
user = %q
publish = "[0-9]+"
read = "night-.*"
`, s.addr, run(s.t, password+"\n", "passwd"), account))
}

// config returns a client's TLS configuration, with the certificate of that name, or without one if name is empty.
func (s *secure) config(name string) *tls.Config {
	s.t.Helper()
	ca, err := os.ReadFile(filepath.Join(s.keys, "ca.pem"))
	if err != nil {
		s.t.Fatal(err)
	}
	c := &tls.Config{RootCAs: x509.NewCertPool()}
	c.RootCAs.AppendCertsFromPEM(ca)
	if name != "" {
		pair, err := tls.LoadX509KeyPair(filepath.Join(s.keys, name+".pem"), filepath.Join(s.keys, name+".key"))
		if err != nil {
			s.t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}

func (s *secure) dial(password, cert, host string) (*amqp.Connection, error) {
	cfg := amqp.Config{
		TLSClientConfig: s.config(cert),
		SASL:            []amqp.Authentication{&amqp.PlainAuth{Username: "lab", Password: password}},
	}
	if password == "" {
		cfg.SASL = []amqp.Authentication{&amqp.ExternalAuth{}}
	}
	cfg.Vhost = host
	return amqp.DialConfig("amqps://"+s.addr+"/", cfg)
}

// reload makes the sender read its configuration again and waits until done reports that a new connection sees it.
func (s *secure) reload(done func() bool) {
	s.t.Helper()
	if err := s.proc.Signal(syscall.SIGHUP); err != nil {
		s.t.Fatal(err)
	}
	for started := time.Now(); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Since(started) > hangTimeout {
			s.t.Fatal("the new configuration was not applied")
		}
	}
}

// Clients must be able to connect with TLS to their virtual hosts by password or certificate. Passwords, certificates
// and permissions that are changed by SIGHUP must apply to new connections, and open connections must continue unless
// their permission was removed.
func TestSecure(t *testing.T) {
	s := startSecure(t)
	work := func(c *amqp.Connection, id, exchange, queue string) error {
		ch, err := c.Channel()
		if err != nil {
			return err
		}
		answers, err := ch.Consume(queue, "", true, false, false, false, nil)
		if err = errors.Join(err, ch.Confirm(false)); err != nil {
			return err
		}
		d, err := ch.PublishWithDeferredConfirm(exchange, "1", true, false,
			amqp.Publishing{MessageId: id, Type: "charge", ReplyTo: queue, CorrelationId: "c-" + id})
		if err != nil {
			return err
		}
		if !d.Wait() {
			return errors.New("the publish was rejected")
		}
		return errors.Join(s.checkDelivered(answers, id), ch.Close())
	}
	lab, err := s.dial("first", "", "/")
	if err != nil {
		t.Fatal(err)
	}
	robot, err := s.dial("", "robot", "night")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(work(lab, "one", "messages", "answers"),
		work(robot, "two", "runs", "night-answers")); err != nil {
		t.Fatal(err)
	}
	if err := wantError(work(robot, "x", "runs", "day-answers"), 403); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []struct {
		password, cert, host string
		code                 int
	}{
		{"second", "", "/", 403},
		{"", "", "/", 0},
		{"", "thief", "/", 403},
		{"first", "", "night", 530},
		{"", "robot", "day", 530},
	} {
		c, err := s.dial(bad.password, bad.cert, bad.host)
		if err == nil {
			_ = c.Close()
		}
		if bad.code != 0 && wantError(err, bad.code) != nil || err == nil {
			t.Errorf("%+v: %v", bad, err)
		}
	}

	// With a new password and a new server certificate, open connections continue.
	before := s.serial()
	s.accounts("second", true)
	run(t, "", "keys", "server", "--dir", s.keys, "127.0.0.1")
	s.reload(func() bool { return !bytes.Equal(s.serial(), before) })
	if err := errors.Join(work(lab, "three", "messages", "answers"),
		work(robot, "four", "runs", "night-answers")); err != nil {
		t.Fatal(err)
	}
	if _, err := s.dial("first", "", "/"); wantError(err, 403) != nil {
		t.Error(err)
	}
	if c, err := s.dial("second", "", "/"); err != nil || c.Close() != nil {
		t.Error(err)
	}

	// Removing a permission ends the connections that depend on it, and a revoked certificate is rejected.
	ended := robot.NotifyClose(make(chan *amqp.Error, 1))
	run(t, "", "keys", "revoke", "--dir", s.keys, filepath.Join(s.keys, "robot.pem"))
	s.accounts("second", false)
	s.reload(func() bool { c, err := s.dial("second", "", "night"); return err == nil && c.Close() == nil })
	select {
	case e := <-ended:
		if e.Code != 320 {
			t.Error(e)
		}
	case <-time.After(hangTimeout):
		t.Error("the connection of robot was not closed")
	}
	if err := s.handshake("robot"); err == nil || !strings.Contains(err.Error(), "bad certificate") {
		t.Error(err)
	}
	if c, err := s.dial("", "robot", "/"); err == nil {
		_ = c.Close()
		t.Error("a revoked certificate was accepted")
	}
	if err := work(lab, "five", "messages", "answers"); err != nil {
		t.Error(err)
	}
	if out := run(t, "", "keys", "show", "--dir", s.keys); !strings.Contains(out, "revoked") ||
		!strings.Contains(out, "server") {
		t.Error(out)
	}
}

// handshake returns the error by which the sender ends a TLS connection with the certificate of that name. In TLS 1.3
// the client's part of the handshake ends before the sender has checked the certificate, so that the alert arrives with
// a read. Nothing is written, because the sender may reset a connection on which it left bytes unread.
func (s *secure) handshake(name string) error {
	c, err := tls.Dial("tcp", s.addr, s.config(name))
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(hangTimeout)); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}

// serial returns the serial number of the certificate that new connections receive.
func (s *secure) serial() []byte {
	c, err := tls.Dial("tcp", s.addr, s.config(""))
	if err != nil {
		return nil
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Bytes()
}
