package main

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The golden session records the adapter's output for a session that uses every message and every field. Its input
// comes from a seeded generator that reacts to the output. After an intended change, regenerate both files:
//
//	go test ./cmd/adapter -run TestGolden -update-golden
var updateGolden = flag.Bool("update-golden", false, "record the golden files anew")

const goldenSetup = `{"az":"z","zones":["z","y"],"replicasOfMe":%d,"rank":1,"tickUs":5000,"discovery":%q,` +
	`"weights":"silent","machineTypes":["plain","apart","batch"],"overShareWorth":0.5,"lanes":[` +
	`{"name":"safe","aimUs":1000000,"aimStretch":1.5,"hardLimitUs":5000000,"effect":"repeatable","group":"all",` +
	`"windowUs":0,"keepOrder":false,"lateValue":0.5,"stream":false,"worth":1},` +
	`{"name":"key","aimUs":1000000,"hardLimitUs":6000000,"effect":"by_key","group":"zone","windowUs":3000000,` +
	`"keepOrder":true,"lateValue":0.2,"worth":2},` +
	`{"name":"once","aimUs":1000000,"hardLimitUs":6000000,"effect":"once","lateValue":0.1,"worth":3},` +
	`{"name":"stream","aimUs":1000000,"hardLimitUs":6000000,"effect":"repeatable","stream":true,"worth":1}],` +
	`"customers":[{"name":"alpha","quotaPerS":2}],` +
	`"caps":{"cancel":true,"connectTimeoutUs":500000,"keepaliveUs":5000000,"maxAttempts":6,"maxRetryAfterUs":2000000,` +
	`"openCap":14,"probes":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":1},` +
	`"charges":{"handshake":0.05,"crossZone":0.1,"waste":0.2},` +
	`"familyInfo":{"carriage":[0.01,0.2],"decay":"line","ownLimits":[false,true,false],"perCall":[1,1,3],"workers":5},` +
	`"report":{"fields":["x0","x1"],"how":"piggyback"},` +
	`"rules":{"answerSlackUs":1,"askWithinUs":1000000,"coldFrom":0.25,"fallMultiple":2,"fallUs":2000000,` +
	`"warmAfterUs":4000000,"stopSendingWithinUs":1,"keyRestUs":500000},"unknown":{"ignored":[1]}}`

// goldenSession generates the lines of a session batch by batch, and reads the replies to each batch.
type goldenSession struct {
	t             *testing.T
	rng           *rand.Rand
	input         strings.Builder
	now           int64
	requestCount  int
	batchLines    []string // of the next batch
	running       []goldenAttempt
	attemptCounts map[string]int // by instance and request
}

// goldenAttempt is an attempt whose outcome has not been reported.
type goldenAttempt struct {
	instance int64
	id, addr string
	n        int // the number of the attempt, as on the wire
}

func (s *goldenSession) add(format string, args ...any) {
	s.batchLines = append(s.batchLines, fmt.Sprintf(format, args...))
}

// flush ends a batch and handles the adapter's replies to it.
func (s *goldenSession) flush() {
	s.t.Helper()
	fmt.Fprintf(&s.input, "{\"Batch\":{\"timeUs\":%d}}\n%s\n{\"Eob\":{}}\n", s.now, strings.Join(s.batchLines, "\n"))
	s.batchLines = nil
	out, err := runSession(s.t, s.input.String())
	if err != nil {
		s.t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSuffix(out, "{\"Ok\":{}}\n"), "{\"Ok\":{}}\n")
	for line := range strings.Lines(replies[len(replies)-1]) {
		s.reply(line)
	}
}

// reply handles one line of the adapter's output: it records an attempt that is started, and reports the end of one
// that is canceled.
func (s *goldenSession) reply(line string) {
	var a goldenAttempt
	if n, _ := fmt.Sscanf(line, `{"Issue":{"who":%d,"opId":%q,"endpoint":%q,`, &a.instance, &a.id, &a.addr); n == 3 {
		key := fmt.Sprint(a.instance, a.id)
		a.n = s.attemptCounts[key]
		s.attemptCounts[key]++
		s.running = append(s.running, a)
	}
	if n, _ := fmt.Sscanf(line, `{"Recall":{"who":%d,"opId":%q,"n":%d`, &a.instance, &a.id, &a.n); n == 3 {
		i := slices.IndexFunc(s.running, func(other goldenAttempt) bool {
			return other.instance == a.instance && other.id == a.id && other.n == a.n
		})
		if i >= 0 {
			s.report(s.running[i], "CXL", "null", "null")
			s.running = slices.Delete(s.running, i, i+1)
		}
	}
}

