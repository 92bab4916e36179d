package fleet

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const hangTimeout = 20 * time.Second // fails a test that hangs

// echo starts a server that sends back every stream and datagram, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	datagrams, err := net.ListenPacket("udp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close(); _ = datagrams.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	go func() {
		buf := make([]byte, 2048)
		for {
			n, from, err := datagrams.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = datagrams.WriteTo(buf[:n], from)
		}
	}()
	return ln.Addr().String()
}

func dial(t *testing.T, network, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(hangTimeout))
	return conn
}

// A stream that was cut arrives complete and in order after the cut, in either direction; a datagram is lost.
func TestLinkCutsAndHeals(t *testing.T) {
	link, err := NewLink(echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	stream, datagrams := dial(t, "tcp", link.Addr()), dial(t, "udp", link.Addr())
	for _, conditions := range [][2]LinkConditions{{{Cut: true}, {}}, {{}, {Cut: true}}} {
		link.Set(conditions[0], conditions[1])
		sent := bytes.Repeat([]byte("word"), 10000)
		go func() { _, _ = stream.Write(sent) }()
		_, _ = datagrams.Write([]byte("lost"))
		_ = stream.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if n, err := stream.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%d bytes arrived during a cut, %v", n, err)
		}
		_ = stream.SetDeadline(time.Now().Add(hangTimeout))
		link.Set(LinkConditions{}, LinkConditions{})
		received := make([]byte, len(sent))
		if _, err := io.ReadFull(stream, received); err != nil || !bytes.Equal(received, sent) {
			t.Fatalf("the data received differs from the data sent: %v", err)
		}
	}
	_, _ = datagrams.Write([]byte("here"))
	buf := make([]byte, 9)
	if n, err := datagrams.Read(buf); err != nil || string(buf[:n]) != "here" {
		t.Fatalf("received %q, %v; a datagram sent during the cut arrived", buf[:n], err)
	}
	link.Set(LinkConditions{Duplicate: 1}, LinkConditions{})
	_, _ = datagrams.Write([]byte("twice"))
	for range 2 {
		if n, err := datagrams.Read(buf); err != nil || string(buf[:n]) != "twice" {
			t.Fatalf("%q, %v", buf[:n], err)
		}
	}
	link.Reset()
	if _, err := stream.Read(buf); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the stream was not reset: %v", err)
	}
}

// Each fault of links affects exactly the pairs of members that it names, and both links of a pair agree.
func TestFaultsAffectOnlyNamedMembers(t *testing.T) {
	for _, test := range []struct{ step, cut string }{
		{"0s cut a for 1s", "ab ac ba ca"},
		{"0s mute a for 1s", "ab ac"},
		{"0s deaf a for 1s", "ba ca"},
		{"0s part a b for 1s", "ac bc ca cb"},
		{"0s bridge a c for 1s", "ac ca"},
	} {
		plan, err := ParsePlan(strings.NewReader(test.step))
		if err != nil {
			t.Fatal(err)
		}
		fault, ok := linkFault(plan[0], plan[0].Targets)
		if !ok {
			t.Fatal(test.step)
		}
		var cut []string
		for _, from := range "abc" {
			for _, to := range "abc" {
				there, back := fault(string(from), string(to))
				if from != to && there.Cut {
					cut = append(cut, string(from)+string(to))
				}
				if _, reverseIn := fault(string(to), string(from)); from != to && reverseIn.Cut != there.Cut || from != to &&
					back.Cut != strings.Contains(test.cut, string(to)+string(from)) {
					t.Errorf("%s: the two links between %c and %c have different conditions", test.step, from, to)
				}
			}
		}
		if got := strings.Join(cut, " "); got != test.cut {
			t.Errorf("%s: affected pairs are %s", test.step, got)
		}
	}
}

