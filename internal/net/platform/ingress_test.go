package platform

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"brackendale/internal/net/conntable"
	"brackendale/internal/testing/standin"
)

// Invalid commands get the errors that the protocol defines.
func TestBadCommands(t *testing.T) {
	env := newTestEnv(t)
	env.respond = respondOK
	addr, _ := env.startSender()
	fields := "c=once,t=x,d=9000,dest=7"
	for _, test := range []struct {
		want     string
		elements []string
	}{
		{"+PONG", []string{"ping"}},
		{"-ERR unknown command", []string{"GET", "x"}},
		{"-ERR wrong number", []string{"SUBMIT", "0", "id"}},
		{"-ERR bad id", []string{"SUBMIT", "0", "a b", fields, ""}},
		{"-ERR unknown class", []string{"SUBMIT", "0", "m", "d=1,dest=7", ""}},
		{"-ERR unknown class", []string{"SUBMIT", "0", "m", "c=zzz,d=1,dest=7", ""}},
		{"-ERR bad or missing d", []string{"SUBMIT", "0", "m", "c=once,d=x,dest=7", ""}},
		{"-ERR unknown destination", []string{"SUBMIT", "0", "m", "c=once,d=9,dest=8", ""}},
		{"-ERR missing key", []string{"SUBMIT", "0", "m", "c=key,d=9,dest=7", ""}},
		{"-ERR Protocol error: too long", []string{"SUBMIT", "0", "m", fields, strings.Repeat("x", 64<<10+1)}},
	} {
		if got := env.sendCommand(addr, test.elements...); !strings.HasPrefix(got, test.want) {
			t.Errorf("%.60q: %q", test.elements, got)
		}
	}
	if len(env.calls) != 0 {
		t.Error("an invalid command was sent to the endpoint")
	}
}

// Connections without a complete command once used up the limit, so that all new ones were rejected. A
// client that sends commands must get a connection.
func TestClientsWithoutCommand(t *testing.T) {
	env := newTestEnv(t)
	env.respond, env.maxClients = respondOK, 2
	addr, _ := env.startSender()
	var clients []net.Conn
	dial := func(text string) {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		clients = append(clients, conn)
		_, _ = io.WriteString(conn, text)
		_ = conn.SetReadDeadline(time.Now().Add(standin.Long))
	}
	for range 4 {
		dial("")
	}
	if got := env.sendCommand(addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	dial("*2\r\n$4\r\nPI")
	if got := env.sendCommand(addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	env.eventLoop.Post(func() {
		env.ingress.table.Expire(env.eventLoop.Now()+2*time.Second, 100, nil, conntable.EvictOwner)
	})
	for i, conn := range clients {
		if received, err := io.ReadAll(conn); errors.Is(err, os.ErrDeadlineExceeded) ||
			len(received) > 0 && received[0] != '-' {
			t.Errorf("connection %d: %q %v", i, received, err)
		}
	}
}

// Connections that stayed open after one command once used up the limit for 2 s, so that all new ones were
// rejected.
func TestIdleClientsReplaced(t *testing.T) {
	env := newTestEnv(t)
	env.respond, env.maxClients = respondOK, 2
	addr, _ := env.startSender()
	for range 5 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		if got, err := bufio.NewReader(conn).ReadString('\n'); got != "+PONG\r\n" {
			t.Fatal(got, err)
		}
	}
}

// If a client sends more commands at once than maxPendingReplies, all of them are rejected, and so is a
// command that arrives together with malformed data.
func TestTooManyPipelinedCommands(t *testing.T) {
	env := newTestEnv(t)
	env.respond = respondOK
	addr, _ := env.startSender()
	submit := func(id string) string {
		return "*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\n" + id + "\r\n$22\r\nc=once,t=x,d=999,dest=7\r\n$0\r\n\r\n"
	}
	tooMany := ""
	for i := range maxPendingReplies + 1 {
		tooMany += submit(fmt.Sprintf("%02d", i))
	}
	for _, text := range []string{tooMany, submit("aa") + "nonsense"} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		_, _ = io.WriteString(conn, text)
		received, err := io.ReadAll(conn)
		if err != nil || !bytes.HasPrefix(received, []byte("-ERR ")) || bytes.Contains(received, []byte("+OK")) {
			t.Fatalf("%q %v", received, err)
		}
	}
	if len(env.calls) > 0 {
		t.Fatal("a rejected command was accepted")
	}
}
