package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/provenance"
	"brackendale/internal/statefs"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// updateGolden makes the golden tests write their files before they compare them:
//
//	go test ./sender -run Golden -update-golden
//
// The files pin the stored formats. Regenerate them only for an intended change of a format, and keep
// old folders readable.
var updateGolden = flag.Bool("update-golden", false, "write the files in testdata/golden anew")

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// checkGolden compares got with a golden file, byte by byte, and returns the file's content.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(goldenPath(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\ngot\n%s\nwant\n%s", name, got, want)
	}
	return want
}

// The provenance note keeps its file name and its bytes, and every field is read back.
func TestGoldenNote(t *testing.T) {
	for name, note := range map[string]provenance.Note{
		"life": {
			Name: "n1", Incarnation: 3,
			FileID: provenance.FileID{Inode: 7, CreatedNs: 1_700_000_000_000_000_001},
		},
		"life-unborn": {Name: "n1", Incarnation: 1, FileID: provenance.FileID{Inode: 7}},
	} {
		dir := t.TempDir()
		if err := writeNote(dir, note); err != nil {
			t.Fatal(err)
		}
		raw, err := os.ReadFile(filepath.Join(dir, "life"))
		if err != nil {
			t.Fatal(err)
		}
		golden := checkGolden(t, name, raw)
		other := t.TempDir()
		if err := os.WriteFile(filepath.Join(other, "life"), golden, 0o600); err != nil {
			t.Fatal(err)
		}
		folder := readFolderState(other, 5, 2)
		if want := (provenance.FolderState{
			Note: note, HasNote: true, JournalIncarnation: 5, Messages: 2,
			FileID: folder.FileID,
		}); folder != want {
			t.Errorf("%s: got %+v, want %+v", name, folder, want)
		}
	}
}

// The checkpoint keeps its field names: the successor of a hot restart may be of another version, such as one without
// the live endpoints.
func TestGoldenCheckpoint(t *testing.T) {
	earlier := Checkpoint{
		Scheduler: scheduler.State{Format: 1}, Ended: []string{"over"}, KnownEndpoints: []string{"a"},
		Draining: []string{"b"},
		Routes: []Route{{Endpoint: scheduler.Endpoint{
			Addr: "a", Zone: "z", MachineType: "k", Destination: 1, State: "live", CapacityHint: 0.5,
			SlowStart: true,
		}, Dial: "127.0.0.1:1", Protocol: "p"}},
	}
	live := earlier
	live.LiveEndpoints = []byte{1, 2, 3, 4, 5, 6, 7, 8}
	for name, checkpoint := range map[string]Checkpoint{"checkpoint.json": earlier, "checkpoint-live.json": live} {
		raw, err := json.MarshalIndent(checkpoint, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		dec := json.NewDecoder(bytes.NewReader(checkGolden(t, name, raw)))
		dec.DisallowUnknownFields()
		var got Checkpoint
		if err := dec.Decode(&got); err != nil || !reflect.DeepEqual(got, checkpoint) {
			t.Errorf("%s: %v: got %+v, want %+v", name, err, got, checkpoint)
		}
	}
}

// openRecorder records which files in the state folder are opened.
type openRecorder struct {
	mu    sync.Mutex
	names []string
}

func (r *openRecorder) hook(call statefs.Call, name string) *statefs.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if call == statefs.CallOpen && !slices.Contains(r.names, name) {
		r.names = append(r.names, name)
	}
	return nil
}

// describeStep returns the files that are in dir after a step of the test, and those that were opened in
// the step.
func (r *openRecorder) describeStep(t *testing.T, step, dir string) string {
	t.Helper()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, file := range list {
		info, err := file.Info()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, fmt.Sprintf("%s(%v)", file.Name(), info.Mode()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.names)
	out := fmt.Sprintf("%s: files %s; opened %s\n", step, strings.Join(files, " "), strings.Join(r.names, " "))
	r.names = nil
	return out
}

// waitPosted waits until Run has run the functions posted before.
func waitPosted(t *testing.T, core *Sender) {
	t.Helper()
	done := make(chan struct{})
	core.Post(func() { close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Run did not run a posted function within 20 s")
	}
}

// The sender creates the same files in its state folder, each in the same step.
func TestGoldenFiles(t *testing.T) {
	var recorder openRecorder
	defer statefs.SetHook(recorder.hook)()
	var out strings.Builder
	for _, test := range []struct {
		step    string
		options Options
	}{
		{"trusted, no memory", Options{}},
		{"judged, no memory", Options{FolderTrust: FolderVerified}},
		{"trusted, memory", Options{KeepSnapshot: true}},
		{"judged, memory", Options{FolderTrust: FolderVerified, KeepSnapshot: true}},
	} {
		dir := t.TempDir()
		test.options.Name, test.options.Settings, test.options.StateDir = "n1", testSettings(), dir
		test.options.DiskBytes, test.options.Log = 1<<20, zerolog.Nop()
		core, err := New(test.options)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(recorder.describeStep(t, test.step+", New", dir))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- core.Run(ctx) }()
		for range 3 { // the third posted function runs after a complete step
			waitPosted(t, core)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		out.WriteString(recorder.describeStep(t, test.step+", Run to its end", dir))
	}
	checkGolden(t, "files.txt", []byte(out.String()))
}
