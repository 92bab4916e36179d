package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
)

// Verify must find no damage in a journal that is being written and compacted, nor in one that ends
// with an incomplete record. It must notice a flipped bit wherever it is.
func TestVerify(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	done := make(chan error, 1)
	go func() {
		for i := range 3000 {
			id := fmt.Sprint(i)
			j.Accept(&Entry{ID: id, Body: make([]byte, 700)})
			if i > 20 {
				j.Remove(fmt.Sprint(i - 20))
			}
			if err := j.Flush(); err != nil {
				done <- err
				return
			}
		}
		done <- j.Close()
	}()
	for writing := true; writing; {
		if _, err := Verify(dir, budget); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-done:
			if writing = false; err != nil {
				t.Fatal(err)
			}
		default:
		}
	}
	path := filepath.Join(dir, fileName)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	records, err := Verify(dir, budget)
	if err != nil || records < 20 {
		t.Fatal(records, err)
	}
	for offset := 0; offset < len(raw); offset += len(raw)/40 + 1 {
		damaged := append([]byte(nil), raw...)
		damaged[offset] ^= 4
		if err := os.WriteFile(path, damaged, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := Verify(dir, budget); !errors.Is(err, ErrDamaged) && got == records {
			t.Fatalf("flipped bit in byte %d: %v", offset, err)
		}
	}
	if err := os.WriteFile(path, raw[:len(raw)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := Verify(dir, budget); err != nil || got != records-1 {
		t.Errorf("incomplete last record: %d of %d records, %v", got, records, err)
	}
}

// The recorded incarnation must survive compactions and restarts. ReadEntries must return it, and must
// refuse to read while the journal is open.
func TestIncarnation(t *testing.T) {
	dir := t.TempDir()
	j, err := Open(dir, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	j.SetIncarnation(3)
	j.Accept(&Entry{ID: "kept", Body: []byte("b")})
	for i := range 2000 {
		id := strconv.Itoa(i)
		j.Accept(&Entry{ID: id, Body: make([]byte, 100)})
		j.Remove(id)
		if err := j.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	if _, _, err := ReadEntries(dir, 64<<10); !errors.Is(err, ErrLocked) {
		t.Errorf("ReadEntries while the journal is open: %v", err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	list, incarnation, err := ReadEntries(dir, 64<<10)
	if err != nil || incarnation != 3 || len(list) != 1 || list[0].ID != "kept" {
		t.Fatal(list, incarnation, err)
	}
	if j, err = Open(dir, 64<<10); err != nil || j.Incarnation() != 3 {
		t.Fatal(err)
	}
	_ = j.Close()
}
