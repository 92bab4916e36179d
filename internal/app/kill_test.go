package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"
)

// killEnv is the environment variable with the failpoint at which a child kills itself: a number n and, after a space,
// the failpoint. The child kills itself when it reaches the failpoint for the nth time.
const killEnv = "BRACKENDALE_TEST_KILL"

// killAt makes this process kill itself with SIGKILL at a failpoint. text is the value of killEnv.
func killAt(text string) {
	count, point, _ := strings.Cut(text, " ")
	remaining, err := strconv.Atoi(count)
	if err != nil {
		panic(err)
	}
	var mu sync.Mutex
	failpoint.SetHook(func(reached failpoint.Point) {
		mu.Lock()
		defer mu.Unlock()
		if string(reached) == point {
			if remaining--; remaining == 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	})
}

// A process is killed at a failpoint, when it reaches it for the first time or later: when a step is in the journal
// and none of its actions has been executed, when an attempt is about to be sent, or when its endpoint has received
// it and has not replied. Each message that was accepted with +OK is delivered or has its final answer in the next
// incarnation, and no charge is applied twice.
func TestKillAtFailpoint(t *testing.T) {
	for _, testCase := range []struct {
		point failpoint.Point
		times []int
	}{
		{failpoint.StepDecided, []int{1, 3, 4, 5, 6, 7, 8, 9}},
		{failpoint.BeforeAdmission, []int{1, 2, 3, 4}},
		{callReceived, []int{1, 2, 3, 4}},
	} {
		for _, occurrence := range testCase.times {
			t.Run(fmt.Sprintf("%s, %d", testCase.point, occurrence), func(t *testing.T) {
				t.Parallel()
				if accepted := runKilledAt(t, occurrence, testCase.point); len(accepted) < 2 &&
					occurrence == testCase.times[len(testCase.times)-1] {
					t.Error("no message was accepted before the process was killed: the test case tests nothing")
				}
			})
		}
	}
}

// callReceived stands for the time at which an endpoint has received a complete call. It is not a failpoint of the
// process: the stand-in endpoint kills the process.
const callReceived failpoint.Point = "an endpoint has a call, and has not answered"

// runKilledAt runs a process that is killed and another one after it, and returns the IDs of the accepted messages.
func runKilledAt(t *testing.T, count int, point failpoint.Point) (accepted []string) {
	killSpec := fmt.Sprintf("%d %s", count, point)
	var mu sync.Mutex
	applied, finalAnswers := map[string]int{}, map[string]string{}
	var firstProc *exec.Cmd
	calls := 0
	endpoint := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		applied[r.Header.Get("Req-Id")]++
		if calls++; point == callReceived && calls == count {
			_ = firstProc.Process.Kill()
		}
	}))
	defer endpoint.Close()
	agent := httptest.NewServer(http.HandlerFunc(func(arg http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		for scanner := bufio.NewScanner(r.Body); scanner.Scan(); {
			if _, id, ok := strings.Cut(scanner.Text(), `"id":"`); ok {
				id, _, _ = strings.Cut(id, `"`)
				finalAnswers[id] = scanner.Text()
			}
		}
		arg.WriteHeader(http.StatusNoContent)
	}))
	defer agent.Close()
	dir := t.TempDir()
	respAddr, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "a.toml")
	text := fmt.Sprintf("[resp]\nlisten = %q\nfinals = %q\n[[class]]\nname = \"note\"\neffect = \"once\"\naim_ms = "+
		"1000\ndeadline_ms = 9000\nworth = 1\n"+
		"[[route]]\nname = \"partner\"\ndest = 1\nproto = \"http\"\ndial = %q\n", respAddr, agent.Listener.Addr(),
		endpoint.Listener.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func(kill string) *exec.Cmd {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+file, "LB_STATE="+dir, killEnv+"="+kill)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Process.Kill() })
		return c
	}
	exited := make(chan error, 1)
	mu.Lock()
	firstProc = start(killSpec)
	mu.Unlock()
	go func() { exited <- firstProc.Wait() }()
	var exitErr error
	submit := func(id string) bool {
		for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
			select {
			case exitErr = <-exited:
				return false
			default:
			}
			c, err := net.Dial("tcp", respAddr)
			if err != nil {
				continue // the process does not listen yet, or was killed
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(standin.Long))
			args := []string{"SUBMIT", "0", id, "c=note,t=x,d=9000,dest=1", "charge"}
			text := fmt.Sprintf("*%d\r\n", len(args))
			for _, arg := range args {
				text += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
			}
			_, _ = io.WriteString(c, text)
			line, _ := bufio.NewReader(c).ReadString('\n')
			return line == "+OK\r\n"
		}
		t.Fatal("the process does not listen in time")
		return false
	}
	for i := range 12 {
		id := fmt.Sprint("m", i)
		if ok := submit(id); !ok { // the process was killed
			break
		}
		accepted = append(accepted, id)
	}
	if exitErr == nil {
		select {
		case exitErr = <-exited:
		case <-time.After(standin.Long):
			t.Fatal("the process was not killed")
		}
	}
	if exitErr == nil || !strings.Contains(exitErr.Error(), "killed") {
		t.Fatal("the process exited by itself:", exitErr)
	}
	secondProc := start("")
	exited = make(chan error) // the second process is not killed
	if !submit("last") {
		t.Fatal("the next incarnation accepts no message")
	}
	accepted = append(accepted, "last")
	for deadline := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		open := 0
		for _, id := range accepted {
			if applied[id] == 0 && finalAnswers[id] == "" {
				open++
			}
		}
		mu.Unlock()
		if open == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %v are neither delivered nor have a final answer: applied %v, final answers %v", open,
				accepted, applied, finalAnswers)
		}
	}
	_ = secondProc.Process.Signal(syscall.SIGTERM) // it runs for three more seconds, in which a fault can show
	_ = secondProc.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, count := range applied {
		if count > 1 {
			t.Errorf("%s was applied %d times", id, count)
		}
	}
	return accepted
}
