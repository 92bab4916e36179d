package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"brackendale/internal/clock"
)

// ReadEntries reads the journal in dir as the next Open would, but changes nothing. It returns the
// entries and the last incarnation that is recorded. It reads at most budget bytes. The error is
// ErrLocked if a process has the journal open.
func ReadEntries(dir string, budget int64) (entries []*Entry, incarnation uint64, err error) {
	lock, err := os.Open(filepath.Join(dir, lockName))
	if err == nil {
		defer lock.Close()
		if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err != nil {
			return nil, 0, errors.Join(ErrLocked, err)
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, 0, fmt.Errorf("journal: opening the lock file: %w", err)
	}
	file, err := os.Open(filepath.Join(dir, fileName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("journal: opening: %w", err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, budget))
	if err != nil {
		return nil, 0, fmt.Errorf("journal: reading: %w", err)
	}
	j := &Journal{entries: map[string]*Entry{}, excluded: map[string]bool{}}
	j.replay(raw)
	if now := clock.Now(); !j.sameClock(now) {
		j.rebaseTimes(now)
	}
	return j.Entries(), j.incarnation, nil
}
