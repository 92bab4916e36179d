package simulator

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"brackendale/scheduler"
)

// The golden files record what Parse returns for every message and field, its errors, and what Append writes. After an
// intended change, regenerate them:
//
//	go test ./internal/simulator -run TestGolden -update-golden
var updateGolden = flag.Bool("update-golden", false, "record the golden files anew")

const goldenSetup = `{"az":"z","zones":["z","y"],"replicasOfMe":2,"rank":3,"tickUs":4,"discovery":"pushed",` +
	`"weights":"rough","machineTypes":["k","l"],"overShareWorth":0.5,` +
	`"lanes":[{"name":"c","aimUs":5,"aimStretch":1.5,"hardLimitUs":6,"effect":"by_key","group":"zone","windowUs":7,` +
	`"keepOrder":true,"lateValue":0.25,"stream":true,"worth":8}],"customers":[{"name":"t","quotaPerS":9}],` +
	`"caps":{"cancel":true,"connectTimeoutUs":10,"keepaliveUs":11,"maxAttempts":12,"maxRetryAfterUs":13,"openCap":14,` +
	`"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":15},` +
	`"charges":{"handshake":16,"crossZone":17,"waste":18},` +
	`"familyInfo":{"carriage":[19,20],"decay":"halves","ownLimits":[true,false],"perCall":[21,22],"workers":23},` +
	`"report":{"fields":["x0","x1"],"how":"piggyback"},` +
	`"rules":{"answerSlackUs":24,"askWithinUs":25,"coldFrom":26,"fallMultiple":27,"fallUs":28,"warmAfterUs":29,` +
	`"stopSendingWithinUs":30,"keyRestUs":31}}`

// goldenLines holds every message name, each with all of its fields.
var goldenLines = []string{
	`{"Batch":{"timeUs":7}}`,
	`{"Eob":{}}`,
	`{"Up":{"who":3,"initSeed":9,"setup":` + goldenSetup + `}}`,
	`{"PowerOff":{"who":3}}`,
	`{"Catalog":{"sheet":4,"elements":[{"endpoint":"e","site":"z","shape":"k","belongsTo":5,"stageState":"live",` +
		`"powerHint":1.5},{"endpoint":"f","belongsTo":6,"stageState":"dead"}]}}`,
	`{"Incoming":{"who":3,"opId":"x","partitionKey":8,"class":"c","workHintUs":9,"terminatesAt":5,"dropDeadUs":11,` +
		`"team":"t"}}`,
	`{"ReportBack":{"who":3,"opId":"x","n":2,"endpoint":"e","reason":"FULL","rttUs":12,"finished":true,"holdMs":13,` +
		`"report":[0.5,null,2]}}`,
	`{"Streaming":{"who":3,"opId":"x","n":2,"endpoint":"e"}}`,
	`{"Left":{"who":3,"opId":"x"}}`,
	`{"Wake":{"who":3,"mark":14}}`,
	`{"DirectoryUpdate":{"who":3,"how":"patch","sheet":4}}`,
	`{"DirectoryUpdate":{"who":3,"how":"broken"}}`,
	`{"CheckResult":{"who":3,"endpoint":"e","reason":"GOOD","rttUs":12,"report":[1]}}`,
	`{"Message":{"who":3}}`,
}

// variant is a line in which one field is changed, and a description of the change.
type variant struct{ change, line string }

// variants derives lines from one line: each field in turn is absent, null or has a value of another type or range.
// Fields of nested objects and of the first entry of a list are included.
func variants(t *testing.T, line string) (list []variant) {
	t.Helper()
	var root any
	if err := json.Unmarshal([]byte(line), &root); err != nil {
		t.Fatal(err)
	}
	var visit func(path string, node any)
	visit = func(path string, node any) {
		if entries, ok := node.([]any); ok && len(entries) > 0 {
			visit(path, entries[0])
		}
		fields, ok := node.(map[string]any)
		if !ok {
			return
		}
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			original := fields[name]
			for _, replacement := range []any{nil, "other", -1, true, []any{}, map[string]any{}, -0.5} {
				fields[name] = replacement
				list = append(list, variant{fmt.Sprintf("%s.%s = %s", path, name, encode(t, replacement)), encode(t, root)})
			}
			delete(fields, name)
			list = append(list, variant{fmt.Sprintf("%s.%s absent", path, name), encode(t, root)})
			fields[name] = original
			visit(path+"."+name, original)
		}
	}
	visit("", root)
	return list
}

