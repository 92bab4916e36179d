// Package journal is the sender's append-only journal in the state folder. Accepted messages, their
// attempts and their final answers are appended as checksummed records and read back after a
// restart. What one step (one pass of the sender's event loop) records is written by one Flush, in
// one write. Nothing is synced to the disk: a completed write survives the end of the process, but
// not a crash of the machine.
package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"brackendale/internal/clock"
	"brackendale/internal/statefs"
)

// The names of the files in the state folder. They are stored data.
const (
	fileName = "spool"
	lockName = "lock"
)

// Sizes in bytes.
const (
	attemptOverhead = 160                     // of the records of one attempt
	messageOverhead = 2*attemptOverhead + 128 // what an entry may grow by; a compaction merges its records into one
	headReserve     = 512                     // reserved for the records at the head of the file
	minReadLimit    = 64 << 20                // at least so much is read: the file may be of a larger budget
)

// MaxTransactionBytes limits the total RecordSize of the messages of one transaction.
const MaxTransactionBytes = 1 << 19

// MaxExcludedEndpoints limits the number of endpoints that are excluded at the same time.
const MaxExcludedEndpoints = 1024

// ErrLocked reports that another process has the journal open.
var ErrLocked = errors.New("journal: another process holds the journal")

// ErrFull reports that the disk budget is used up.
var ErrFull = errors.New("journal: no room in the disk budget")

// Journal is an open journal. It is not safe for concurrent use.
type Journal struct {
	dir     string
	maxSize int64 // of the file: half the budget, so that a compaction can write a second file beside it
	now     func() clock.Instant
	opened  bool // Open has replayed the file; records are now written

	// The files.
	lock            *statefs.File // locked while the journal is open; the kernel releases the lock when the process ends
	file            *statefs.File
	spareDescriptor *os.File // closed when a compaction finds no free descriptor; nil: none could be opened

	// The state of the file.
	size            int64         // of its valid records; the next write goes here
	torn            bool          // a failed write may have left bytes beyond size
	buffer          []byte        // the batch of the current step, which the next Flush writes; empty: none
	needsRewrite    bool          // the next Flush replaces the file: entries were changed without a record
	clockRecordedAt clock.Instant // the time in the last clock record

	// The result of applying all records.
	entries     map[string]*Entry // by message ID
	nextOrder   uint64
	liveBytes   int64           // size of a file that holds only the current entries and exclusions
	excluded    map[string]bool // the excluded endpoints
	incarnation uint64          // the last one recorded; 0: none

	// What was found when the journal was opened.
	isNew         bool          // there was no journal
	lostBytes     int64         // beyond the valid records; they were cut off
	removed       []*Entry      // entries with a removal record in the file, without their bodies
	latestTime    clock.Instant // the latest time in the file, by the clock that it was written with
	bootID        string        // the boot of the machine in which the file was written
	usesWallClock bool          // the file's times are of the wall clock
	timesRebased  bool          // the file's times were converted to the steady clock of this boot
}

// Open reads the journal in dir, or creates one. budget is the size limit of dir in bytes. An
// incomplete record at the end of the file is cut off: the sender acts on a record only after its
// write has succeeded. The error is ErrLocked if another process has the journal open.
func Open(dir string, budget int64) (_ *Journal, err error) {
	j := &Journal{
		dir:      dir,
		maxSize:  budget/2 - 2*headReserve,
		now:      clock.Steady,
		entries:  map[string]*Entry{},
		excluded: map[string]bool{},
	}
	if j.maxSize < 4*messageOverhead {
		return nil, fmt.Errorf("journal: a disk budget of %d bytes is too small", budget)
	}
	if j.lock, err = acquireLock(filepath.Join(dir, lockName)); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = j.lock.Close()
		}
	}()
	if err = statefs.Remove(statefs.TempName(j.filePath())); err != nil {
		return nil, fmt.Errorf("journal: removing the temporary file of a compaction: %w", err)
	}
	if j.file, err = statefs.Open(j.filePath(), os.O_RDWR|os.O_CREATE); err != nil {
		return nil, fmt.Errorf("journal: opening: %w", err)
	}
	defer func() {
		if err != nil {
			_ = j.file.Close()
		}
	}()
	if err = j.load(budget); err != nil {
		return nil, err
	}
	j.opened = true
	j.openSpare()
	return j, nil
}

