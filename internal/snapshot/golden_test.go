package snapshot

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

// updateGolden makes the golden tests write their files before they compare them:
//
//	go test ./internal/snapshot -run Golden -update-golden
//
// The files fix the format on disk. Regenerate them only for an intended change of the format, with
// a new magic line.
var updateGolden = flag.Bool("update-golden", false, "write the files in testdata/golden anew")

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// checkGolden compares raw with a golden file byte by byte, and its hex dump with the file beside it.
func checkGolden(t *testing.T, name string, raw []byte) {
	t.Helper()
	for file, got := range map[string][]byte{name: raw, name + ".hex": []byte(hex.Dump(raw))} {
		if *updateGolden {
			if err := os.WriteFile(goldenPath(file), got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if want := readGolden(t, file); !bytes.Equal(got, want) {
			t.Errorf("%s differs:\ngot\n%s\nwant\n%s", file, got, want)
		}
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// fullSnapshot returns a snapshot with every field set, including those of nested types.
func fullSnapshot() Snapshot {
	full := earlierSnapshot()
	full.LiveEndpoints = []byte{1, 2, 3, 4, 5, 6, 7, 8}
	full.Scheduler.OtherRetryAfterUntil = 123_456_789
	return full
}

// earlierSnapshot returns a snapshot with every field set that releases without LiveEndpoints and
// OtherRetryAfterUntil write.
func earlierSnapshot() Snapshot {
	route := scheduler.RouteState{
		Floats: []float64{2.5, -0.125}, Integers: []int64{900_000, -1}, Counts: []int{1, 2},
		Flags: []bool{true, false}, AdvertisedLimit: [3]float64{0.25, 0.5, 0.75}, FirstCallAt: 17,
		SlowStart: &scheduler.SlowStartState{
			Failed: true, Suspected: true, Capacity: 1.25, SustainedRate: 0.75, SustainedAt: 800_000,
		},
	}
	endpoint := scheduler.EndpointState{
		Endpoint: scheduler.Endpoint{
			Addr: "a:1", Zone: "z1", MachineType: "k", Destination: 7, State: "quiescing",
			CapacityHint: 0.5, SlowStart: true,
		},
		Floats: []float64{1.5}, Integers: []int64{11}, Counts: []int{3}, Flags: []bool{true},
		Failures: [][3]int64{{1, 2, 3}, {4, 5, 6}}, OwnRoute: &route, Superseded: true,
	}
	state := scheduler.State{
		Format: 1, Floats: []float64{0.1}, Integers: []int64{5, 6}, ConnectFailureShare: map[string]float64{"b": 2, "a": 1},
		RetrySpread: map[string]float64{"k": 0.5}, Tenants: map[string][2]float64{"t": {3, 4}},
		Destinations: []scheduler.DestinationState{{
			Destination: 7, Floats: []float64{2.5}, Integers: []int64{900_000}, Route: route,
			Endpoints: []scheduler.EndpointState{endpoint},
		}},
		Messages: []scheduler.MessageState{{
			ID: "m", Class: "charge", Destination: 7, PriorityWeight: 2.25, Integers: []int64{8}, Zone: "z1",
			Attempts: 2, Retries: 3, Ended: true,
		}},
		Calls: []scheduler.CallState{{
			Endpoint: "a:1", Integers: []int64{9}, Flags: []bool{true},
			Messages: []string{"m"}, Size: 2, Superseded: true,
		}},
	}
	return Snapshot{
		Name: "n1", TakenAt: clock.Reading{Wall: 1_700_000_000_000_000, SinceBoot: 50_000_000, BootID: "boot-1"},
		Scheduler: state, Draining: []string{"target-1", "target-2"},
	}
}

// bareSnapshot returns a snapshot in which every optional field is empty.
func bareSnapshot() Snapshot {
	return Snapshot{Name: "n1", Scheduler: scheduler.State{
		Format:       1,
		Destinations: []scheduler.DestinationState{{Endpoints: []scheduler.EndpointState{{}}}},
	}}
}

// goldenSnapshots returns the snapshots in the golden files, by file name.
func goldenSnapshots() map[string]Snapshot {
	return map[string]Snapshot{
		"full.memory": earlierSnapshot(), "full-live.memory": fullSnapshot(), "bare.memory": bareSnapshot(),
	}
}

// A snapshot must be encoded to the bytes of the golden file, decoded from them with every field
// unchanged, and encoded to the same bytes again.
func TestGoldenSnapshot(t *testing.T) {
	for name, want := range goldenSnapshots() {
		raw, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		checkGolden(t, name, raw)
		got, err := Decode(readGolden(t, name))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\ngot  %+v\nwant %+v", name, err, got, want)
		}
		again, err := Encode(got)
		if err != nil || !bytes.Equal(again, raw) {
			t.Errorf("%s: second encoding: %v\n%s", name, err, again)
		}
	}
}

// Every field of the full snapshot must be set, so that none is missing from the golden file.
func TestGoldenSnapshotIsFull(t *testing.T) {
	checkSet(t, "Image", reflect.ValueOf(fullSnapshot()))
}

func checkSet(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() && value.Kind() != reflect.Bool {
		t.Errorf("%s is not set", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		checkSet(t, path, value.Elem())
	case reflect.Struct:
		for i := range value.NumField() {
			field := value.Field(i)
			if field.IsZero() {
				t.Errorf("%s.%s is not set", path, value.Type().Field(i).Name)
				continue
			}
			checkSet(t, path+"."+value.Type().Field(i).Name, field)
		}
	case reflect.Slice, reflect.Array:
		if value.Len() > 0 && value.Index(0).Kind() == reflect.Struct {
			checkSet(t, path+"[0]", value.Index(0))
		}
	}
}

// The stored JSON must have no field that Snapshot lacks. This detects a renamed field without a tag
// that keeps its stored name.
func TestGoldenStrict(t *testing.T) {
	for name, want := range goldenSnapshots() {
		dec := json.NewDecoder(bytes.NewReader(readGolden(t, name)[len("brackendale memory 2\n")+8:]))
		dec.DisallowUnknownFields()
		var got Snapshot
		if err := dec.Decode(&got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v\ngot  %+v\nwant %+v", name, err, got, want)
		}
	}
}

// The files must be written and read under the name that earlier versions use.
func TestGoldenFile(t *testing.T) {
	for name, want := range map[string]Snapshot{"full.memory": earlierSnapshot(), "full-live.memory": fullSnapshot()} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "memory"), readGolden(t, name), 0o600); err != nil {
			t.Fatal(err)
		}
		got, found, err := Read(dir, "n1")
		if err != nil || !found || !reflect.DeepEqual(got, want) {
			t.Fatalf("%s: %v %v\ngot  %+v", name, found, err, got)
		}
		other := t.TempDir()
		if err := Write(other, want); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(filepath.Join(other, "memory"))
		if err != nil || !bytes.Equal(raw, readGolden(t, name)) {
			t.Errorf("%s: %v\n%s", name, err, raw)
		}
	}
}