func encode(t *testing.T, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Errors of encoding/json contain names of Go types. The names of this module's types are not part of its behavior, so
// they are removed before the comparison.
var (
	goField = regexp.MustCompile(`Go struct field \w*\.`)
	goType  = regexp.MustCompile(` of type (\[\])?(struct|settings\.|simulator\.|scheduler\.).*`)
)

// parseToText returns the result of Parse as text, without Go identifiers.
func parseToText(line string) string {
	parsed, err := Parse([]byte(line))
	if err != nil {
		return "error: " + goType.ReplaceAllString(goField.ReplaceAllString(err.Error(), "field "), "")
	}
	settings := "no settings"
	if !reflect.DeepEqual(parsed.Settings, scheduler.Settings{}) {
		settings = fmt.Sprint(parsed.Settings)
	}
	return fmt.Sprintf("%q %d %d %d %s %d %v %v %t", parsed.Name, parsed.Instance, parsed.TimeUs, parsed.Seed, settings,
		parsed.ListNumber, parsed.Endpoints, parsed.Event, parsed.IsEvent)
}

// hashIfLong returns a text of 160 bytes or more as its hash, and a shorter one as it is.
func hashIfLong(text string) string {
	if len(text) < 160 {
		return text
	}
	return fmt.Sprintf("%.16x", sha256.Sum256([]byte(text)))
}

// checkGolden compares lines with a golden file, or writes them to it if -update-golden is set.
func checkGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	got := strings.Join(lines, "\n") + "\n"
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
	old := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
	t.Errorf("%s: %d lines, want %d", path, len(lines), len(old))
	for i := range min(len(lines), len(old)) {
		if lines[i] != old[i] {
			t.Fatalf("%s:%d: got\n%s\nwant\n%s", path, i+1, lines[i], old[i])
		}
	}
}

// TestGoldenParse compares what Parse returns for complete lines.
func TestGoldenParse(t *testing.T) {
	var lines []string
	for _, line := range goldenLines {
		lines = append(lines, line, "\t"+parseToText(line))
	}
	checkGolden(t, "parse.txt", lines)
}

// TestGoldenParseVariants compares what Parse returns for malformed lines, and for lines in which one field is absent,
// null or of another type.
func TestGoldenParseVariants(t *testing.T) {
	broken := []string{
		`nonsense`, ``, `[]`, `{}`, `{"Eob":{},"Batch":{}}`, `{"Batch":3}`, `{"Batch":null}`,
		`{"Teapot":{"who":1}}`, `{"Eob":{}} {}`, `{"Batch":{"timeUs":1.5}}`, `{"Batch":{"timeUs":1e30}}`,
	}
	var lines []string
	for _, line := range broken {
		lines = append(lines, line, "\t"+parseToText(line))
	}
	for _, line := range goldenLines {
		for _, v := range variants(t, line) {
			lines = append(lines, v.change+": "+hashIfLong(parseToText(v.line)))
		}
	}
	checkGolden(t, "variants.txt", lines)
}

// TestGoldenAppend compares the line of each kind of action, with all fields set and with none.
func TestGoldenAppend(t *testing.T) {
	var lines []string
	for kind := scheduler.StartAttempt; kind <= scheduler.WatchEndpoints+1; kind++ { // and one unknown kind
		full := scheduler.Action{
			Kind: kind, ID: "x\"<", Attempt: 2, Endpoint: "e:1", TimeoutUs: 3, RetryAfterUs: 4, DelayUs: 5, TimerID: 6,
			Text: "said \"no\"\n", On: true,
		}
		for _, a := range []scheduler.Action{full, {Kind: kind}} {
			lines = append(lines, strings.TrimSuffix(string(Append([]byte("before "), 7, a)), "\n"))
		}
	}
	lines = append(lines, strings.TrimSuffix(string(AppendInstanceFailed(nil, 7, "settings: none")), "\n"))
	checkGolden(t, "append.txt", lines)
}
