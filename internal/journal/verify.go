package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// A record that does not match its checksum may be half written: the file is read again.
const (
	verifyRetries    = 2
	verifyRetryDelay = 20 * time.Millisecond
)

// ErrDamaged reports that a record of the journal does not match its checksum.
var ErrDamaged = errors.New("journal: the journal is damaged")

// Verify reads the journal in dir, checks all checksums and returns the number of valid records. The
// sender may be writing at the same time: an incomplete record at the end and a file that is being
// replaced by a compaction are not damage. It reads at most budget bytes. The error is ErrDamaged or
// a read error.
func Verify(dir string, budget int64) (records int, err error) {
	for retries := 0; ; retries++ {
		records, err = verifyOnce(dir, budget)
		if !errors.Is(err, ErrDamaged) || retries == verifyRetries {
			return records, err
		}
		time.Sleep(verifyRetryDelay) // lets a write in progress finish
	}
}

func verifyOnce(dir string, budget int64) (records int, err error) {
	file, err := os.Open(filepath.Join(dir, fileName))
	if errors.Is(err, os.ErrNotExist) { // during the rename of a compaction, or nothing was ever written
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("journal: opening: %w", err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, budget))
	if err != nil {
		return 0, fmt.Errorf("journal: reading: %w", err)
	}
	if len(raw) < len(magic) {
		return 0, nil
	}
	if !hasMagic(raw) {
		return 0, fmt.Errorf("%w: unknown first line", ErrDamaged)
	}
	offset := len(magic) + walkRecords(raw[len(magic):], func([]byte) bool { records++; return true })
	if isPartialRecord(raw[offset:], budget) {
		return records, nil
	}
	return records, fmt.Errorf("%w: invalid record at offset %d", ErrDamaged, offset)
}

// isPartialRecord reports whether tail may be the beginning of a record that is still being written.
func isPartialRecord(tail []byte, budget int64) bool {
	if len(tail) < headerSize {
		return true
	}
	size := int64(binary.LittleEndian.Uint32(tail))
	return size <= budget && headerSize+size > int64(len(tail))
}
