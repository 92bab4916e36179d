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

// TestGoldenMessages compares each message between members, and the body of the request for an
// execution, with golden files. Every field is set.
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

// TestGoldenSmallestMessages checks which fields are left out if they are zero.
func TestGoldenSmallestMessages(t *testing.T) {
	var frames []byte
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
		frames = append(frames, wireBytes(t, v)...)
	}
	compareGolden(t, "smallest.jsonl", frames)
}

// TestGoldenConstants compares the constants on which members and folders of other versions rely.
func TestGoldenConstants(t *testing.T) {
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

// TestGoldenCaller compares all bytes that a member sends on a connection that it opens: its hello,
// and what follows for each purpose.
func TestGoldenCaller(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	g := goldenMember(t, "a", map[string]string{"a": "10.0.0.9:7000", "b": listener.Addr().String()})
	g.table.Incarnations["b"] = 5
	servePeer := func(replies ...string) <-chan []byte {
		received := make(chan []byte, 1)
		go func() {
			var all []byte
			defer func() { received <- all }()
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for _, reply := range replies {
				line, err := readLine(conn, maxFrame)
				if err != nil {
					return
				}
				all = append(append(all, line...), '\n')
				_, _ = io.WriteString(conn, reply)
			}
			rest, _ := io.ReadAll(conn)
			all = append(all, rest...)
		}()
		return received
	}
	welcomeLine := `{"life":5,"known":3,"log":{"index":9,"term":2,"here":true},"state":"begun","leader":"b"}` + "\n"
	for _, purpose := range []connPurpose{purposePeek, purposeRaft} {
		received := servePeer(welcomeLine)
		conn, welcome, err := g.connect("b", purpose, 10*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		want := welcomeMessage{
			Incarnation: 5, KnownIncarnation: 3, Log: logPosition{Index: 9, Term: 2, Exists: true},
			State: stateStarted, Leader: "b",
		}
		if !reflect.DeepEqual(welcome, want) {
			t.Errorf("%s: welcome read as %+v", purpose, welcome)
		}
		if purpose == purposeRaft { // the raft library's bytes follow the hello unchanged
			_, _ = io.WriteString(conn, "\x00raft's bytes\n")
		}
		_ = conn.Close()
		compareGolden(t, "caller-"+string(purpose)+".txt", <-received)
	}
	g.opt.Terms.Length = 10 * time.Second // allows enough time for the reply
	received := servePeer(welcomeLine, `{"n":0,"nudge":true}`+"\n"+`{"n":12,"refs":[{"n":"report","e":41,"t":2}]}`+"\n")
	link, err := g.dialLeader("b")
	if err != nil {
		t.Fatal(err)
	}
	reply, err := link.exchange(goldenHeartbeat(), 10*time.Second, nil)
	want := heartbeatReply{Sequence: 12, Granted: []lease.Ref{{Name: "report", Epoch: 41, Renewal: 2}}}
	if err != nil || !reflect.DeepEqual(reply, want) {
		t.Errorf("reply read as %+v, %v", reply, err)
	}
	link.close()
	compareGolden(t, "caller-ask.txt", <-received)
}

// TestGoldenServer compares all replies of a member without a log to hellos and heartbeats.
func TestGoldenServer(t *testing.T) {
	var replies []byte
	endedIncarnation, otherVersion := goldenHello(purposeHeartbeat), goldenHello(purposeHeartbeat)
	endedIncarnation.Incarnation, otherVersion.Version = 1, 2
	otherLease := goldenHello(purposeHeartbeat)
	otherLease.LeaseUs++
	for _, hello := range []helloMessage{
		goldenHello(purposePeek), goldenHello(purposeHeartbeat), goldenHello(purposeRaft), endedIncarnation, otherVersion,
		otherLease,
	} {
		g := goldenMember(t, "b", map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.9:7000"})
		g.state, g.lastView.Leader, g.table.Incarnations["a"] = stateStarted, "a", 2
		g.table.Addresses["a"] = "10.0.0.1:7000"
		near, far := net.Pipe()
		go g.serve(t.Context(), far)
		sentBytes := wireBytes(t, hello)
		if hello == goldenHello(purposeHeartbeat) {
			sentBytes = append(sentBytes, wireBytes(t, goldenHeartbeat())...)
		}
		go func() { _, _ = near.Write(sentBytes) }()
		lines := 1
		if hello == goldenHello(purposeHeartbeat) {
			lines = 2
		}
		for range lines {
			line, err := readLine(near, maxFrame)
			if err != nil {
				t.Fatal(err)
			}
			replies = append(append(replies, line...), '\n')
		}
		_ = near.Close()
	}
	compareGolden(t, "server.jsonl", replies)
}

// TestGoldenExecution compares the request that the receiver of an execution gets.
func TestGoldenExecution(t *testing.T) {
	var got bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got.WriteString(r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type") + "\n")
		_, _ = io.Copy(&got, r.Body)
		got.WriteString("\n")
	}))
	execution := Execution{Duty: "report", Member: "a", Epoch: 41, Number: 7}
	requireAllFields(t, execution)
	if err := HTTPExecutor(server.URL+"/act")(t.Context(), execution); err != nil {
		t.Fatal(err)
	}
	server.Close()
	compareGolden(t, "act.txt", got.Bytes())
}

// memorySink is a raft.SnapshotSink that keeps the snapshot in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) Close() error  { return nil }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) ID() string    { return "golden" }

// TestGoldenStateMachine replays golden log entries, and writes and restores a snapshot of the result.
func TestGoldenStateMachine(t *testing.T) {
	requireAllFields(t, goldenEntries())
	var log bytes.Buffer
	for _, entry := range goldenEntries() {
		raw, err := json.Marshal(entry)
		if err != nil {
			t.Fatal(err)
		}
		log.Write(append(raw, '\n'))
	}
	compareGolden(t, "log.jsonl", log.Bytes())
	machine := &stateMachine{table: lease.NewTable()}
	for i, data := range bytes.Split(bytes.TrimSpace(readGolden(t, "log.jsonl")), []byte("\n")) {
		if result := machine.Apply(&raft.Log{Data: data}).(lease.Result); result.Reason != "" {
			t.Errorf("entry %d: %s", i, result.Reason)
		}
	}
	if !reflect.DeepEqual(machine.table, goldenTable()) {
		t.Errorf("the table after all log entries is %+v", machine.table)
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var stored memorySink
	if err := snapshot.Persist(&stored); err != nil {
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

// TestGoldenMemberFile compares member.json and the file with the number of quota members with golden
// files, and reads them back.
func TestGoldenMemberFile(t *testing.T) {
	dir := t.TempDir()
	stored := &folder{
		dir: dir, Name: "a", Incarnation: 7, Voter: true, FirstStartVoters: []string{"a", "b"}, Forced: true,
		Started: true,
	}
	requireAllFields(t, stored)
	smallest := &folder{dir: t.TempDir()}
	var files []byte
	for _, item := range []*folder{stored, smallest} {
		if err := item.save(); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(filepath.Join(item.dir, "member.json"))
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
	for _, item := range []*folder{got, &strict} {
		if item.Name != "a" || item.Incarnation != 7 || !item.Voter || !item.Forced || !item.Started ||
			!slices.Equal(item.FirstStartVoters, []string{"a", "b"}) {
			t.Errorf("read back: %+v", item)
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
