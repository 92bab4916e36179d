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

// killKey names the environment variable with the failpoint at which a child kills itself, and at which passing of it.
const killKey = "BRACKENDALE_TEST_KILL"

// killedAt lets SIGKILL end this process at a failpoint.
func killedAt(text string) {
	n, point, _ := strings.Cut(text, " ")
	left, err := strconv.Atoi(n)
	if err != nil {
		panic(err)
	}
	var mu sync.Mutex
	failpoint.SetHook(func(p failpoint.Point) {
		mu.Lock()
		defer mu.Unlock()
		if string(p) == point {
			if left--; left == 0 {
				_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
		}
	})
}

// A process is killed between two lines: when a step is in the journal and nothing of it has left, or when an attempt
// is about to leave, or when its endpoint has it and has not answered; the first time or a later one. Whatever was
// answered with +OK has its final answer in the next incarnation, and no charge is applied twice.
func TestKilledBetweenTwoLines(t *testing.T) {
	for _, x := range []struct {
		point failpoint.Point
		times []int
	}{
		{failpoint.StepDecided, []int{1, 3, 4, 5, 6, 7, 8, 9}},
		{failpoint.BeforeAdmission, []int{1, 2, 3, 4}},
		{called, []int{1, 2, 3, 4}},
	} {
		for _, n := range x.times {
			t.Run(fmt.Sprintf("%s, %d", x.point, n), func(t *testing.T) {
				t.Parallel()
				if taken := killedBetween(t, n, x.point); len(taken) < 2 && n == x.times[len(x.times)-1] {
					t.Error("nothing was taken on before it was killed: nothing is tested")
				}
			})
		}
	}
}

// called is the point at which an endpoint has a call whole: outside of the process, so that the endpoint kills it.
const called failpoint.Point = "an endpoint has a call, and has not answered"

// killedBetween runs an incarnation that is killed and the next one, and returns the accepted messages.
func killedBetween(t *testing.T, n int, point failpoint.Point) (taken []string) {
	at := fmt.Sprintf("%d %s", n, point)
	var mu sync.Mutex
	applied, ends := map[string]int{}, map[string]string{}
	var first *exec.Cmd
	calls := 0
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		applied[r.Header.Get("Req-Id")]++
		if calls++; point == called && calls == n {
			_ = first.Process.Kill()
		}
	}))
	defer target.Close()
	finals := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		for sc := bufio.NewScanner(r.Body); sc.Scan(); {
			if _, id, ok := strings.Cut(sc.Text(), `"id":"`); ok {
				id, _, _ = strings.Cut(id, `"`)
				ends[id] = sc.Text()
			}
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	defer finals.Close()
	dir := t.TempDir()
	resp, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "a.toml")
	text := fmt.Sprintf("[resp]\nlisten = %q\nfinals = %q\n[[class]]\nname = \"note\"\neffect = \"once\"\naim_ms = "+
		"1000\ndeadline_ms = 9000\nworth = 1\n"+
		"[[route]]\nname = \"partner\"\ndest = 1\nproto = \"http\"\ndial = %q\n", resp, finals.Listener.Addr(),
		target.Listener.Addr())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start := func(kill string) *exec.Cmd {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+file, "LB_STATE="+dir, killKey+"="+kill)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Process.Kill() })
		return c
	}
	died := make(chan error, 1)
	mu.Lock()
	first = start(at)
	mu.Unlock()
	go func() { died <- first.Wait() }()
	var how error
	submit := func(id string) bool {
		for end := time.Now().Add(standin.Long); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			select {
			case how = <-died:
				return false
			default:
			}
			c, err := net.Dial("tcp", resp)
			if err != nil {
				continue // it does not listen yet, or has died
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(standin.Long))
			words := []string{"SUBMIT", "0", id, "c=note,t=x,d=9000,dest=1", "charge"}
			text := fmt.Sprintf("*%d\r\n", len(words))
			for _, w := range words {
				text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
			}
			_, _ = io.WriteString(c, text)
			line, _ := bufio.NewReader(c).ReadString('\n')
			return line == "+OK\r\n"
		}
		t.Fatal("it never listens")
		return false
	}
	for i := range 12 {
		id := fmt.Sprint("m", i)
		if ok := submit(id); !ok { // it has died
			break
		}
		taken = append(taken, id)
	}
	if how == nil {
		select {
		case how = <-died:
		case <-time.After(standin.Long):
			t.Fatal("it was not killed")
		}
	}
	if how == nil || !strings.Contains(how.Error(), "killed") {
		t.Fatal("it ended by itself:", how)
	}
	second := start("")
	died = make(chan error) // nobody kills this one
	if !submit("last") {
		t.Fatal("the next incarnation accepts nothing")
	}
	taken = append(taken, "last")
	for end := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		left := 0
		for _, id := range taken {
			if applied[id] == 0 && ends[id] == "" {
				left++
			}
		}
		mu.Unlock()
		if left == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %v have no end: %v %v", left, taken, applied, ends)
		}
	}
	_ = second.Process.Signal(syscall.SIGTERM) // it goes on for three seconds: time enough for what it should not do
	_ = second.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range applied {
		if n > 1 {
			t.Errorf("%s was applied %d times", id, n)
		}
	}
	return taken
}
