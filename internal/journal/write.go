package journal

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/statefs"
)

// clockRecordInterval is the minimum time between two clock records.
const clockRecordInterval = time.Second

// openBatch returns the batch record of the current step, to which the caller appends a record; it
// starts one if there is none. A step's records form one record of the file, so that nothing of the
// step is read back if its write fails or is incomplete.
func (j *Journal) openBatch() []byte {
	if len(j.buffer) > 0 {
		return j.buffer
	}
	out, _ := beginRecord(nil)
	out = append(out, byte(recordBatch))
	if now := j.now(); now.Sub(j.clockRecordedAt) >= clockRecordInterval {
		j.clockRecordedAt = now
		out = clockChange(now, "").appendTo(out)
	}
	return out
}

// Flush writes the records of the current step in one write. After an error none of them counts as
// written; the next call writes them together with those added since. The error is ErrFull if the
// disk budget is used up.
func (j *Journal) Flush() error {
	if len(j.buffer) == 0 && !j.needsRewrite {
		return nil
	}
	if j.needsRewrite || j.size+int64(len(j.buffer)) > j.maxSize {
		return j.compact()
	}
	if err := j.truncateTail(); err != nil {
		return err
	}
	n, err := j.file.WriteAt(finishRecord(j.buffer, 0), j.size)
	if err != nil {
		j.torn = true
		_ = j.truncateTail() // if it fails, the next Flush tries again before it writes
		return fmt.Errorf("journal: writing: %w", err)
	}
	j.size += int64(n)
	j.buffer = j.buffer[:0]
	return nil
}

// HasTornTail reports whether bytes of a failed write may still follow the valid records in the file.
// They may form a complete record: until they are cut off, the next process may read it as written.
func (j *Journal) HasTornTail() bool { return j.torn }

// truncateTail cuts off what a failed write has left behind. If a shorter record were written over
// it, the rest might still be readable as a record.
func (j *Journal) truncateTail() error {
	if !j.torn {
		return nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return fmt.Errorf("journal: cutting off a write that failed: %w", err)
	}
	j.torn = false
	return nil
}

// compact writes the entries to a new file and replaces the old one with it. The records of the
// current step need no write of their own: their changes are already in the entries.
func (j *Journal) compact() error {
	out := j.encodeAll()
	if int64(len(out)) > j.maxSize {
		return ErrFull
	}
	name := statefs.TempName(j.filePath())
	file, err := j.createTemp(name)
	defer j.openSpare()
	if err != nil {
		return fmt.Errorf("journal: creating the file of a compaction: %w", err)
	}
	if _, err = file.WriteAt(out, 0); err == nil {
		err = file.Rename(j.filePath())
	}
	if err != nil {
		_ = file.Close() // the old file remains in use
		return fmt.Errorf("journal: compaction: %w", errors.Join(err, statefs.Remove(name)))
	}
	_ = j.file.Close() // the rename has removed its name
	j.file, j.size, j.torn = file, int64(len(out)), false
	j.buffer, j.needsRewrite = j.buffer[:0], false
	return nil
}

// encodeAll returns the content of a new file.
func (j *Journal) encodeAll() []byte {
	j.clockRecordedAt = j.now()
	out := clockChange(j.clockRecordedAt, clock.BootID()).appendTo([]byte(magic))
	if j.incarnation > 0 {
		out = incarnationChange(j.incarnation).appendTo(out)
	}
	for _, endpoint := range slices.Sorted(maps.Keys(j.excluded)) {
		out = exclusionChange(endpoint, true).appendTo(out)
	}
	for _, entry := range j.Entries() {
		out = entry.appendTo(out)
	}
	return out
}

// createTemp creates the temporary file of a compaction. If all descriptors are in use, by idle
// clients for example, it closes the spare one to have one.
func (j *Journal) createTemp(name string) (*statefs.File, error) {
	const flags = os.O_RDWR | os.O_CREATE | os.O_TRUNC
	file, err := statefs.Open(name, flags)
	if errors.Is(err, syscall.EMFILE) && j.spareDescriptor != nil {
		j.closeSpare()
		file, err = statefs.Open(name, flags)
	}
	return file, err
}

func (j *Journal) openSpare() {
	if j.spareDescriptor == nil {
		j.spareDescriptor, _ = os.Open(os.DevNull) // without it, a compaction fails until a descriptor is free
	}
}

func (j *Journal) closeSpare() {
	if j.spareDescriptor != nil {
		_ = j.spareDescriptor.Close()
		j.spareDescriptor = nil
	}
}
