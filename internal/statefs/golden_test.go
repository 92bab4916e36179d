package statefs

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Replace must write a temporary file named after the target and rename it; only the owner may access
// the result. The temporary name must not change: other versions leave such files behind and remove
// them.
func TestGoldenReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	var calls []string
	defer SetHook(func(call Call, name string) *Fault {
		calls = append(calls, fmt.Sprintf("%s %s", call, name))
		return nil
	})()
	if err := Replace(path, []byte("bytes")); err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(calls); got != "[open file.new write file.new rename file]" {
		t.Error(got)
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode() != 0o600 {
		t.Errorf("%v %v", info, err)
	}
	raw, err := Read(path, 5)
	if err != nil || string(raw) != "bytes" {
		t.Errorf("%q %v", raw, err)
	}
	if entries, err := os.ReadDir(filepath.Dir(path)); err != nil || len(entries) != 1 {
		t.Errorf("%v %v", entries, err)
	}
}

// The values of the calls must be those that fault plans use.
func TestGoldenCalls(t *testing.T) {
	got := fmt.Sprint([]Call{CallOpen, CallRead, CallWrite, CallTruncate, CallRename, CallRemove})
	if got != "[open read write truncate rename remove]" {
		t.Error(got)
	}
}
