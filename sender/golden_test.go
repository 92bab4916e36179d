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
// The files pin what is stored. Regenerate them only for an intended change of it, and keep old
// folders readable.
var updateGolden = flag.Bool("update-golden", false, "write the files in testdata/golden anew")

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// checkGolden compares got with a golden file, byte by byte, and returns the file.
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

// The note is written with the same bytes under the same name, and read back with every field.
func TestGoldenNote(t *testing.T) {
	for name, n := range map[string]provenance.Note{
		"life": {
			Name: "n1", Incarnation: 3,
			FileID: provenance.FileID{Inode: 7, CreatedNs: 1_700_000_000_000_000_001},
		},
		"life-unborn": {Name: "n1", Incarnation: 1, FileID: provenance.FileID{Inode: 7}},
	} {
		dir := t.TempDir()
		if err := writeNote(dir, n); err != nil {
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
		f := readEvidence(other, 5, 2)
		if want := (provenance.FolderState{
			Note: n, HasNote: true, JournalIncarnation: 5, Messages: 2,
			FileID: f.FileID,
		}); f != want {
			t.Errorf("%s: got %+v, want %+v", name, f, want)
		}
	}
}

// What one process hands to the next, which may be of another version, has the same names.
func TestGoldenCheckpoint(t *testing.T) {
	c := Checkpoint{
		Scheduler: scheduler.State{Format: 1}, Ended: []string{"over"}, KnownEndpoints: []string{"a"},
		Draining: []string{"b"},
		Routes: []Route{{Endpoint: scheduler.Endpoint{
			Addr: "a", Zone: "z", MachineType: "k", Destination: 1, State: "live", CapacityHint: 0.5,
			SlowStart: true,
		}, Dial: "127.0.0.1:1", Protocol: "p"}},
	}
	raw, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	dec := json.NewDecoder(bytes.NewReader(checkGolden(t, "checkpoint.json", raw)))
	dec.DisallowUnknownFields()
	var got Checkpoint
	if err := dec.Decode(&got); err != nil || !reflect.DeepEqual(got, c) {
		t.Errorf("%v: got %+v, want %+v", err, got, c)
	}
}

// openRecorder records which files in the folder are opened.
type openRecorder struct {
	mu    sync.Mutex
	names []string
}

func (w *openRecorder) hook(c statefs.Call, name string) *statefs.Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c == statefs.CallOpen && !slices.Contains(w.names, name) {
		w.names = append(w.names, name)
	}
	return nil
}

// line describes a step: the files that lie in dir after it, and those that were opened in it.
func (w *openRecorder) line(t *testing.T, step, dir string) string {
	t.Helper()
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, f := range list {
		at, err := f.Info()
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, fmt.Sprintf("%s(%v)", f.Name(), at.Mode()))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.names)
	out := fmt.Sprintf("%s: files %s; opened %s\n", step, strings.Join(files, " "), strings.Join(w.names, " "))
	w.names = nil
	return out
}

// waitPosted waits until Run has run what is posted.
func waitPosted(t *testing.T, s *Sender) {
	t.Helper()
	done := make(chan struct{})
	s.Post(func() { close(done) })
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Run does not run what is posted")
	}
}

// A sender creates the same files in its folder, each in the same step.
func TestGoldenFiles(t *testing.T) {
	var w openRecorder
	defer statefs.SetHook(w.hook)()
	var out strings.Builder
	for _, c := range []struct {
		step string
		opt  Options
	}{
		{"trusted, no memory", Options{}},
		{"judged, no memory", Options{FolderTrust: FolderJudged}},
		{"trusted, memory", Options{KeepSnapshot: true}},
		{"judged, memory", Options{FolderTrust: FolderJudged, KeepSnapshot: true}},
	} {
		dir := t.TempDir()
		c.opt.Name, c.opt.Settings, c.opt.StateDir = "n1", testSettings(), dir
		c.opt.DiskBytes, c.opt.Log = 1<<20, zerolog.Nop()
		s, err := New(c.opt)
		if err != nil {
			t.Fatal(err)
		}
		out.WriteString(w.line(t, c.step+", New", dir))
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		for range 3 { // the third is done in after a whole step
			waitPosted(t, s)
		}
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		out.WriteString(w.line(t, c.step+", Run to its end", dir))
	}
	checkGolden(t, "files.txt", []byte(out.String()))
}
