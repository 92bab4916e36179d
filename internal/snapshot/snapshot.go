// Package snapshot encodes, writes and reads the file with the learned state that an incarnation
// leaves for the next one. A file that is damaged, too large, of another version or of another sender
// is not used: the sender then starts without learned state, and nothing else is lost.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"brackendale/internal/clock"
	"brackendale/internal/statefs"
	"brackendale/scheduler"
)

// MaxBytes is the size limit of the file. While the file is being replaced, there are two of them.
const MaxBytes = 32 << 10

// The file name and the first line of the file. Stored data.
const (
	fileName = "memory"
	magic    = "brackendale memory 2\n"
)

// A file consists of the magic line, the checksum of the body, the size of the body, and the body.
const (
	checksumOffset = len(magic)
	sizeOffset     = checksumOffset + 4
	headerSize     = sizeOffset + 4
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrUnreadable reports that the sender cannot use a file.
var ErrUnreadable = errors.New("snapshot: not readable")

// Snapshot is the content of the file.
type Snapshot struct {
	Name      string          `json:"Name"` // of the sender
	TakenAt   clock.Reading   `json:"At"`
	Scheduler scheduler.State `json:"Module"`
	Draining  []string        `json:"Gone"` // endpoints that were draining or no longer listed, the latest last

	// LiveEndpoints are fingerprints of the endpoints that were live in the registry's last report; nil:
	// there is no report, or an earlier release wrote the file.
	LiveEndpoints []byte `json:"Live,omitzero"`
}

// Encode returns the content of a file. If it would exceed MaxBytes, the names of draining endpoints are
// left out where the live endpoints tell the same, and then the last destinations.
func Encode(snapshot Snapshot) ([]byte, error) {
	var out bytes.Buffer
	for {
		out.Reset()
		out.WriteString(magic)
		out.Write(make([]byte, headerSize-len(magic)))
		if err := json.NewEncoder(&out).Encode(snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: encoding: %w", err)
		}
		if out.Len() <= MaxBytes {
			break
		}
		if snapshot.LiveEndpoints != nil && len(snapshot.Draining) > 0 {
			snapshot.Draining = nil
			continue
		}
		count := len(snapshot.Scheduler.Destinations)
		if count == 0 {
			return nil, fmt.Errorf("snapshot: %d bytes exceed the limit of %d", out.Len(), MaxBytes)
		}
		snapshot.Scheduler.KeepDestinations(count * MaxBytes / out.Len())
	}
	raw := out.Bytes()
	binary.LittleEndian.PutUint32(raw[checksumOffset:], crc32.Checksum(raw[headerSize:], crcTable))
	binary.LittleEndian.PutUint32(raw[sizeOffset:], uint32(len(raw)-headerSize))
	return raw, nil
}

// Decode decodes the content of a file. The error is ErrUnreadable if it is damaged or of another
// version.
func Decode(raw []byte) (Snapshot, error) {
	if len(raw) < headerSize || string(raw[:len(magic)]) != magic {
		return Snapshot{}, fmt.Errorf("%w: unknown format version", ErrUnreadable)
	}
	body := raw[headerSize:]
	size := binary.LittleEndian.Uint32(raw[sizeOffset:])
	checksum := binary.LittleEndian.Uint32(raw[checksumOffset:])
	if size != uint32(len(body)) || checksum != crc32.Checksum(body, crcTable) {
		return Snapshot{}, fmt.Errorf("%w: torn file: wrong size or checksum", ErrUnreadable)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return snapshot, nil
}

// Elapsed returns the time since a snapshot was taken, and the shift to add to the times in it to
// convert them to the current steady clock, both in microseconds. Within one boot of the machine the
// shift is 0. Between two boots only the wall clock measures the elapsed time; if it was set back,
// that counts as no time.
func Elapsed(takenAt, now clock.Reading) (elapsed, shift int64) {
	if takenAt.BootID != "" && takenAt.BootID == now.BootID && now.SinceBoot >= takenAt.SinceBoot {
		return int64(now.SinceBoot - takenAt.SinceBoot), 0
	}
	elapsed = max(0, int64(now.Wall-takenAt.Wall))
	return elapsed, int64(now.SinceBoot-takenAt.SinceBoot) - elapsed
}

// Write replaces the file in dir by one with this snapshot.
func Write(dir string, snapshot Snapshot) error {
	raw, err := Encode(snapshot)
	if err != nil {
		return err
	}
	if err := statefs.Replace(filepath.Join(dir, fileName), raw); err != nil {
		return fmt.Errorf("snapshot: writing: %w", err)
	}
	return nil
}

// Read reads the file in dir, written by the sender of that name. found is false if there is no file.
// The error is ErrUnreadable if the file is damaged or of another version or sender, or a read error.
func Read(dir, name string) (snapshot Snapshot, found bool, err error) {
	path := filepath.Join(dir, fileName)
	_ = statefs.Remove(statefs.TempName(path)) // left by a process that was killed during Write
	raw, err := statefs.Read(path, MaxBytes)
	if errors.Is(err, os.ErrNotExist) {
		return Snapshot{}, false, nil
	}
	if err != nil {
		return Snapshot{}, true, fmt.Errorf("snapshot: reading: %w", err)
	}
	if snapshot, err = Decode(raw); err != nil {
		return Snapshot{}, true, err
	}
	if snapshot.Name != name {
		err = fmt.Errorf("%w: the file is of sender %.40q, not %q", ErrUnreadable, snapshot.Name, name)
		return Snapshot{}, true, err
	}
	return snapshot, true, nil
}
