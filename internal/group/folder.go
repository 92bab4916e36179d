package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// folder is the stored state of a member beside its log: the file member.json in the group's folder.
// The folder is locked for this process.
type folder struct {
	dir  string
	lock *os.File

	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`  // of the process that opened the folder last
	Voter       bool   `json:"voter"` // the member has, or is to get, a log and a vote

	// FirstStartVoters is set while the first start is in progress: all these voters had empty
	// folders, and the first entry of the log is not written yet.
	FirstStartVoters []string `json:"ready,omitempty"`

	Forced  bool `json:"forced,omitempty"` // the log is started without the consent of the other voters (group init)
	Started bool `json:"born,omitempty"`   // the first start is complete, or the member was readmitted
}

// openFolder locks the folder for this process, reads it, and begins a new incarnation.
func openFolder(dir, name string, voters map[string]string) (*folder, error) {
	stored, err := readFolder(dir, name, voters)
	if err != nil {
		return nil, err
	}
	stored.Incarnation++
	if err := stored.save(); err != nil {
		stored.close()
		return nil, err
	}
	return stored, nil
}

// readFolder locks the folder for this process and reads it.
func readFolder(dir, name string, voters map[string]string) (*folder, error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, err
	}
	stored := &folder{dir: dir, lock: lock}
	if err := stored.load(name, voters); err != nil {
		stored.close()
		return nil, err
	}
	if !stored.Started { // until the first start is complete, the settings decide whether this member votes
		stored.Voter = voters[name] != ""
	}
	return stored, nil
}

// lockFolder creates the folder if it is missing, and locks it for this process.
func lockFolder(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("group: the folder %s is locked by another process", filepath.Base(dir))
	}
	return lock, nil
}

// load reads member.json. A missing or damaged file counts as an empty folder: the incarnation that
// it held can be obtained from the other members.
func (f *folder) load(name string, voters map[string]string) error {
	raw, err := os.ReadFile(f.path())
	switch {
	case errors.Is(err, os.ErrNotExist):
		f.Name, f.Voter = name, voters[name] != ""
	case err != nil:
		return fmt.Errorf("group: %w", err)
	case json.Unmarshal(raw, f) != nil:
		*f = folder{dir: f.dir, lock: f.lock, Name: name, Voter: voters[name] != ""}
	case f.Name != name:
		return fmt.Errorf("group: the folder belongs to member %q, but this member is %q", f.Name, name)
	}
	return nil
}

func (f *folder) path() string { return filepath.Join(f.dir, "member.json") }

// close unlocks the folder.
func (f *folder) close() { _ = f.lock.Close() }

// save writes member.json atomically: after a crash, the folder has either the old file or the new
// one.
func (f *folder) save() error {
	raw, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("group: %w", err)
	}
	if err := replaceFile(f.path(), append(raw, '\n')); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	return nil
}

// replaceFile writes and syncs a new file beside the old one, and then renames it over the old one.
func replaceFile(path string, data []byte) error {
	newPath := path + ".new"
	file, err := os.OpenFile(newPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(newPath, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a directory, so that a rename in it survives a crash.
func syncDir(dir string) error {
	file, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// removeLog removes the log, which is outdated or corrupt.
func (f *folder) removeLog() error {
	if err := os.RemoveAll(raftDir(f.dir)); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	return nil
}

// voterNames returns the names of the voters of the settings, sorted.
func voterNames(voters map[string]string) []string { return slices.Sorted(maps.Keys(voters)) }

// reportIncarnation calls Options.OnIncarnation.
func (g *Group) reportIncarnation(stored *folder) {
	if g.opt.OnIncarnation != nil {
		g.opt.OnIncarnation(stored.Incarnation)
	}
}

// openOwnFolder opens this member's folder, and retries until that succeeds: another process of this
// sender may still have it locked (hot restart).
func (g *Group) openOwnFolder(ctx context.Context) (*folder, error) {
	for {
		stored, err := openFolder(g.opt.Dir, g.opt.Name, g.opt.Voters)
		if err == nil {
			g.reportIncarnation(stored)
			g.mu.Lock()
			g.incarnation, g.folder, g.openedAt = stored.Incarnation, stored, g.clock()
			g.storedQuotaMembers = readQuotaMembers(g.opt.Dir)
			g.quotaMembers = max(g.quotaMembers, g.storedQuotaMembers)
			g.mu.Unlock()
			g.applyEvenQuotas()
			return stored, nil
		}
		g.setInactive(err.Error())
		if !sleep(ctx, retryDelay) {
			return nil, ctx.Err()
		}
	}
}
