package group

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// updateGolden rewrites the files in testdata/golden instead of comparing with them:
//
//	go test ./internal/group -run Golden -update-golden
//
// The files contain the messages between members and the stored data. Update them only for a
// deliberate change of a format: members of two versions run together while a group is upgraded.
var updateGolden = flag.Bool("update-golden", false, "rewrite the files in testdata/golden")

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// readGolden reads a golden file. A missing file is a failure.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// compareGolden compares got with a golden file, which -update-golden rewrites first.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenPath(name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n got %s\nwant %s", name, got, want)
	}
}

// readStrict decodes one JSON value. It fails the test for fields that the type does not have.
func readStrict(t *testing.T, raw []byte, into any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
}

// requireAllFields fails for each exported field of a struct type that is zero wherever the type
// occurs in v.
func requireAllFields(t *testing.T, v any) {
	t.Helper()
	set := map[string]bool{}
	collectFields(reflect.ValueOf(v), set)
	for _, name := range slices.Sorted(maps.Keys(set)) {
		if !set[name] {
			t.Errorf("no golden value sets %s", name)
		}
	}
}

// collectFields records for each exported field of the struct types in v whether any value sets it.
func collectFields(v reflect.Value, set map[string]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			collectFields(v.Elem(), set)
		}
	case reflect.Slice:
		for i := range v.Len() {
			collectFields(v.Index(i), set)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			collectFields(v.MapIndex(k), set)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				key := v.Type().String() + "." + f.Name
				set[key] = set[key] || !v.Field(i).IsZero()
				collectFields(v.Field(i), set)
			}
		}
	}
}

// wireBytes returns the bytes of a value as it is sent over a connection between members.
func wireBytes(t *testing.T, v any) []byte {
	t.Helper()
	reader, writer := net.Pipe()
	defer reader.Close()
	go func() {
		if err := writeLine(writer, v); err != nil {
			t.Error(err)
		}
		_ = writer.Close()
	}()
	raw, err := io.ReadAll(reader)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// testMessage compares a message with its golden bytes, decodes these, and sends the decoded message
// again.
func testMessage[T any](t *testing.T, name string, want T) {
	t.Run(name, func(t *testing.T) {
		requireAllFields(t, want)
		raw := wireBytes(t, want)
		compareGolden(t, name, raw)
		var got T
		readStrict(t, readGolden(t, name), &got)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("read back: %+v\nwant %+v", got, want)
		}
		if again := wireBytes(t, got); !bytes.Equal(again, raw) {
			t.Errorf("sent again: %s", again)
		}
	})
}
