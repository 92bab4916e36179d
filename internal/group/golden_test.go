package group

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
)

// TestGoldenMessages holds each message of the port between members, and the body of a call, with
// every field set.
func TestGoldenMessages(t *testing.T) {
	testMessage(t, "hello.json", goldenHello(purposeRaft))
	testMessage(t, "welcome.json", welcomeMessage{
		Error: "the name a is in use", Incarnation: 3, KnownIncarnation: 5, Outdated: true,
		Log: logPosition{Index: 900, Term: 4, Exists: true}, Voters: []string{"a", "b"}, State: stateStarted, Leader: "b",
		LeaderAddress: "10.0.0.2:7000",
	})
	testMessage(t, "beat.json", goldenHeartbeat())
	testMessage(t, "answer.json", goldenReply())
	testMessage(t, "called.json", executionBody{Duty: "report", Member: "a", Epoch: 41, Execution: 7})
}

// TestGoldenSmallestMessages holds which fields are left out when they are zero.
func TestGoldenSmallestMessages(t *testing.T) {
	var out []byte
	for _, v := range []any{
		helloMessage{},
		welcomeMessage{},
		heartbeat{Command: &command{}},
		heartbeatReply{Admission: &admission{}, View: &view{}},
		executionBody{},
		heartbeatReply{WakeUp: true},
		heartbeat{
			Executions: map[string]executionReport{"d": {}}, Quotas: map[string]quotaDemand{"l": {}}, Hints: []Hint{{}},
		},
	} {
		out = append(out, sent(t, v)...)
	}
	compareGolden(t, "smallest.jsonl", out)
}

// TestGoldenWords holds the words and numbers that members and folders of other versions know.
func TestGoldenWords(t *testing.T) {
	raw, err := json.MarshalIndent(map[string]any{
		"version": protocolVersion,
		"states":  []logState{stateOpening, stateEmpty, stateReady, stateStarted, stateNonVoter},
		"for":     []connPurpose{purposePeek, purposeHeartbeat, purposeRaft},
		"orders":  []operation{opHandOver, opRevoke, opLeave, opAdmit, opRestart},
		"next":    anyNextMember,
		"roll":    restartSlotName("roll", 2),
		"keys":    []string{string(keyTerm), string(keyVoteTerm), string(keyVoteFor)},
		"files":   []string{quotaMembersFile, filepath.ToSlash(raftDir("dir")), (&folder{dir: "dir"}).path()},
		"bounds": []int{
			maxFrame, maxHelloFrame, maxConns, maxHints, maxOffers, snapshotThreshold, trailingEntries, recoverEpochStep,
		},
	}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "words.json", append(raw, '\n'))
}

// TestGoldenCaller holds all that a caller sends: its hello, and its heartbeat after that.
func TestGoldenCaller(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	g := goldenMember(t, "a", map[string]string{"a": "10.0.0.9:7000", "b": ln.Addr().String()})
	g.table.Incarnations["b"] = 5
	peer := func(answers ...string) <-chan []byte {
		heard := make(chan []byte, 1)
		go func() {
			var all []byte
			defer func() { heard <- all }()
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			for _, a := range answers {
				line, err := readLine(c, maxFrame)
				if err != nil {
					return
				}
				all = append(append(all, line...), '\n')
				_, _ = io.WriteString(c, a)
			}
			rest, _ := io.ReadAll(c)
			all = append(all, rest...)
		}()
		return heard
	}
	welcomed := `{"life":5,"known":3,"log":{"index":9,"term":2,"here":true},"state":"begun","leader":"b"}` + "\n"
	for _, what := range []connPurpose{purposePeek, purposeRaft} {
		heard := peer(welcomed)
		c, w, err := g.connect("b", what, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		want := welcomeMessage{
			Incarnation: 5, KnownIncarnation: 3, Log: logPosition{Index: 9, Term: 2, Exists: true},
			State: stateStarted, Leader: "b",
		}
		if !reflect.DeepEqual(w, want) {
			t.Errorf("%s: welcome read as %+v", what, w)
		}
		if what == purposeRaft { // the library's own bytes follow with nothing around them
			_, _ = io.WriteString(c, "\x00raft's bytes\n")
		}
		_ = c.Close()
		compareGolden(t, "caller-"+string(what)+".txt", <-heard)
	}
	g.opt.Terms.Length = 10 * time.Second // the time that an answer may take
	heard := peer(welcomed, `{"n":0,"nudge":true}`+"\n"+`{"n":12,"refs":[{"n":"report","e":41,"t":2}]}`+"\n")
	l, err := g.dialLeader("b")
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.exchange(goldenHeartbeat(), 10*time.Second, nil)
	want := heartbeatReply{Sequence: 12, Granted: []lease.Ref{{Name: "report", Epoch: 41, Renewal: 2}}}
	if err != nil || !reflect.DeepEqual(a, want) {
		t.Errorf("answer %+v, %v", a, err)
	}
	l.close()
	compareGolden(t, "caller-ask.txt", <-heard)
}

// TestGoldenServer holds all that a member without a log answers to golden hellos and heartbeats.
func TestGoldenServer(t *testing.T) {
	var out []byte
	old, strange := goldenHello(purposeHeartbeat), goldenHello(purposeHeartbeat)
	old.Incarnation, strange.Version = 1, 2
	agreed := goldenHello(purposeHeartbeat)
	agreed.LeaseUs++
	for _, h := range []helloMessage{
		goldenHello(purposePeek), goldenHello(purposeHeartbeat), goldenHello(purposeRaft), old, strange, agreed,
	} {
		g := goldenMember(t, "b", map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.9:7000"})
		g.state, g.lastView.Leader, g.table.Incarnations["a"] = stateStarted, "a", 2
		g.table.Addresses["a"] = "10.0.0.1:7000"
		near, far := net.Pipe()
		go g.serve(t.Context(), far)
		sentBytes := sent(t, h)
		if h == goldenHello(purposeHeartbeat) {
			sentBytes = append(sentBytes, sent(t, goldenHeartbeat())...)
		}
		go func() { _, _ = near.Write(sentBytes) }()
		lines := 1
		if h == goldenHello(purposeHeartbeat) {
			lines = 2
		}
		for range lines {
			line, err := readLine(near, maxFrame)
			if err != nil {
				t.Fatal(err)
			}
			out = append(append(out, line...), '\n')
		}
		_ = near.Close()
	}
	compareGolden(t, "server.jsonl", out)
}

// TestGoldenAct holds what the receiver of an act gets.
func TestGoldenAct(t *testing.T) {
	var got bytes.Buffer
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got.WriteString(r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type") + "\n")
		_, _ = io.Copy(&got, r.Body)
		got.WriteString("\n")
	}))
	act := Execution{Duty: "report", Member: "a", Epoch: 41, Number: 7}
	requireAllFields(t, act)
	if err := HTTPExecutor(s.URL+"/act")(t.Context(), act); err != nil {
		t.Fatal(err)
	}
	s.Close()
	compareGolden(t, "act.txt", got.Bytes())
}