// report adds the outcome of an attempt.
func (s *goldenSession) report(a goldenAttempt, outcome, retryAfterMs, report string) {
	s.add(`{"ReportBack":{"who":%d,"opId":%q,"n":%d,"endpoint":%q,"reason":%q,"rttUs":%d,"finished":%t,`+
		`"holdMs":%s,"report":%s}}`,
		a.instance, a.id, a.n, a.addr, outcome, 20_000+s.rng.Intn(9000), outcome == "GOOD", retryAfterMs, report)
}

// start starts an instance with an endpoint list of its own.
func (s *goldenSession) start(instance, replicas int, discovery string) {
	s.add(`{"Up":{"who":%d,"initSeed":%d,"setup":%s}}`,
		instance, 7*instance, fmt.Sprintf(goldenSetup, replicas, discovery))
	s.catalog(instance, "live", "live", "live", "live", "live")
	s.add(`{"DirectoryUpdate":{"who":%d,"how":"whole","sheet":%d}}`, instance, instance)
}

// catalog defines the endpoint list of an instance.
func (s *goldenSession) catalog(instance int, states ...string) {
	var entries []string
	for i, state := range states {
		entries = append(entries, fmt.Sprintf(
			`{"endpoint":"e%d","site":%q,"shape":%q,"belongsTo":%d,"stageState":%q,"powerHint":%d}`,
			i, []string{"z", "y"}[i%2], []string{"plain", "apart", "batch"}[i%3], i%3, state, i))
	}
	s.add(`{"Catalog":{"sheet":%d,"elements":[%s]}}`, instance, strings.Join(entries, ","))
}

// request adds a request to an instance.
func (s *goldenSession) request(instance int64) {
	s.requestCount++
	class := []string{"safe", "key", "once", "stream"}[s.rng.Intn(4)]
	s.add(`{"Incoming":{"who":%d,"opId":"m%d","partitionKey":%s,"class":%q,"workHintUs":%s,"terminatesAt":%d,`+
		`"dropDeadUs":%d,"team":%s}}`, instance, s.requestCount, []string{"null", "1", "2"}[s.rng.Intn(3)], class,
		[]string{"null", "90000"}[s.rng.Intn(2)], s.rng.Intn(3), s.now+5_000_000,
		[]string{`"alpha"`, "0", "null"}[s.rng.Intn(3)])
}

// outcomes reports the outcomes of some of the running attempts. Those of requests whose id ends in 7 mostly hang,
// until they are canceled.
func (s *goldenSession) outcomes() {
	var stillRunning []goldenAttempt
	for _, a := range s.running {
		switch choice := s.rng.Intn(14); {
		case choice < 4 || strings.HasSuffix(a.id, "7") && s.rng.Intn(60) > 0:
			stillRunning = append(stillRunning, a)
		case choice < 9:
			s.report(a, "GOOD", "null", []string{"null", "[0.5,20]", "[0.1,null]"}[s.rng.Intn(3)])
		case choice < 11:
			s.report(a, "FULL", []string{"null", "300", "2500"}[s.rng.Intn(3)], []string{"null", "[0,20]"}[s.rng.Intn(2)])
		case choice == 11:
			s.add(`{"Streaming":{"who":%d,"opId":%q,"n":%d,"endpoint":%q}}`, a.instance, a.id, a.n, a.addr)
			stillRunning = append(stillRunning, a)
		default:
			s.report(a, []string{"BAD", "LATE", "NOCONN", "RST", "NOP"}[s.rng.Intn(5)], "null", "null")
		}
	}
	s.running = stillRunning
}