// A random plan can be formatted and parsed again, and the error for an invalid line has its number.
func TestPlans(t *testing.T) {
	kinds := []string{"kill", "stop", "part", "bridge", "killall"}
	drawn := Draw(7, 30, time.Second, kinds, []string{"a", "b", "c"})
	var text strings.Builder
	for _, step := range drawn {
		text.WriteString(step.String() + "   # drawn\n")
	}
	parsed, err := ParsePlan(strings.NewReader(text.String()))
	if err != nil || len(parsed) != len(drawn) {
		t.Fatal(len(parsed), err)
	}
	for i := range drawn {
		if drawn[i].String() != parsed[i].String() {
			t.Errorf("drawn step %v was parsed as %v", drawn[i], parsed[i])
		}
	}
	for _, invalid := range []string{
		"1s", "x kill a for 1s", "1s kill a for x", "1s kill for 1s", "1s burn a for 1s",
		"1s bridge a for 1s", "-1s kill a for 1s",
	} {
		if _, err := ParsePlan(strings.NewReader("\n" + invalid)); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", invalid, err)
		}
	}
}

// Check finds no violation in a valid timeline, and each kind of violation that is injected into one.
func TestChecker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var events []Event
		epoch, call := uint64(1), uint64(0)
		now := time.Duration(0)
		member := func() string { return string(rune('a' + epoch%5)) }
		for range rapid.IntRange(2, 30).Draw(t, "acts") {
			if rapid.Bool().Draw(t, "next") {
				epoch++
			}
			call++
			now += time.Millisecond
			event := Event{At: now, Member: member(), Kind: "act", Duty: "d", Epoch: epoch, Execution: call, ExecutionID: call}
			done := event
			done.Kind = "done"
			events = append(events, event, done)
		}
		if verdict := Check(events); !verdict.Passed() || verdict.Executions != int(call) {
			t.Fatalf("violations in a valid timeline: %+v", verdict)
		}
		index := 2 * rapid.IntRange(1, int(call)-1).Draw(t, "where")
		broken := append([]Event(nil), events...)
		var verdict Verdict
		switch rapid.IntRange(0, 2).Draw(t, "what") {
		case 0: // an execution that begins before the previous one has ended
			broken[index-1], broken[index] = broken[index], broken[index-1]
			if verdict = Check(broken); verdict.Overlaps == 0 {
				t.Fatal("the overlap was not detected")
			}
		case 1:
			broken[index].Epoch = 0
			if verdict = Check(broken); verdict.StaleExecutions == 0 {
				t.Fatal("the stale epoch was not detected")
			}
		case 2:
			broken[index].Epoch, broken[index].Member = broken[index-1].Epoch, "z"
			if verdict = Check(broken); verdict.SharedEpochs == 0 {
				t.Fatal("the epoch shared by two members was not detected")
			}
		}
	})
}

// The receiver refuses executions of stale epochs, and the timeline records each execution and refusal. Handovers
// finds the fault that caused a handover, and ignores the transfer of another duty.
func TestReceiver(t *testing.T) {
	timeline := NewTimeline()
	receiver, err := NewReceiver(timeline)
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	post := func(epoch string, want int) {
		t.Helper()
		response, err := http.Post("http://"+receiver.Addr()+"/act", "application/json",
			strings.NewReader(`{"duty":"d","member":"m`+epoch+`","epoch":`+epoch+`,"act":1}`))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("epoch %s: %d, want %d", epoch, response.StatusCode, want)
		}
	}
	post("2", 200)
	timeline.Add(Event{Member: "m2", Kind: "kill"})
	post("3", 200)
	post("2", 409)
	if verdict := Check(timeline.Events()); !verdict.Passed() || verdict.Executions != 2 || verdict.Refused != 1 {
		t.Errorf("%+v", verdict)
	}
	if handovers := Handovers(timeline.Events(), time.Second); len(handovers) != 1 || handovers[0].Fault != "kill" ||
		handovers[0].From != "m2" || handovers[0].To != "m3" {
		t.Errorf("%+v", handovers)
	}
	timeline.Add(Event{Member: "m4", Kind: "hand", Duty: "other"})
	post("4", 200)
	if handovers := Handovers(timeline.Events(), time.Second); len(handovers) != 2 || handovers[1].Fault != "" {
		t.Errorf("the transfer of another duty counts as the cause: %+v", handovers)
	}
	receiver.SetBehavior(0, 0, true)
	post("2", 200)
	if verdict := Check(timeline.Events()); verdict.StaleExecutions != 1 {
		t.Errorf("executions of stale epochs accepted by the receiver: %+v", verdict)
	}
}

