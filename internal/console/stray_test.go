package console

import (
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
)

// A reply that comes twice must not be taken for the reply to the next command.
func TestStrayReplyTakenForTheNextCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "socket")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(conn)
		}
	}()
	terminal, err := Dial(path)
	if err != nil {
		t.Fatal(err)
	}
	defer terminal.Close()
	for _, command := range []string{"first", "second", "third"} {
		if reply, err := terminal.Send(command); err != nil || reply.Text != command {
			t.Errorf("%s: %q, %v", command, reply.Text, err)
		}
	}
}

// answerTwice replies to each command twice, with the command.
func answerTwice(conn net.Conn) {
	buffer := make([]byte, 100)
	for {
		size, err := conn.Read(buffer)
		if err != nil {
			return
		}
		reply := `{"Text":"` + strings.TrimSpace(string(buffer[:size])) + `"}` + "\n"
		_, _ = io.WriteString(conn, reply+reply)
	}
}
