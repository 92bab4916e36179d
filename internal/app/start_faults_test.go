package app

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/hotrestart"
	"brackendale/internal/journal"
	"brackendale/internal/net/reactor"
	"brackendale/internal/statefs"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"
)

// The state folder fails while a sender starts: the sender waits, answers on its second address that it is not ready,
// and is ready once the folder works.
func TestStartWithAFailingFolder(t *testing.T) {
	for _, c := range []faults.Folder{
		{Call: statefs.CallOpen, Name: "lock"},
		{Call: statefs.CallOpen, Name: "spool"},
		{Call: statefs.CallRead, Name: "spool"},
		{Call: statefs.CallTruncate, Name: "spool"},
		{Call: statefs.CallRemove, Name: "spool.new"},
		{Call: statefs.CallRemove, Name: "upgrade.sock"},
	} {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EMFILE} {
			c := c // each case sets its own error
			t.Run(fmt.Sprint(c.Call, " ", c.Name, " ", errno.Error()), func(t *testing.T) {
				t.Parallel()
				o := newOffice(t)
				open := o.refuseCalls()
				p := o.start()
				o.ready(p)
				o.submitAccepted("held", 3, "c=charge,t=x,d=20000,dest=7")
				_ = p.Process.Kill()
				<-p.ended
				if c.Call == statefs.CallTruncate { // there is something to cut
					f, err := os.OpenFile(filepath.Join(o.state(), "spool"), os.O_WRONLY|os.O_APPEND, 0)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = f.WriteString("half a rec")
					_ = f.Close()
				}
				c.Errno, c.While = errno, filepath.Join(t.TempDir(), "fails")
				if err := os.WriteFile(c.While, nil, 0o600); err != nil {
					t.Fatal(err)
				}
				p = o.startWith(faults.Faults{Folder: []faults.Folder{c}})
				for until := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
					status, why := p.ask("GET", "/api/ready", "")
					if status >= 400 && strings.Contains(why, "folder") {
						break
					}
					if c.Name == "upgrade.sock" && status == http.StatusOK { // it serves all the same
						break
					}
					select {
					case err := <-p.ended:
						t.Fatalf("it ended: %v\n%s", err, p.said)
					default:
					}
					if time.Now().After(until) {
						t.Fatalf("it does not say so: %d %q\n%s", status, why, p.said)
					}
				}
				if err := os.Remove(c.While); err != nil {
					t.Fatal(err)
				}
				o.ready(p)
				open()
				o.settled()
				if c.Name == "upgrade.sock" { // and the next process can take its place
					for until := time.Now().Add(standin.Long); !strings.Contains(o.greet(),
						"welcome"); time.Sleep(10 * time.Millisecond) {
						if time.Now().After(until) {
							t.Fatal("no new process can ask")
						}
					}
				}
			})
		}
	}
}

// greet sends hello as a successor would, and returns the kind of the reply; empty: nobody answers.
func (o *office) greet() string {
	path, release, err := restartSocketPath(o.state())
	if err != nil {
		return ""
	}
	defer release()
	c, err := net.Dial("unix", path)
	if err != nil {
		return ""
	}
	l := newRestartLink(c)
	defer l.close()
	l.send(hotrestart.Message{Kind: "hello", Version: hotrestart.Version})
	w, _ := l.receive(standin.Long)
	return string(w.Kind)
}

// Listening and accepting fail for a moment: the sender is ready once they work, and accepts what comes.
func TestListenAndAcceptFail(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.ENOMEM, syscall.EMFILE,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			a := newAppliance(t)
			c := exec.Command(os.Args[0])
			var said bytes.Buffer
			c.Stderr = &said
			c.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+a.file, faults.Faults{Sockets: []faults.Socket{
				{Call: reactor.CallListen, Errno: errno, First: 1, Count: 3},
				{Call: reactor.CallAccept, Errno: errno, First: 1, Count: 3},
			}}.Env())
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- c.Wait() }()
			defer func() { _ = c.Process.Kill() }()
			for until := time.Now().Add(standin.Long); ; time.Sleep(10 * time.Millisecond) {
				select {
				case err := <-ended:
					t.Fatalf("it ended: %v\n%s", err, &said)
				default:
				}
				if conn, err := net.Dial("tcp", a.amqp); err == nil {
					_ = conn.SetDeadline(time.Now().Add(time.Second))
					_, _ = io.WriteString(conn, "AMQP\x00\x00\x09\x01")
					n, _ := conn.Read(make([]byte, 1))
					_ = conn.Close()
					if n == 1 {
						return
					}
				}
				if time.Now().After(until) {
					t.Fatalf("nobody is answered\n%s", &said)
				}
			}
		})
	}
}

// A sender starts with a full journal, a full disk and a registry that does not answer: it is ready within 10 s, with
// the endpoint list that it knows.
func TestReadyWithAFullJournalAFullDiskAndNoDiscovery(t *testing.T) {
	dir := t.TempDir()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts nobody
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	listen, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	const disk = 3 << 20
	s, err := journal.Open(dir, disk)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for e := (&journal.Entry{
		Class: "a", Front: "platform", Destination: 1, Deadline: clock.Steady().Add(time.Hour),
		Body: make([]byte, 2000),
	}); ; n++ {
		x := *e
		if x.ID = fmt.Sprint("m", n); !s.HasSpace(journal.RecordSize(&x), 0) {
			break
		}
		s.Accept(&x)
	}
	if err := errors.Join(s.Flush(), s.Close()); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,
		"limits":{"cores":1,"memory_mb":64,"sockets":128,"disk_mb":3},
		"known":{"seq":9,"whole":true,"hosts":[{"host":"e","dial":"127.0.0.1:1","class":"k","block":1,"health":"active"}]},
		"settings":{"tickUs":5000,"discovery":"pushed","machineTypes":["k"],
		"lanes":[{"name":"a","effect":"once","hardLimitUs":4000000}],
		"familyInfo":{"workers":2,"perCall":[1],"ownLimits":[false]},
		"rules":{"stopSendingWithinUs":2000000}}}`, listen, silent.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	c := exec.Command(os.Args[0])
	c.Stderr = &said
	c.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE=platform", "LB_CONFIG="+file, "LB_STATE="+dir,
		faults.Faults{Folder: []faults.Folder{
			{Call: statefs.CallWrite, Name: "spool", Errno: syscall.ENOSPC, First: 1, Count: 20},
			{Call: statefs.CallWrite, Name: "spool.new", Errno: syscall.ENOSPC, First: 1, Count: 20},
		}}.Env())
	began := time.Now()
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill(); _ = c.Wait() }()
	for {
		if conn, err := net.Dial("tcp", listen); err == nil {
			_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
			_ = conn.SetDeadline(time.Now().Add(time.Second))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			_ = conn.Close()
			if line == "+PONG\r\n" {
				break
			}
		}
		if time.Since(began) > 10*time.Second {
			t.Fatalf("not ready after 10 s with %d messages\n%s", n, &said)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d messages, ready after %v", n, time.Since(began))
}