// A folder is restored from its backup after a file in it was corrupted, and Empty removes its contents.
func TestFolders(t *testing.T) {
	dir := t.TempDir()
	state, backup := filepath.Join(dir, "state"), filepath.Join(dir, "back")
	file := filepath.Join(state, "sub", "file")
	if err := errors.Join(os.MkdirAll(filepath.Dir(file), 0o700), os.WriteFile(file, []byte("as it was"), 0o600),
		Backup(state, backup)); err != nil {
		t.Fatal(err)
	}
	if length, err := Corrupt(file, rand.New(rand.NewSource(3))); err != nil || length >= 9 {
		t.Fatal(length, err)
	}
	if err := Restore(backup, state); err != nil {
		t.Fatal(err)
	}
	if raw, err := os.ReadFile(file); err != nil || string(raw) != "as it was" {
		t.Fatalf("%q, %v", raw, err)
	}
	if entries, err := os.ReadDir(state); errors.Join(err, Empty(state)) != nil || len(entries) != 1 {
		t.Fatal(entries, err)
	}
}

// A process with a full disk cannot write to files until there is space again.
func TestFullDisk(t *testing.T) {
	output, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir()) // also the working directory of the process
	proc, err := Start("/bin/sh", []string{
		"-c",
		`trap '' XFSZ; while :; do if echo x > f 2>/dev/null; then echo w; else echo f; fi; sleep 0.01; done`,
	}, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	defer proc.Kill()
	line := make([]byte, 2)
	waitFor := func(want byte) {
		t.Helper()
		for end := time.Now().Add(hangTimeout); line[0] != want; {
			if _, err := io.ReadFull(output, line); err != nil || time.Now().After(end) {
				t.Fatal(err, string(line))
			}
		}
	}
	waitFor('w')
	if err := proc.SetDiskFull(true); err != nil {
		t.Fatal(err)
	}
	waitFor('f')
	if err := proc.SetDiskFull(false); err != nil {
		t.Fatal(err)
	}
	waitFor('w')
}

// A process is suspended, resumed and terminated. One that has ended is not signalled again, as its pid may belong to
// another process by then.
func TestProcesses(t *testing.T) {
	output, log, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	proc, err := Start("/bin/sh", []string{
		"-c",
		`trap 'echo told; exit 3' TERM; echo up; while :; do sleep 0.01; done`,
	}, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(proc.Stop(), proc.Continue()); err != nil {
		t.Fatal(err)
	}
	if _, err := output.Read(make([]byte, 2)); err != nil { // the trap is set
		t.Fatal(err)
	}
	if err := proc.Terminate(hangTimeout); err == nil || !strings.Contains(err.Error(), "exit status 3") {
		t.Error(err)
	}
	if ended, _ := proc.Ended(); !ended || proc.Stop() == nil {
		t.Error("a process that had ended was signalled")
	}
}

// An endpoint with a cold return collapses under more calls than it tolerates then; one that never was unavailable
// refuses the excess instead.
func TestColdEndpointCollapses(t *testing.T) {
	for _, cold := range []bool{false, true} {
		endpoint, err := NewEndpoint(50)
		if err != nil {
			t.Fatal(err)
		}
		defer endpoint.Close()
		if cold {
			endpoint.SetColdReturn()
			endpoint.SetDown(true)
			endpoint.SetDown(false)
		}
		for range 200 {
			if response, err := http.Post("http://"+endpoint.Addr(), "", strings.NewReader("x")); err == nil {
				_ = response.Body.Close()
			}
		}
		if collapsed := endpoint.Collapses.Load() > 0; collapsed != cold {
			t.Errorf("cold return %v, collapses %d", cold, endpoint.Collapses.Load())
		}
	}
}
