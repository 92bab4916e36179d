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

// Whatever a client sends, it gets the protocol's own error.
func TestBadCommands(t *testing.T) {
	w := newWorld(t)
	w.answer = ok
	addr, _ := w.start()
	meta := "c=once,t=x,d=9000,dest=7"
	for _, c := range []struct {
		want  string
		words []string
	}{
		{"+PONG", []string{"ping"}},
		{"-ERR unknown command", []string{"GET", "x"}},
		{"-ERR wrong number", []string{"SUBMIT", "0", "id"}},
		{"-ERR bad id", []string{"SUBMIT", "0", "a b", meta, ""}},
		{"-ERR unknown class", []string{"SUBMIT", "0", "m", "d=1,dest=7", ""}},
		{"-ERR unknown class", []string{"SUBMIT", "0", "m", "c=zzz,d=1,dest=7", ""}},
		{"-ERR bad or missing d", []string{"SUBMIT", "0", "m", "c=once,d=x,dest=7", ""}},
		{"-ERR unknown destination", []string{"SUBMIT", "0", "m", "c=once,d=9,dest=8", ""}},
		{"-ERR missing key", []string{"SUBMIT", "0", "m", "c=key,d=9,dest=7", ""}},
		{"-ERR Protocol error: too long", []string{"SUBMIT", "0", "m", meta, strings.Repeat("x", 64<<10+1)}},
	} {
		if got := w.say(addr, c.words...); !strings.HasPrefix(got, c.want) {
			t.Errorf("%.60q: %q", c.words, got)
		}
	}
	if len(w.calls) != 0 {
		t.Error("a bad command was sent on")
	}
}

// A silent crowd took all places and every newcomer was turned away; a client that speaks must get
// one.
func TestSilentClients(t *testing.T) {
	w := newWorld(t)
	w.answer, w.most = ok, 2
	addr, _ := w.start()
	var crowd []net.Conn
	dial := func(text string) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, c)
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(standin.Long))
	}
	for range 4 {
		dial("")
	}
	if got := w.say(addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	dial("*2\r\n$4\r\nPI")
	if got := w.say(addr, "PING"); got != "+PONG" {
		t.Fatal(got)
	}
	w.r.Post(func() { w.in.table.Expire(w.r.Now()+2*time.Second, 100, nil, conntable.EvictOwner) })
	for i, c := range crowd {
		if b, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) || len(b) > 0 && b[0] != '-' {
			t.Errorf("connection %d: %q %v", i, b, err)
		}
	}
}

// A crowd that asked once and stays took all places for 2 s, and every newcomer was turned away.
func TestClientsThatStay(t *testing.T) {
	w := newWorld(t)
	w.answer, w.most = ok, 2
	addr, _ := w.start()
	for range 5 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(standin.Long))
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		if got, err := bufio.NewReader(c).ReadString('\n'); got != "+PONG\r\n" {
			t.Fatal(got, err)
		}
	}
}

// More commands at once than a client that behaves would send are turned away whole, and so is one
// that comes together with what cannot be read.
func TestCommandsAtOnce(t *testing.T) {
	w := newWorld(t)
	w.answer = ok
	addr, _ := w.start()
	one := func(id string) string {
		return "*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\n" + id + "\r\n$22\r\nc=once,t=x,d=999,dest=7\r\n$0\r\n\r\n"
	}
	many := ""
	for i := range maxPendingReplies + 1 {
		many += one(fmt.Sprintf("%02d", i))
	}
	for _, text := range []string{many, one("aa") + "nonsense"} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(standin.Long))
		_, _ = io.WriteString(c, text)
		b, err := io.ReadAll(c)
		if err != nil || !bytes.HasPrefix(b, []byte("-ERR ")) || bytes.Contains(b, []byte("+OK")) {
			t.Fatalf("%q %v", b, err)
		}
	}
	if len(w.calls) > 0 {
		t.Fatal("taken on")
	}
}
