package hotrestart

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"brackendale/scheduler"
	"brackendale/sender"
)

// updateGolden rewrites testdata/golden from the present code:
//
//	go test ./internal/hotrestart -run TestGolden -update-golden
//
// The files are the wire format between two processes of different builds. They change only together with Version, or
// with scheduler.StateFormat for the contents of a saved state.
var updateGolden = flag.Bool("update-golden", false, "rewrite testdata/golden from the present code")

const goldenDir = "testdata/golden"

// goldenCase has the messages in the golden file of one kind, one a line and in order.
type goldenCase struct {
	kind     string
	messages []Message
}

// goldenCases returns the messages of every kind; the first of each kind has all of its fields set. The kinds and the
// reasons are literals on purpose: a changed constant must not change the expected file.
func goldenCases() []goldenCase {
	return []goldenCase{
		{"hello", []Message{{Kind: "hello", Version: 2}, {Kind: "hello", Version: 2, Confirms: true}}},
		{"welcome", []Message{{Kind: "welcome", Version: 2}, {
			Kind: "welcome", Version: 2, Confirms: true,
			Listeners: []ListenerName{{Network: "tcp", Address: "127.0.0.1:5672"}, {Network: "unix", Address: "/state/c.sock"}},
		}}},
		{"refused", []Message{
			{Kind: "refused", Version: 2, Reason: "another upgrade is under way"},
			{Kind: "refused", Version: 1, Reason: "quotes \" \\ <&> \u2028, tab\t, newline\n, ümläut"},
		}},
		{"prepared", []Message{{Kind: "prepared"}}},
		{"state", []Message{
			{Kind: "state", State: fullState()}, {Kind: "state", State: emptyState()}, {Kind: "state", State: liveState()},
		}},
		{"taken", []Message{{Kind: "taken"}}},
		{"yours", []Message{{Kind: "yours"}}},
		{"serving", []Message{{Kind: "serving"}}},
		{"offer", []Message{
			{Kind: "offer", OfferID: 1, Offer: fullOffer()},
			{Kind: "offer", OfferID: math.MaxUint64, Offer: &Offer{ID: "bare"}},
			{Kind: "offer", OfferID: 3, Offer: &Offer{
				ID: "empty", Deadline: math.MaxInt64, Destination: math.MinInt64,
				Body: []byte{},
			}},
		}},
		{"withdraw", []Message{{Kind: "withdraw", OfferID: 7}}},
		{"answer", []Message{
			{Kind: "answer", OfferID: 7, Verdict: int(sender.Failed), RetryAfterMs: 250},
			{Kind: "answer", OfferID: 8, Verdict: int(sender.Rejected), RetryAfterMs: 1},
			{Kind: "answer", OfferID: 9, Verdict: int(sender.Accepted)},
		}},
		{"report", []Message{{Kind: "report", Results: fullReport()}, {Kind: "report", Results: []sender.AttemptResult{}}}},
		{"recall", []Message{{Kind: "recall", ID: "m-1", Attempt: 3}}},
		{"wait", []Message{{Kind: "wait", Route: "7", RetryAfterMs: 1500}}},
	}
}

func fullOffer() *Offer {
	return &Offer{
		ID: "m-1", Class: "charge", Tenant: "tenant", Key: "key", Destination: 7, Deadline: 123456789,
		Body: []byte("body \x00\xff<&>"), Front: "platform", Correlation: "note\nof the front",
	}
}

// fullReport returns a result for each outcome; the first has all of its fields set.
func fullReport() []sender.AttemptResult {
	list := []sender.AttemptResult{{
		ID: "m-0", Attempt: 2, Endpoint: "e1", Outcome: "FULL", RetryAfterMs: 1500, Final: true,
		LoadReport: []float64{0.5, 1e21},
	}}
	for i, reason := range []string{
		string(sender.OutcomeSuccess), string(sender.OutcomeFailed), string(sender.OutcomeRejected),
		string(sender.OutcomeTimedOut), string(sender.OutcomeConnectFailed), string(sender.OutcomeReset),
		string(sender.OutcomeCanceled), string(sender.OutcomeNotSent),
	} {
		list = append(list, sender.AttemptResult{
			ID: fmt.Sprint("m-", i+1), Attempt: i + 1, Endpoint: "e2",
			Outcome: scheduler.Outcome(reason),
		})
	}
	return list
}

