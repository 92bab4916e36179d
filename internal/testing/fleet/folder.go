package fleet

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand"
	"os"
	"path/filepath"
)

// Empty removes the contents of a folder, as the loss of a disk would.
func Empty(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	for _, entry := range entries {
		err = errors.Join(err, os.RemoveAll(filepath.Join(dir, entry.Name())))
	}
	return err
}

// Backup replaces the folder target by a copy of the files in dir. Sockets are left out.
func Backup(dir, target string) error {
	if err := os.RemoveAll(target); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		switch {
		case entry.IsDir():
			return os.MkdirAll(filepath.Join(target, relative), 0o700)
		case entry.Type().IsRegular():
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			return os.WriteFile(filepath.Join(target, relative), raw, 0o600)
		}
		return nil
	})
}

// Restore replaces the contents of a folder by a backup.
func Restore(backup, dir string) error {
	return errors.Join(Empty(dir), Backup(backup, dir))
}

// Corrupt truncates a file at a random offset and, one time in two, flips a bit before it, as a crash
// of the machine may leave it. It returns the file's new length.
func Corrupt(path string, rng *rand.Rand) (int64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, fmt.Errorf("fleet: %w", err)
	}
	if len(raw) == 0 {
		return 0, nil
	}
	raw = raw[:rng.Intn(len(raw))]
	if len(raw) > 0 && rng.Intn(2) == 0 {
		raw[rng.Intn(len(raw))] ^= 1 << rng.Intn(8)
	}
	return int64(len(raw)), os.WriteFile(path, raw, 0o600)
}