// load reads the file. A file that is new or whose times are of another clock is replaced by the
// first Flush.
func (j *Journal) load(budget int64) error {
	raw, err := j.file.ReadAll(max(budget, minReadLimit))
	if err != nil {
		return fmt.Errorf("journal: reading: %w", err)
	}
	j.size = j.replay(raw)
	j.lostBytes = int64(len(raw)) - j.size
	j.torn = j.lostBytes > 0
	if now := clock.Now(); j.size == 0 {
		j.needsRewrite, j.isNew = true, len(raw) == 0
	} else if !j.sameClock(now) {
		j.rebaseTimes(now)
	}
	if !j.needsRewrite {
		if err := j.truncateTail(); err != nil {
			return err
		}
	}
	for _, entry := range j.entries {
		entry.Notified = entry.FinalAnswer != ""
	}
	return nil
}

// Close closes the file and then releases the lock.
func (j *Journal) Close() error {
	j.closeSpare()
	return errors.Join(j.file.Close(), j.lock.Close())
}

func (j *Journal) filePath() string { return filepath.Join(j.dir, fileName) }

// SetClock makes the journal read the time from now, which must return times of the machine's
// steady clock.
func (j *Journal) SetClock(now func() clock.Instant) { j.now = now }

// LostBytes returns the number of bytes beyond the valid records that were cut off when the journal
// was opened. They are the incomplete record of a process that was killed during a write or, if
// there are more bytes than that, a sign of a damaged file.
func (j *Journal) LostBytes() int64 { return j.lostBytes }

// LastWriteAt returns the latest time at which the previous process is known to have written the
// journal. ok is false if that time is unknown or the machine has rebooted since.
func (j *Journal) LastWriteAt() (at clock.Instant, ok bool) {
	return j.latestTime, j.latestTime > 0 && !j.timesRebased
}

// IsNew reports whether Open found no journal.
func (j *Journal) IsNew() bool { return j.isNew }

// RemovedEntries returns the messages that were in the file together with the record of their removal
// when it was opened, without their bodies. A message that was accepted again after its removal, as by Redirect,
// is not among them. A second call returns none.
func (j *Journal) RemovedEntries() []*Entry {
	removed := slices.DeleteFunc(j.removed, func(entry *Entry) bool { return j.entries[entry.ID] != nil })
	j.removed = nil
	return removed
}

// Entries returns the entries in the order in which they were accepted.
func (j *Journal) Entries() []*Entry {
	var list []*Entry
	for _, entry := range j.entries {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return int(int64(a.order - b.order)) })
	return list
}

// Get returns the entry of a message, or nil.
func (j *Journal) Get(id string) *Entry { return j.entries[id] }

// Unacknowledged returns the number of final answers that have not been acknowledged.
func (j *Journal) Unacknowledged() (n int) {
	for _, entry := range j.entries {
		if entry.FinalAnswer != "" && !entry.Acknowledged {
			n++
		}
	}
	return n
}

// Incarnation returns the last incarnation that the journal records; 0: none.
func (j *Journal) Incarnation() uint64 { return j.incarnation }

// Excluded reports whether an endpoint is excluded from new attempts.
func (j *Journal) Excluded(endpoint string) bool { return j.excluded[endpoint] }

// HasSpace reports whether one more message whose RecordSize is bytes can be accepted, with space left
// for its attempts, its final answer and a compaction. reserved is the RecordSize of the messages
// that the caller has already admitted and will still pass to Accept.
func (j *Journal) HasSpace(bytes, reserved int) bool {
	return j.liveBytes+int64(bytes+reserved)+2*messageOverhead+headReserve <= j.messageCapacity()
}

// FillLevel returns the used share of the space for messages. At 1, HasSpace refuses any further
// message.
func (j *Journal) FillLevel() float64 {
	return float64(j.liveBytes+2*messageOverhead+headReserve) / float64(j.messageCapacity())
}

// messageCapacity returns the part of the file that new messages may fill, in bytes. Their later
// records need the remainder.
func (j *Journal) messageCapacity() int64 { return j.maxSize * 3 / 4 }