// fullState returns a state with every field of every nested struct set and with all elements of a list different.
func fullState() *State {
	return &State{Discovery: "127.0.0.1:8500", ListVersion: 42, Core: sender.Checkpoint{
		Scheduler:      fullSaved(),
		Routes:         []sender.Route{{Endpoint: fullEndpoint(), Dial: "10.0.0.1:80", Protocol: "http"}, {}},
		Ended:          []string{"over-1", "over-2"},
		KnownEndpoints: []string{"e1", "e2"},
		Draining:       []string{"e3"},
	}}
}

func fullEndpoint() scheduler.Endpoint {
	return scheduler.Endpoint{
		Addr: "e1", Zone: "z1", MachineType: "k", Destination: 7, State: "quiescing",
		CapacityHint: 0.25, SlowStart: true,
	}
}

func fullSaved() scheduler.State {
	own := fullRoute(100)
	return scheduler.State{
		Format:              1,
		Floats:              []float64{1, 0.1, -2.5e-7, 1e21},
		Integers:            []int64{0, -1, math.MaxInt64},
		ConnectFailureShare: map[string]float64{"b": 2, "a": 1.5},
		RetrySpread:         map[string]float64{"charge": 0.75},
		Tenants:             map[string][2]float64{"tenant": {3.5, 1e6}},
		Destinations: []scheduler.DestinationState{{
			Destination: 7, Floats: []float64{4.5}, Integers: []int64{5}, Route: fullRoute(10),
			Endpoints: []scheduler.EndpointState{{
				Endpoint: fullEndpoint(), Floats: []float64{6.5}, Integers: []int64{7, 8, 9, 10},
				Counts: []int{11}, Flags: []bool{true}, Failures: [][3]int64{{12, 13, 14}, {15, 16, 17}}, OwnRoute: &own,
				Superseded: true,
			}, {}},
		}},
		Messages: []scheduler.MessageState{{
			ID: "m-1", Class: "charge", Destination: 7, PriorityWeight: 1.25, Integers: []int64{18, 19, 20, 21, 22},
			Zone: "z2", Attempts: 2, Retries: 3, Ended: true,
		}, {}},
		Calls: []scheduler.CallState{{
			Endpoint: "e1", Integers: []int64{23, 24}, Flags: []bool{true, false, true, false},
			Messages: []string{"m-1", "m-2"}, Size: 3, Superseded: true,
		}, {}},
	}
}

func fullRoute(from int64) scheduler.RouteState {
	return scheduler.RouteState{
		Floats: []float64{float64(from) + 0.5, float64(from) + 1.5}, Integers: []int64{from + 2, from + 3},
		Counts: []int{int(from) + 4}, Flags: []bool{true, false}, AdvertisedLimit: [3]float64{1, 2.5, 3},
		FirstCallAt: from + 5,
		SlowStart: &scheduler.SlowStartState{
			Failed: true, Suspected: true, Capacity: 1.25, SustainedRate: float64(from) + 0.75, SustainedAt: from + 6,
		},
	}
}

// liveState returns a state of a release that hands over which endpoints were live, and a Retry-After
// for routes that an earlier snapshot lacked.
func liveState() *State {
	state := fullState()
	state.Core.LiveEndpoints = []byte{1, 2, 3, 4, 5, 6, 7, 8}
	state.Core.Scheduler.OtherRetryAfterUntil = 123_456_789
	return state
}

// emptyState returns the smallest state: nil lists and maps are sent as null.
func emptyState() *State { return &State{ListVersion: -1} }