// otherMessage adds one of the remaining kinds of messages to an instance.
func (s *goldenSession) otherMessage(instance int) {
	switch s.rng.Intn(9) {
	case 0:
		s.add(`{"Left":{"who":%d,"opId":"m%d"}}`, instance, s.requestCount)
	case 1:
		s.add(`{"CheckResult":{"who":%d,"endpoint":"e1","reason":"GOOD","rttUs":5,"report":[1,2]}}`, instance)
	case 2:
		s.add(`{"Message":{"who":%d}}`, instance)
	case 3:
		s.add(`{"DirectoryUpdate":{"who":%d,"how":"broken"}}`, instance)
	case 4, 5:
		kind := []string{"patch", "whole", "stale_copy"}[s.rng.Intn(3)]
		s.catalog(instance, "live", "live", []string{"live", "quiescing", "dead"}[s.rng.Intn(3)], "live", "live")
		s.add(`{"DirectoryUpdate":{"who":%d,"how":%q,"sheet":%d}}`, instance, kind, instance)
	default:
		s.add(`{"Wake":{"who":%d,"mark":%d}}`, instance, s.requestCount)
	}
}

// goldenInput generates a session and returns its input.
func goldenInput(t *testing.T) string {
	t.Helper()
	s := &goldenSession{t: t, rng: rand.New(rand.NewSource(12)), now: 1_000_000, attemptCounts: map[string]int{}}
	s.start(1, 1, "pushed")
	s.start(2, 300, "on_request")
	s.add(`{"Up":{"who":3,"initSeed":1,"setup":{}}}`) // settings that the scheduler refuses
	s.flush()
	for i := range 150 {
		s.now += 1000 + s.rng.Int63n(120_000)
		s.request(int64(1 + i%2))
		if i%3 == 0 {
			s.request(1)
		}
		s.outcomes()
		if s.rng.Intn(3) == 0 {
			s.otherMessage(1 + s.rng.Intn(2))
		}
		s.add(`{"Wake":{"who":%d,"mark":%d}}`, 1+i%2, i)
		if i == 100 { // one instance restarts; its attempts are lost
			s.add(`{"PowerOff":{"who":2}}`)
			s.start(2, 5, "on_request")
			s.running = slices.DeleteFunc(s.running, func(a goldenAttempt) bool { return a.instance == 2 })
		}
		s.flush()
	}
	return s.input.String()
}

// checkGolden compares text with a golden file, or writes it there if -update-golden is set.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	t.Errorf("%s: %d lines, want %d", path, len(gotLines), len(wantLines))
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s:%d: got\n%s\nwant\n%s", path, i+1, gotLines[i], wantLines[i])
		}
	}
}

// TestGoldenSession checks that the recorded input produces the recorded output, byte for byte.
func TestGoldenSession(t *testing.T) {
	if *updateGolden {
		checkGolden(t, "session.in", goldenInput(t))
	}
	in, err := os.ReadFile(filepath.Join("testdata", "golden", "session.in"))
	if err != nil {
		t.Fatal(err)
	}
	out, err := runSession(t, string(in))
	if err != nil {
		t.Fatal(err)
	}
	for name := range strings.FieldsSeq("Issue PushBack Abort Sleep WriteLog Recall FreeLinks Tail GiveIn Ok") {
		if !strings.Contains(out, "{\""+name+"\":") {
			t.Errorf("no %s in the output of the session", name)
		}
	}
	checkGolden(t, "session.out", out)
}

// TestGoldenFaults compares the texts of the errors that end a session.
func TestGoldenFaults(t *testing.T) {
	valid := batchLines("1", "3", instanceStarted, endpointList, endpointUpdate)
	var out bytes.Buffer
	for _, in := range []string{
		"{]\n", "{}\n", "{\"Batch\":3}\n", "{\"Batch\":{}}\n", "{\"Eob\":{}}\n", "{\"Batch\":{\"timeUs\":1}}\n",
		"{\"Wake\":{\"who\":3}}\n", "{\"Batch\":{\"timeUs\":1}}\n{\"Batch\":{\"timeUs\":1}}\n",
		valid + batchLines("2", "8", request), valid + batchLines("2", "8", `{"PowerOff":{"who":%}}`),
		batchLines("1", "3", instanceStarted, endpointUpdate),
		valid + batchLines("2", "3", `{"Surprise":{"who":%}}`),
	} {
		reply, err := runSession(t, in)
		fmt.Fprintf(&out, "%d bytes, %v\n", len(reply), err)
	}
	checkGolden(t, "faults.txt", out.String())
}
