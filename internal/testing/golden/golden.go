// Package golden compares the output of tests with files that an earlier version of the program produced, so that
// names and bytes that users and other programs depend on do not change unnoticed. Only tests import it.
package golden

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"
)

// update regenerates the files, which nothing else does: go test ./internal/config -run Golden -update-golden
var update = flag.Bool("update-golden", false, "write the package's golden files anew instead of comparing with them")

// Check fails the test unless got equals the file testdata/golden/NAME of the package under test, or if there is no
// such file.
func Check(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		writeGolden(t, path, got)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("no golden file (-update-golden writes it): %v", err)
	}
	if got != string(want) {
		t.Errorf("%s differs from the current output:\n%s", path, difference(string(want), got))
	}
}

func writeGolden(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// difference lists the first lines that differ, with their numbers.
func difference(want, got string) string {
	const maxLines = 20
	var out strings.Builder
	wantLines, gotLines := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i, shown := 0, 0; i < max(len(wantLines), len(gotLines)) && shown < maxLines; i++ {
		wantLine, gotLine := lineAt(wantLines, i), lineAt(gotLines, i)
		if wantLine != gotLine {
			start := differenceStart(wantLine, gotLine)
			fmt.Fprintf(&out, "%d: want %q\n%d:  got %q\n", i+1, wantLine[start:], i+1, gotLine[start:])
			shown++
		}
	}
	return out.String()
}

func lineAt(lines []string, i int) string {
	if i >= len(lines) {
		return "(no such line)"
	}
	return lines[i]
}

// differenceStart returns the offset from which two lines are shown: a little before the first byte that differs.
func differenceStart(a, b string) int {
	const context = 30
	equal := 0
	for equal < min(len(a), len(b)) && a[equal] == b[equal] {
		equal++
	}
	return max(0, equal-context)
}

// Fields lists each key that a decoder for the struct tag (json or toml) accepts for a type and the types in it, one
// per line with the kind of its value. Keys of lists end in [] and keys of maps in {}. A field without a tag has its
// Go name, as in encoding/json.
func Fields(typ reflect.Type, tag string) string {
	var out strings.Builder
	fields(&out, typ, tag, "")
	return out.String()
}

func fields(out *strings.Builder, typ reflect.Type, tag, path string) {
	switch {
	case typ.Kind() == reflect.Pointer:
		fields(out, typ.Elem(), tag, path)
	case typ == reflect.TypeFor[time.Time]():
		fmt.Fprintln(out, path, "time")
	case typ.Kind() == reflect.Slice:
		fields(out, typ.Elem(), tag, path+"[]")
	case typ.Kind() == reflect.Map:
		fields(out, typ.Elem(), tag, path+"{}")
	case typ.Kind() == reflect.Struct:
		for field := range structFields(typ) {
			if name, options := key(field, tag); name != "" {
				fields(out, field.Type, tag, strings.TrimPrefix(path+"."+name+options, "."))
			}
		}
	default:
		fmt.Fprintln(out, path, typ.Kind())
	}
}

func structFields(typ reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range typ.NumField() {
			if !yield(typ.Field(i)) {
				return
			}
		}
	}
}

// key returns the encoded name of a field, and its options; empty: the field is not encoded.
func key(field reflect.StructField, tag string) (name, options string) {
	name, options, _ = strings.Cut(field.Tag.Get(tag), ",")
	if name == "-" || !field.IsExported() {
		return "", ""
	}
	if name == "" {
		name = field.Name
	}
	if options != "" {
		options = "(" + options + ")"
	}
	return name, options
}

// Fill sets every field below a pointer to a value that is not zero and the same in every run: numbers count up from
// 1, strings are s1, s2 and so on, and lists and maps have one entry.
func Fill(pointer any) {
	count := 0
	fill(reflect.ValueOf(pointer).Elem(), &count)
}

func fill(value reflect.Value, count *int) {
	*count++
	switch {
	case value.Type() == reflect.TypeFor[time.Time]():
		value.Set(reflect.ValueOf(time.Date(1970, 1, 1, 0, 0, *count, 0, time.UTC)))
	case value.Kind() == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem(), count)
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i), count)
			}
		}
	case value.Kind() == reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0), count)
	case value.Kind() == reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key, count)
		fill(element, count)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	default:
		fillScalar(value, *count)
	}
}

func fillScalar(value reflect.Value, count int) {
	switch {
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprintf("s%d", count))
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.CanInt():
		value.SetInt(int64(count))
	case value.CanUint():
		value.SetUint(uint64(count))
	case value.CanFloat():
		value.SetFloat(float64(count) + 0.5)
	}
}

// Mask replaces text that differs from run to run. pairs alternates regular expressions and their replacements.
func Mask(text string, pairs ...string) string {
	for i := 0; i+1 < len(pairs); i += 2 {
		text = regexp.MustCompile(pairs[i]).ReplaceAllString(text, pairs[i+1])
	}
	return text
}

// Fingerprint appends a line to out: a scenario's name, its number of steps, and a hash of the results of all steps.
func Fingerprint(out *bytes.Buffer, name string, steps int, step func(i int) string) {
	hash := sha256.New()
	for i := range steps {
		fmt.Fprintln(hash, step(i))
	}
	fmt.Fprintf(out, "%s %d %x\n", name, steps, hash.Sum(nil))
}
