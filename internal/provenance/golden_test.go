package provenance

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// updateGolden makes the golden tests write their files before they compare them:
//
//	go test ./internal/provenance -run Golden -update-golden
//
// Regenerate the files only for an intended change of what is stored or shown.
var updateGolden = flag.Bool("update-golden", false, "write the files in testdata/golden anew")

// checkGolden compares got with a golden file byte by byte and returns the content of the file.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\ngot\n%s\nwant\n%s", name, got, want)
	}
	return want
}

// A note must be stored under the same JSON names and read back with every field.
func TestGoldenNote(t *testing.T) {
	for name, note := range map[string]Note{
		"note.json":        {Name: "n1", Incarnation: 3, FileID: FileID{Inode: 7, CreatedNs: 1_700_000_000_000_000_001}},
		"note-group.json":  {Name: "n1", Incarnation: 3, FileID: FileID{Inode: 7, CreatedNs: 5}, GroupIncarnation: 1009},
		"note-unborn.json": {Name: "n1", Incarnation: 1, FileID: FileID{Inode: 7}},
	} {
		raw, err := json.Marshal(note)
		if err != nil {
			t.Fatal(err)
		}
		dec := json.NewDecoder(bytes.NewReader(checkGolden(t, name, raw)))
		dec.DisallowUnknownFields()
		var got Note
		if err := dec.Decode(&got); err != nil || got != note {
			t.Errorf("%s: %v: got %+v, want %+v", name, err, got, note)
		}
	}
}

// The dispositions must keep the values that operators and their scripts read.
func TestGoldenDispositions(t *testing.T) {
	var out bytes.Buffer
	for _, disposition := range []Disposition{
		DispositionAcknowledged, DispositionNotify, DispositionNotifyAgain,
		DispositionContinue, DispositionAmbiguous, DispositionExpired,
	} {
		fmt.Fprintln(&out, disposition)
	}
	checkGolden(t, "fates.txt", out.Bytes())
}
