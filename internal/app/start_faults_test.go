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

// Operations on the state folder fail while a sender starts: the sender waits, reports at its control address that it
// is not ready, and becomes ready once the folder works.
func TestStartWithFailingStateFolder(t *testing.T) {
	for _, failure := range []faults.Folder{
		{Call: statefs.CallOpen, Name: "lock"},
		{Call: statefs.CallOpen, Name: "spool"},
		{Call: statefs.CallRead, Name: "spool"},
		{Call: statefs.CallTruncate, Name: "spool"},
		{Call: statefs.CallRemove, Name: "spool.new"},
		{Call: statefs.CallRemove, Name: "upgrade.sock"},
	} {
		for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EMFILE} {
			failure := failure // each case sets its own error
			t.Run(fmt.Sprint(failure.Call, " ", failure.Name, " ", errno.Error()), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				acceptCalls := env.rejectCalls()
				proc := env.startProcess()
				env.waitReady(proc)
				env.submitAccepted("held", 3, "c=charge,t=x,d=20000,dest=7")
				_ = proc.Process.Kill()
				<-proc.exited
				if failure.Call == statefs.CallTruncate { // a partial record, so that the journal is truncated
					file, err := os.OpenFile(filepath.Join(env.stateDir(), "spool"), os.O_WRONLY|os.O_APPEND, 0)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = file.WriteString("half a rec")
					_ = file.Close()
				}
				failure.Errno, failure.While = errno, filepath.Join(t.TempDir(), "fails")
				if err := os.WriteFile(failure.While, nil, 0o600); err != nil {
					t.Fatal(err)
				}
				proc = env.startWith(faults.Faults{Folder: []faults.Folder{failure}})
				for deadline := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
					status, reason := proc.callControl("GET", "/api/ready", "")
					if status >= 400 && strings.Contains(reason, "folder") {
						break
					}
					if failure.Name == "upgrade.sock" && status == http.StatusOK { // the sender serves all the same
						break
					}
					select {
					case err := <-proc.exited:
						t.Fatalf("the process exited: %v\n%s", err, proc.stderr)
					default:
					}
					if time.Now().After(deadline) {
						t.Fatalf("the process does not report the failure: %d %q\n%s", status, reason, proc.stderr)
					}
				}
				if err := os.Remove(failure.While); err != nil {
					t.Fatal(err)
				}
				env.waitReady(proc)
				acceptCalls()
				env.waitSettled()
				if failure.Name == "upgrade.sock" { // the next process can take over
					for deadline := time.Now().Add(standin.Long); !strings.Contains(env.sendHello(),
						"welcome"); time.Sleep(10 * time.Millisecond) {
						if time.Now().After(deadline) {
							t.Fatal("the process does not accept a new process")
						}
					}
				}
			})
		}
	}
}

// sendHello sends hello as a successor does, and returns the kind of the reply; empty if there is none.
func (env *testEnv) sendHello() string {
	path, release, err := restartSocketPath(env.stateDir())
	if err != nil {
		return ""
	}
	defer release()
	conn, err := net.Dial("unix", path)
	if err != nil {
		return ""
	}
	link := newRestartLink(conn)
	defer link.close()
	link.send(hotrestart.Message{Kind: "hello", Version: hotrestart.Version})
	reply, _ := link.receive(standin.Long)
	return string(reply.Kind)
}

// Listening and accepting fail with transient errors: the sender becomes ready once they succeed, and accepts clients.
func TestListenAndAcceptFail(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.ENOMEM, syscall.EMFILE,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			appliance := newAppliance(t)
			cmd := exec.Command(os.Args[0])
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			cmd.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+appliance.configFile,
				faults.Faults{Sockets: []faults.Socket{
					{Call: reactor.CallListen, Errno: errno, First: 1, Count: 3},
					{Call: reactor.CallAccept, Errno: errno, First: 1, Count: 3},
				}}.Env())
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			exited := make(chan error, 1)
			go func() { exited <- cmd.Wait() }()
			defer func() { _ = cmd.Process.Kill() }()
			for deadline := time.Now().Add(standin.Long); ; time.Sleep(10 * time.Millisecond) {
				select {
				case err := <-exited:
					t.Fatalf("the process exited: %v\n%s", err, &stderr)
				default:
				}
				if conn, err := net.Dial("tcp", appliance.amqpAddr); err == nil {
					_ = conn.SetDeadline(time.Now().Add(time.Second))
					_, _ = io.WriteString(conn, "AMQP\x00\x00\x09\x01")
					n, _ := conn.Read(make([]byte, 1))
					_ = conn.Close()
					if n == 1 {
						return
					}
				}
				if time.Now().After(deadline) {
					t.Fatalf("no client gets a reply\n%s", &stderr)
				}
			}
		})
	}
}

// A sender starts with a full journal, a full disk and a registry that does not respond: it is ready within 10 s, with
// the endpoint list in its configuration.
func TestStartWithFullJournalFullDiskAndNoRegistry(t *testing.T) {
	dir := t.TempDir()
	registry, err := net.Listen("tcp", "127.0.0.1:0") // accepts no connection
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	listen, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	const diskBytes = 3 << 20
	fullJournal, err := journal.Open(dir, diskBytes)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for entry := (&journal.Entry{
		Class: "a", Front: "platform", Destination: 1, Deadline: clock.Steady().Add(time.Hour),
		Body: make([]byte, 2000),
	}); ; count++ {
		numbered := *entry
		if numbered.ID = fmt.Sprint("m", count); !fullJournal.HasSpace(journal.RecordSize(&numbered), 0) {
			break
		}
		fullJournal.Accept(&numbered)
	}
	if err := errors.Join(fullJournal.Flush(), fullJournal.Close()); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,
		"limits":{"cores":1,"memory_mb":64,"sockets":128,"disk_mb":3},
		"known":{"seq":9,"whole":true,"hosts":[{"host":"e","dial":"127.0.0.1:1","class":"k","block":1,"health":"active"}]},
		"settings":{"tickUs":5000,"discovery":"pushed","machineTypes":["k"],
		"lanes":[{"name":"a","effect":"once","hardLimitUs":4000000}],
		"familyInfo":{"workers":2,"perCall":[1],"ownLimits":[false]},
		"rules":{"stopSendingWithinUs":2000000}}}`, listen, registry.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var stderr bytes.Buffer
	cmd := exec.Command(os.Args[0])
	cmd.Stderr = &stderr
	cmd.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE=platform", "LB_CONFIG="+file, "LB_STATE="+dir,
		faults.Faults{Folder: []faults.Folder{
			{Call: statefs.CallWrite, Name: "spool", Errno: syscall.ENOSPC, First: 1, Count: 20},
			{Call: statefs.CallWrite, Name: "spool.new", Errno: syscall.ENOSPC, First: 1, Count: 20},
		}}.Env())
	started := time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
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
		if time.Since(started) > 10*time.Second {
			t.Fatalf("the process is not ready after 10 s with %d messages\n%s", count, &stderr)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d messages, ready after %v", count, time.Since(started))
}