func goldenPath(kind string) string { return filepath.Join(goldenDir, kind+".jsonl") }

// encode returns messages as package app writes them to a connection: one JSON value a line, by one encoder.
func encode(t *testing.T, messages []Message) []byte {
	t.Helper()
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, msg := range messages {
		if err := encoder.Encode(msg); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

func readGolden(t *testing.T, kind string) []byte {
	t.Helper()
	data, err := os.ReadFile(goldenPath(kind))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestGoldenWrite checks that each message is written as its golden file has it, byte for byte.
func TestGoldenWrite(t *testing.T) {
	for _, testCase := range goldenCases() {
		t.Run(testCase.kind, func(t *testing.T) {
			got := encode(t, testCase.messages)
			if *updateGolden {
				if err := os.WriteFile(goldenPath(testCase.kind), got, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if want := readGolden(t, testCase.kind); !bytes.Equal(got, want) {
				t.Errorf("%s:\n got %s\nwant %s", goldenPath(testCase.kind), got, want)
			}
		})
	}
}

// TestGoldenRead checks that the reader returns every field of each golden message, and nothing after the last one.
func TestGoldenRead(t *testing.T) {
	for _, testCase := range goldenCases() {
		t.Run(testCase.kind, func(t *testing.T) {
			in := NewReader(bytes.NewReader(readGolden(t, testCase.kind)))
			for i, want := range testCase.messages {
				got, err := in.Next()
				if err != nil {
					t.Fatalf("line %d: %v", i+1, err)
				}
				if !reflect.DeepEqual(got, want) {
					t.Errorf("line %d:\n got %+v\nwant %+v", i+1, got, want)
				}
			}
			if msg, err := in.Next(); err == nil {
				t.Errorf("the file has one message too many: %+v", msg)
			}
		})
	}
}

// TestGoldenStrict checks that each name in a golden file is a field of this program's messages, and that a message
// that was read is written again byte for byte.
func TestGoldenStrict(t *testing.T) {
	for _, testCase := range goldenCases() {
		t.Run(testCase.kind, func(t *testing.T) {
			data := readGolden(t, testCase.kind)
			decoder := json.NewDecoder(bytes.NewReader(data))
			decoder.DisallowUnknownFields()
			var messages []Message
			for {
				var msg Message
				err := decoder.Decode(&msg)
				if err == io.EOF {
					break
				}
				if err != nil {
					t.Fatalf("line %d: %v", len(messages)+1, err)
				}
				messages = append(messages, msg)
			}
			if again := encode(t, messages); !bytes.Equal(again, data) {
				t.Errorf("messages written again:\n got %s\nwant %s", again, data)
			}
		})
	}
}

// TestGoldenNamesExact checks the spelling of each name: encoding/json reads names in any case, the files do not.
func TestGoldenNamesExact(t *testing.T) {
	for _, testCase := range goldenCases() {
		for i, line := range bytes.Split(bytes.TrimSpace(readGolden(t, testCase.kind)), []byte("\n")) {
			var raw map[string]json.RawMessage
			if err := json.Unmarshal(line, &raw); err != nil {
				t.Fatalf("%s, line %d: %v", testCase.kind, i+1, err)
			}
			for name := range raw {
				if !slices.Contains([]string{
					"Kind", "Version", "Why", "State", "Offer", "N", "Verdict", "WaitMs", "Report",
					"ID", "Try", "Confirms", "Listeners", "Route",
				}, name) {
					t.Errorf("%s, line %d: unknown name %q", testCase.kind, i+1, name)
				}
			}
		}
	}
}

// TestGoldenFiles checks that the directory has the files of all kinds and no others.
func TestGoldenFiles(t *testing.T) {
	var want, got []string
	for _, testCase := range goldenCases() {
		want = append(want, testCase.kind+".jsonl")
	}
	list, err := os.ReadDir(goldenDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range list {
		got = append(got, f.Name())
	}
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("files %v, want %v", got, want)
	}
}

// TestGoldenComplete checks that some golden message sets each field that can be sent, in nested structs too. A new
// field has to be added to the cases above.
func TestGoldenComplete(t *testing.T) {
	set := map[string]bool{}
	for _, testCase := range goldenCases() {
		for _, msg := range testCase.messages {
			markSet(reflect.ValueOf(msg), set)
		}
	}
	known := map[string]bool{}
	listFields(reflect.TypeFor[Message](), known)
	for field := range known {
		if !set[field] {
			t.Errorf("no golden message sets %s", field)
		}
	}
	if len(known) < 60 {
		t.Errorf("only %d fields found: listFields misses some", len(known))
	}
}

// listFields adds "Type.Field" for each field of typ and of all types nested in it.
func listFields(typ reflect.Type, known map[string]bool) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map:
		listFields(typ.Elem(), known)
	case reflect.Struct:
		for i := range typ.NumField() {
			f := typ.Field(i)
			if f.Tag.Get("json") == "-" { // never sent
				continue
			}
			known[typ.String()+"."+f.Name] = true
			listFields(f.Type, known)
		}
	}
}

// markSet adds "Type.Field" for each field of v, and of all values nested in it, that is not zero.
func markSet(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			markSet(v.Elem(), set)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			markSet(v.Index(i), set)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if !v.Field(i).IsZero() {
				set[v.Type().String()+"."+v.Type().Field(i).Name] = true
			}
			markSet(v.Field(i), set)
		}
	}
}

// TestGoldenOffer checks that the conversion of a request to an offer and back keeps every field that is sent.
func TestGoldenOffer(t *testing.T) {
	req := fullOffer().Request()
	if got := NewOffer(req); !reflect.DeepEqual(got, fullOffer()) {
		t.Errorf("got %+v, want %+v", got, fullOffer())
	}
	want := &sender.Request{
		ID: "m-1", Class: "charge", Tenant: "tenant", Key: "key", Destination: 7, Deadline: 123456789,
		Body: []byte("body \x00\xff<&>"), Front: "platform", Correlation: "note\nof the front",
	}
	if !reflect.DeepEqual(req, want) {
		t.Errorf("got %+v, want %+v", req, want)
	}
}

// TestGoldenNumbers checks the numbers of the protocol: its version, the format of a saved state, the size limit of a
// message, and the verdicts of an answer.
func TestGoldenNumbers(t *testing.T) {
	for _, testCase := range []struct {
		name      string
		got, want int
	}{
		{"version", Version, 2},
		{"form of a saved state", scheduler.StateFormat, 1},
		{"longest message", maxMessageBytes, 16 << 20},
		{"taken", int(sender.Accepted), 0},
		{"busy", int(sender.Rejected), 1},
		{"failed", int(sender.Failed), 2},
	} {
		if testCase.got != testCase.want {
			t.Errorf("%s: %d, want %d", testCase.name, testCase.got, testCase.want)
		}
	}
}

// TestGoldenTolerance checks what a reader accepts from another build: unknown names are ignored; messages without
// their required contents and values of a wrong type are errors.
func TestGoldenTolerance(t *testing.T) {
	for _, testCase := range []struct {
		line string
		ok   bool
	}{
		{`{"Kind":"prepared","Report":null,"Later":{"A":[1]}}`, true},
		{`{"Kind":"unheard of"}`, true},
		{`{"Kind":"offer","N":1,"Offer":{"ID":"a","Later":1}}`, true},
		{`{}`, false},
		{`{"Kind":"state"}`, false},
		{`{"Kind":"offer","N":1}`, false},
		{`{"Kind":"answer","N":-1}`, false},
		{`{"Kind":"hello","Version":"2"}`, false},
		{`nonsense`, false},
	} {
		_, err := NewReader(strings.NewReader(testCase.line + "\n")).Next()
		if (err == nil) != testCase.ok {
			t.Errorf("%s: %v", testCase.line, err)
		}
	}
}