// sink is a snapshot's file in memory.
type sink struct{ bytes.Buffer }

func (*sink) Close() error  { return nil }
func (*sink) Cancel() error { return nil }
func (*sink) ID() string    { return "golden" }

// TestGoldenMachine replays the log's data and writes and restores a snapshot.
func TestGoldenMachine(t *testing.T) {
	requireAllFields(t, goldenEntries())
	var log bytes.Buffer
	for _, e := range goldenEntries() {
		raw, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		log.Write(append(raw, '\n'))
	}
	compareGolden(t, "log.jsonl", log.Bytes())
	alone := &stateMachine{table: lease.NewTable()}
	for i, data := range bytes.Split(bytes.TrimSpace(readGolden(t, "log.jsonl")), []byte("\n")) {
		if d := alone.Apply(&raft.Log{Data: data}).(lease.Result); d.Reason != "" {
			t.Errorf("entry %d: %s", i, d.Reason)
		}
	}
	if !reflect.DeepEqual(alone.table, goldenTable()) {
		t.Errorf("the log leads to %+v", alone.table)
	}
	snap, err := alone.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var stored sink
	if err := snap.Persist(&stored); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "snapshot.json", stored.Bytes())
	var strict lease.Table
	readStrict(t, readGolden(t, "snapshot.json"), &strict)
	g := goldenMember(t, "a", nil)
	raw := io.NopCloser(bytes.NewReader(readGolden(t, "snapshot.json")))
	if err := (&stateMachine{group: g}).Restore(raw); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(g.table, goldenTable()) || !reflect.DeepEqual(&strict, goldenTable()) {
		t.Errorf("the snapshot is read as %+v", g.table)
	}
}

// TestGoldenMemberFile holds member.json and the file of the quota members, and reads them back.
func TestGoldenMemberFile(t *testing.T) {
	dir := t.TempDir()
	f := &folder{
		dir: dir, Name: "a", Incarnation: 7, Voter: true, FirstStartVoters: []string{"a", "b"}, Forced: true,
		Started: true,
	}
	requireAllFields(t, f)
	smallest := &folder{dir: t.TempDir()}
	var files []byte
	for _, x := range []*folder{f, smallest} {
		if err := x.save(); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(filepath.Join(x.dir, "member.json"))
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, raw...)
	}
	compareGolden(t, "member.json", files)
	var strict folder
	readStrict(t, readGolden(t, "member.json"), &strict)
	got, err := readFolder(dir, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer got.close()
	for _, x := range []*folder{got, &strict} {
		if x.Name != "a" || x.Incarnation != 7 || !x.Voter || !x.Forced || !x.Started ||
			!slices.Equal(x.FirstStartVoters, []string{"a", "b"}) {
			t.Errorf("read back: %+v", x)
		}
	}
	if err := writeQuotaMembers(dir, 17); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "crowd"))
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "crowd.txt", raw)
	if n := readQuotaMembers(dir); n != 17 {
		t.Errorf("%d quota members", n)
	}
}
