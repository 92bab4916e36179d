package amqpfront

import (
	"testing"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
)

// labPolicy is a policy with two virtual hosts, the root host and "apart", which only the user "lab" may open.
func labPolicy(t *testing.T) *access.Policy {
	t.Helper()
	hash, err := access.Hash("s3")
	if err != nil {
		t.Fatal(err)
	}
	p, err := access.New([]access.User{{Name: "lab", Hash: access.Plain("s3")}, {Name: "guest", Hash: hash}},
		[]access.Host{{Name: access.Root, Exchange: "messages"}, {
			Name: "apart", Exchange: "other", Destinations: []int64{7},
			Permissions: []access.Permission{{User: "lab", Publish: "7|8", Read: "mine-.*"}},
		}})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// authenticate logs in and opens a virtual host. It returns the last reply: to the login if that fails, otherwise to
// connection.open.
func authenticate(t *testing.T, addr, mechanism, response, host string) (*testClient, *amqp.Message) {
	t.Helper()
	c, err := dialRaw(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	c.want(amqp.ConnStart)
	c.writeMethod(0, amqp.ConnStartOk, amqp.Table{}, mechanism, response, "en_US")
	_, msg, err := c.next()
	if err != nil {
		t.Fatal(err)
	}
	if msg.Key == amqp.ConnTune {
		c.writeMethod(0, amqp.ConnTuneOk, 8, amqp.FrameMin, 0)
		c.writeMethod(0, amqp.ConnOpen, host, "", false)
		if _, msg, err = c.next(); err != nil {
			t.Fatal(err)
		}
	}
	return c, msg
}

// PLAIN and AMQPLAIN admit only users with the right password, and only into hosts that they may open. EXTERNAL admits
// no client without a certificate.
func TestLogin(t *testing.T) {
	addr, _ := startFor(t, t.TempDir(), newBroker(t), labPolicy(t))
	table := func(t amqp.Table) string {
		msg := amqp.AppendMethod(nil, 0, amqp.ConnStartOk, t, "", "", "")
		// Only the fields: without frame header, method and length, and without three empty strings and the end octet.
		return string(msg[7+4+4 : len(msg)-1-1-4-1])
	}
	for _, test := range []struct {
		mechanism, response, host string
		code                      uint64
	}{
		{"PLAIN", "\x00lab\x00s3", "/", 0},
		{"PLAIN", "lab\x00lab\x00s3", "", 0},
		{"PLAIN", "other\x00lab\x00s3", "/", amqp.AccessRefused},
		{"PLAIN", "\x00lab\x00s4", "/", amqp.AccessRefused},
		{"PLAIN", "\x00nobody\x00s3", "/", amqp.AccessRefused},
		{"PLAIN", "\x00lab", "/", amqp.AccessRefused},
		{"PLAIN", "\x00guest\x00s3", "/", 0}, // compared with the hash
		{"PLAIN", "\x00guest\x00s3", "/", 0}, // found in the checker's cache
		{"PLAIN", "\x00guest\x00s4", "/", amqp.AccessRefused},
		{"AMQPLAIN", table(amqp.Table{"LOGIN": "lab", "PASSWORD": "s3"}), "/", 0},
		{"AMQPLAIN", table(amqp.Table{"LOGIN": "lab", "PASSWORD": "s"}), "/", amqp.AccessRefused},
		{"AMQPLAIN", table(amqp.Table{"LOGIN": "lab"}), "/", amqp.AccessRefused},
		{"AMQPLAIN", "LOGIN", "/", amqp.AccessRefused},
		{"EXTERNAL", "", "/", amqp.AccessRefused},
		{"PLAIN", "\x00lab\x00s3", "apart", 0},
		{"PLAIN", "\x00guest\x00s3", "apart", amqp.NotAllowed},
		{"PLAIN", "\x00lab\x00s3", "nowhere", amqp.NotAllowed},
	} {
		client, msg := authenticate(t, addr, test.mechanism, test.response, test.host)
		if (msg.Key == amqp.ConnOpenOk) != (test.code == 0) || msg.Key == amqp.ConnClose && msg.Int(0) != test.code {
			t.Errorf("%s %q to host %q: got %s %v", test.mechanism, test.response, test.host, msg.Key, msg.Method)
		}
		if test.response == "\x00guest\x00s3" && test.code == 0 {
			for secret, want := range map[string]amqp.Key{"s3": amqp.ConnUpdateSecretOk} {
				client.writeMethod(0, amqp.ConnUpdateSecret, secret, "")
				client.want(want)
			}
			client.writeMethod(0, amqp.ConnUpdateSecret, "s4", "")
			client.want(amqp.ConnClose)
		}
		_ = client.Close()
	}
}

// A virtual host has its own queues, exchange and destinations, and enforces its users' permissions. The final answers
// to its messages are delivered to it after a restart too.
func TestVirtualHosts(t *testing.T) {
	broker, dir := newBroker(t), t.TempDir()
	addr, kill := startFor(t, dir, broker, labPolicy(t))
	enter := func(host string) *testClient {
		t.Helper()
		client, msg := authenticate(t, addr, "PLAIN", "\x00lab\x00s3", host)
		if msg.Key != amqp.ConnOpenOk {
			t.Fatal(msg.Method)
		}
		client.writeMethod(1, amqp.ChanOpen, "")
		client.want(amqp.ChanOpenOk)
		client.writeMethod(1, amqp.ConfirmSelect, false)
		client.want(amqp.ConfirmSelectOk)
		return client
	}
	publish := func(client *testClient, id, exchange, key, replyTo string) *amqp.Message {
		props := &amqp.Props{MessageID: id, Type: "once", ReplyTo: replyTo}
		_, _ = client.Write(amqp.AppendMessage(nil, 1, amqp.Publish, props, nil, amqp.FrameMin,
			0, exchange, key, false, false))
		_, msg, err := client.next()
		if err != nil {
			t.Fatal(err)
		}
		return msg
	}
	for _, bad := range []struct {
		exchange, key, replyTo string
		code                   uint64
	}{
		{"messages", "7", "mine-a", amqp.NotFound},
		{"other", "9", "mine-a", amqp.AccessRefused},
		{"other", "8", "mine-a", amqp.NotFound},
		{"other", "7", "yours", amqp.AccessRefused},
	} {
		if msg := publish(enter("apart"), "bad", bad.exchange, bad.key, bad.replyTo); msg.Key != amqp.ChanClose ||
			msg.Int(0) != bad.code {
			t.Fatal(bad, msg.Method)
		}
	}
	client := enter("apart")
	if msg := publish(client, "m", "other", "7", "mine-a"); msg.Key != amqp.Ack {
		t.Fatal(msg.Method)
	}
	root := enter("/")
	if msg := publish(root, "m", "messages", "7", "mine-a"); msg.Key != amqp.Nack { // an ID in use by another host
		t.Fatal(msg.Method)
	}
	wait := func(client *testClient) {
		t.Helper()
		client.writeMethod(1, amqp.Consume, 0, "mine-a", "", false, false, false, false, amqp.Table{})
		client.want(amqp.ConsumeOk)
		if msg := client.want(amqp.Deliver); msg.Props.MessageID != "m" || msg.Props.Type != "delivered" {
			t.Fatal(msg.Props)
		}
	}
	wait(client) // without an acknowledgement
	kill()
	addr, _ = startFor(t, dir, broker, labPolicy(t))
	root = enter("/")
	root.writeMethod(1, amqp.Get, 0, "mine-a", false)
	root.want(amqp.ChanClose) // no such queue here
	wait(enter("apart"))
	if broker.count("m") != 1 {
		t.Fatal(broker.count("m"))
	}
}
