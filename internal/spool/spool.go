// Package spool is the sender's journal in the folder that lasts. What was taken on, what was tried and
// what ended is appended as checksummed records, one write a round, and read back after a restart.
// Nothing is synced: a write survives the process, and only the machine's loss loses it.
package spool

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"brackendale/internal/folder"
)

// Entry is one message as the spool knows it.
type Entry struct {
	ID, Class, Tenant, Key string
	Front, Note            string // who handed it in, and what that front wants back with the end
	Dest, Deadline         int64  // Deadline: wall clock, in microseconds
	Body                   []byte
	Attempts               int
	FirstRun               int64  // when the first attempt left that may have run; 0: none
	Zone                   string // of that attempt
	OpenAt                 int64  // when the attempt left that is still open; 0: none
	OpenZone               string
	End                    string // its end, once it has one
	WaitMs                 int64
	Heard                  bool // its client has the end: only the id is remembered
	Told                   bool // its end may have been told: an earlier life had it, or whoever sets this. It is not recorded
	order                  uint64
}

// ErrHeld tells that another process writes the journal.
var ErrHeld = errors.New("spool: another process holds the journal")

// ErrFull tells that the disk budget has no room.
var ErrFull = errors.New("spool: no room in the disk budget")

const (
	fileName   = "spool"
	lockName   = "lock"
	magic      = "brackendale spool 1\n"
	head       = 8 // length and checksum
	perAttempt = 160
	perMsg     = 2*perAttempt + 128 // what an entry may grow by: a compaction folds all of its records into one
	block      = 512
	maxRec     = 1 << 20
)

// The kinds of record.
const (
	recTaken = iota + 1
	recAttempt
	recClosed
	recEnd
	recGone
	recHeard
	recGroup // other records, all of which stand or none
	recOut   // an egress target is taken out by hand, or put back
	recLife  // which life writes from here on
)

// MaxOut bounds the targets that are taken out at once.
const MaxOut = 1024

// MaxGroup bounds what the messages of a group may need together, in bytes.
const MaxGroup = maxRec / 2

var table = crc32.MakeTable(crc32.Castagnoli)

// NoRoom tells that the machine's disk had no room, or this process no descriptor for a compaction: what was to be written may be
// written later.
func NoRoom(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG) ||
		errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Spool is the open journal. It belongs to one goroutine.
type Spool struct {
	dir   string
	lock  *folder.File // held for as long as the journal is written; the kernel drops it with the process
	f     *folder.File
	spare *os.File // a descriptor for a compaction while there is no other; nil: it could not be had
	size  int64    // of the file, as written
	most  int64    // of the file: half the budget, so that a compaction fits beside it
	buf   []byte
	live  map[string]*Entry
	bytes int64 // what the live entries would take
	next  uint64
	open  bool
	out   map[string]bool
	life  uint64   // that was named last; 0: none
	anew  bool     // the next write replaces the file: entries were changed with no record of it
	past  []*Entry // those that were gone when it was opened, without their bodies
}

// Open reads the journal in dir, or starts one. What a torn tail holds was never acted upon: it is cut off. The error is
// ErrHeld where another process has it open.
func Open(dir string, budget int64) (_ *Spool, err error) {
	s := &Spool{dir: dir, most: budget/2 - 2*block, live: map[string]*Entry{}, out: map[string]bool{}}
	if s.most < 4*perMsg {
		return nil, fmt.Errorf("spool: a disk budget of %d bytes is too small", budget)
	}
	if s.lock, err = hold(filepath.Join(dir, lockName)); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = s.lock.Close()
		}
	}()
	if err := folder.Remove(folder.Scratch(s.path())); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	f, err := folder.Open(s.path(), os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	s.f = f
	raw, err := f.ReadAll(budget + maxRec)
	if err != nil {
		return nil, fmt.Errorf("spool: reading: %w", err)
	}
	if s.size = s.replay(raw); s.size == 0 {
		raw, s.buf = nil, append(s.buf, magic...)
	}
	if s.size < int64(len(raw)) || len(raw) == 0 {
		if err := f.Truncate(s.size); err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
	}
	if err := f.SeekTo(s.size); err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	for _, e := range s.live {
		e.Told = e.End != ""
	}
	s.open = true
	s.reserve()
	return s, nil // a new journal's head is written with its first records
}

// Past lists, once, the messages that the file still names and that were over when it was opened.
func (s *Spool) Past() []*Entry {
	past := s.past
	s.past = nil
	return past
}

func (s *Spool) path() string { return filepath.Join(s.dir, fileName) }

// hold takes the lock, or fails at once.
func hold(path string) (*folder.File, error) {
	f, err := folder.Open(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if err := syscall.Flock(f.Descriptor(), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrHeld
		}
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Close gives the file back, and then the lock.
func (s *Spool) Close() error {
	s.release()
	return errors.Join(s.f.Close(), s.lock.Close())
}

func (s *Spool) reserve() {
	if s.spare == nil {
		s.spare, _ = os.Open(os.DevNull) // without one a compaction may have to wait
	}
}

func (s *Spool) release() {
	if s.spare != nil {
		_ = s.spare.Close()
		s.spare = nil
	}
}

// Entries lists what is live, in the order in which it was taken on.
func (s *Spool) Entries() []*Entry {
	var list []*Entry
	for _, e := range s.live {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return int(int64(a.order - b.order)) })
	return list
}

// Get returns a live entry, or nil.
func (s *Spool) Get(id string) *Entry { return s.live[id] }

// Owed counts the ends that have not been heard.
func (s *Spool) Owed() (n int) {
	for _, e := range s.live {
		if e.End != "" && !e.Heard {
			n++
		}
	}
	return n
}

// Room tells whether one more message of that many bytes in all can be taken on, next to those that
// were promised room already, and still be given attempts, an end and a compaction.
func (s *Spool) Room(bytes, promised int) bool {
	return s.bytes+int64(bytes+promised)+2*perMsg+block <= s.most*3/4
}

// Fill is how much of the room for messages is taken: 1 where Room has none for a further one.
func (s *Spool) Fill() float64 { return float64(s.bytes+2*perMsg+block) / float64(s.most*3/4) }

// Need is what an entry takes for good, with what it may still need.
func Need(e *Entry) int {
	if e.Heard {
		return len(e.ID) + len(e.Class) + len(e.Tenant) + len(e.Key) + len(e.Front) + len(e.Note) + perAttempt
	}
	return len(e.Body) + len(e.ID)*2 + len(e.Class) + len(e.Tenant) + len(e.Key) + len(e.Front) + len(e.Note) + perMsg
}

// Take records a message as taken on.
func (s *Spool) Take(e *Entry) {
	s.add(e)
	s.buf = e.append(s.buf)
}

// Attempt records an attempt before its first byte.
func (s *Spool) Attempt(id, zone string, at int64) {
	s.change(recAttempt, id, at, zone)
}

// Closed records that the open attempt is over, and whether it may have run.
func (s *Spool) Closed(id string, mayRun bool) {
	x := int64(0)
	if mayRun {
		x = 1
	}
	s.change(recClosed, id, x, "")
}

// Doubt books that so many attempts of a message may have run, the first of them at that time, in microseconds. It stands
// once Flush has returned, all doubts of a round together or none.
func (s *Spool) Doubt(id string, attempts int, firstRun int64) {
	if e := s.live[id]; e != nil {
		e.Attempts, e.FirstRun, e.OpenAt, e.OpenZone = attempts, firstRun, 0, ""
		s.anew = true
	}
}

// End records how a message ended. It stays until it is Gone.
func (s *Spool) End(id, end string, waitMs int64) { s.change(recEnd, id, waitMs, end) }

// Heard records that the client has the end, for a front that must know the id again.
func (s *Spool) Heard(id string) { s.change(recHeard, id, 0, "") }

// Gone forgets a message: nothing more is owed.
func (s *Spool) Gone(id string) { s.change(recGone, id, 0, "") }

// Out tells whether a target is taken out by hand.
func (s *Spool) Out(target string) bool { return s.out[target] }

// PutOut records that a target is taken out, or put back. It stands once Flush has returned. The error is ErrFull.
func (s *Spool) PutOut(target string, out bool) error {
	if s.out[target] == out {
		return nil
	}
	if out && (len(s.out) >= MaxOut || !s.Room(outNeed(target), 0)) {
		return ErrFull
	}
	s.buf = appendOut(s.buf, target, out)
	s.putOut(target, out)
	return nil
}

func (s *Spool) putOut(target string, out bool) {
	switch {
	case out && !s.out[target]:
		s.out[target] = true
		s.bytes += int64(outNeed(target))
	case !out && s.out[target]:
		delete(s.out, target)
		s.bytes -= int64(outNeed(target))
	}
}

// outNeed is what a target that is taken out needs, and its record when it is put back.
func outNeed(target string) int { return 2 * (len(target) + 32) }

// Life is the one that the journal names last; 0: none.
func (s *Spool) Life() uint64 { return s.life }

// SetLife records which life writes from here on.
func (s *Spool) SetLife(n uint64) {
	s.life = n
	s.buf = appendLife(s.buf, n)
}

func appendLife(b []byte, n uint64) []byte {
	b, at := begin(b)
	b = appendText(append(b, recLife), "")
	return finish(appendText(binary.AppendVarint(b, int64(n)), ""), at)
}

func appendOut(b []byte, target string, out bool) []byte {
	n := int64(0)
	if out {
		n = 1
	}
	b, at := begin(b)
	b = append(b, recOut)
	b = appendText(b, target)
	b = binary.AppendVarint(b, n)
	return finish(appendText(b, ""), at)
}

// Group makes one record of all that record makes: after a restart all of it is there, or none.
func (s *Spool) Group(record func()) {
	at := len(s.buf)
	record()
	if len(s.buf) > at {
		inner := slices.Clone(s.buf[at:])
		out, at := begin(s.buf[:at])
		s.buf = finish(append(append(out, recGroup), inner...), at)
	}
}

func (s *Spool) change(kind byte, id string, n int64, text string) {
	e := s.live[id]
	if e == nil {
		return
	}
	out, at := begin(s.buf)
	out = append(out, kind)
	out = appendText(out, id)
	out = binary.AppendVarint(out, n)
	s.buf = finish(appendText(out, text), at)
	s.alter(e, kind, n, text)
}

// Flush writes what the round has recorded, in one write.
func (s *Spool) Flush() error {
	if len(s.buf) == 0 && !s.anew {
		return nil
	}
	if s.anew || s.size+int64(len(s.buf)) > s.most {
		return s.compact()
	}
	n, err := s.f.Write(s.buf)
	if err != nil {
		// A part of a record would hide all that comes after it.
		if terr := s.f.Truncate(s.size); terr != nil {
			return fmt.Errorf("spool: writing: %w", errors.Join(err, terr))
		}
		serr := s.f.SeekTo(s.size)
		return fmt.Errorf("spool: writing: %w", errors.Join(err, serr))
	}
	s.size += int64(n)
	s.buf = s.buf[:0]
	return nil
}

// compact writes what is live to a new file and puts that in the old one's place. The round's records
// are in it, since the entries are changed as they are recorded.
func (s *Spool) compact() error {
	out := []byte(magic)
	if s.life > 0 {
		out = appendLife(out, s.life)
	}
	for _, target := range slices.Sorted(maps.Keys(s.out)) {
		out = appendOut(out, target, true)
	}
	for _, e := range s.Entries() {
		out = e.append(out)
	}
	if int64(len(out)) > s.most {
		return ErrFull
	}
	name := folder.Scratch(s.path())
	create := func() (*folder.File, error) { return folder.Open(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC) }
	f, err := create()
	if errors.Is(err, syscall.EMFILE) && s.spare != nil { // idle clients, say, hold all the others
		s.release()
		f, err = create()
	}
	defer s.reserve()
	if err != nil {
		return fmt.Errorf("spool: %w", err)
	}
	if _, err = f.Write(out); err == nil {
		err = folder.Rename(name, s.path())
	}
	if err != nil {
		_ = f.Close() // the old file still stands
		return fmt.Errorf("spool: compaction: %w", errors.Join(err, folder.Remove(name)))
	}
	_ = s.f.Close() // its file is gone already
	s.f, s.size, s.buf, s.anew = f, int64(len(out)), s.buf[:0], false
	return nil
}

func (s *Spool) add(e *Entry) {
	s.next++
	e.order = s.next
	s.live[e.ID] = e
	s.bytes += int64(Need(e))
}

// replay applies the records and returns how many bytes of the file are sound.
func (s *Spool) replay(raw []byte) int64 {
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return 0
	}
	return int64(len(magic) + walk(raw[len(magic):], s.apply))
}

// walk hands each sound record over and returns how many bytes they take; it ends at the first that is not.
func walk(raw []byte, apply func([]byte) bool) (at int) {
	for len(raw)-at >= head {
		n := int(binary.LittleEndian.Uint32(raw[at:]))
		sum := binary.LittleEndian.Uint32(raw[at+4:])
		if n > maxRec || len(raw)-at-head < n {
			break
		}
		p := raw[at+head : at+head+n]
		if crc32.Checksum(p, table) != sum || !apply(p) {
			break
		}
		at += head + n
	}
	return at
}

// apply changes the entries by one record; false means that it makes no sense.
func (s *Spool) apply(p []byte) bool {
	r := reader{b: p}
	kind := r.byte()
	if kind == recGroup { // its checksum was right, and so all of it was written
		flat := func(p []byte) bool { return len(p) > 0 && p[0] != recGroup && s.apply(p) }
		return walk(r.b, flat) == len(r.b)
	}
	if kind == recTaken {
		e := &Entry{ID: r.text(), Class: r.text(), Tenant: r.text(), Key: r.text(), Front: r.text(),
			Note: r.text(), Dest: r.int(), Deadline: r.int(), Attempts: int(r.int()), FirstRun: r.int(),
			Zone: r.text(), OpenAt: r.int(), OpenZone: r.text(), End: r.text(), WaitMs: r.int()}
		e.Heard = r.int() != 0
		e.Body = []byte(r.text())
		if r.bad || e.Attempts < 0 || s.live[e.ID] != nil {
			return false
		}
		s.add(e)
		return true
	}
	id, n, text := r.text(), r.int(), r.text()
	if r.bad || kind < recAttempt || kind > recHeard && kind != recOut && kind != recLife {
		return false
	}
	if kind == recLife {
		s.life = uint64(n)
		return true
	}
	if kind == recOut {
		s.putOut(id, n != 0)
		return true
	}
	e := s.live[id]
	if e == nil {
		return false
	}
	s.alter(e, kind, n, text)
	return true
}

// alter changes an entry as a record says.
func (s *Spool) alter(e *Entry, kind byte, n int64, text string) {
	switch kind {
	case recAttempt:
		e.Attempts++
		e.OpenAt, e.OpenZone = n, text
	case recClosed:
		if n != 0 && e.FirstRun == 0 {
			e.FirstRun, e.Zone = e.OpenAt, e.OpenZone
		}
		e.OpenAt, e.OpenZone = 0, ""
	case recEnd:
		s.bytes -= int64(len(e.Body)) // an ended message is never sent again
		e.End, e.WaitMs, e.Body = text, n, nil
	case recHeard:
		s.bytes -= int64(Need(e))
		e.Heard = true
		s.bytes += int64(Need(e))
	case recGone:
		if !s.open {
			s.past = append(s.past, e)
			e.Body = nil
		}
		s.bytes -= int64(Need(e))
		delete(s.live, e.ID)
	}
}

func (e *Entry) append(out []byte) []byte {
	out, at := begin(out)
	out = append(out, recTaken)
	for _, t := range [...]string{e.ID, e.Class, e.Tenant, e.Key, e.Front, e.Note} {
		out = appendText(out, t)
	}
	for _, n := range [...]int64{e.Dest, e.Deadline, int64(e.Attempts), e.FirstRun} {
		out = binary.AppendVarint(out, n)
	}
	out = appendText(out, e.Zone)
	out = binary.AppendVarint(out, e.OpenAt)
	out = appendText(out, e.OpenZone)
	out = appendText(out, e.End)
	out = binary.AppendVarint(out, e.WaitMs)
	heard := int64(0)
	if e.Heard {
		heard = 1
	}
	out = binary.AppendVarint(out, heard)
	out = binary.AppendUvarint(out, uint64(len(e.Body)))
	return finish(append(out, e.Body...), at)
}

// begin leaves room for a record's head, which finish fills in.
func begin(out []byte) ([]byte, int) { return append(out, make([]byte, head)...), len(out) }

func finish(out []byte, at int) []byte {
	p := out[at+head:]
	binary.LittleEndian.PutUint32(out[at:], uint32(len(p)))
	binary.LittleEndian.PutUint32(out[at+4:], crc32.Checksum(p, table))
	return out
}

func appendText(p []byte, t string) []byte {
	return append(binary.AppendUvarint(p, uint64(len(t))), t...)
}

// reader takes a record apart; bad is set once it does not hold what is asked of it.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	x := r.b[0]
	r.b = r.b[1:]
	return x
}

func (r *reader) skip(n int) {
	if n <= 0 {
		r.bad, r.b = true, nil
		return
	}
	r.b = r.b[n:]
}

func (r *reader) int() int64 {
	x, n := binary.Varint(r.b)
	r.skip(n)
	return x
}

func (r *reader) uint() uint64 {
	x, n := binary.Uvarint(r.b)
	r.skip(n)
	return min(x, math.MaxInt64)
}

func (r *reader) text() string {
	n := r.uint()
	if n > uint64(len(r.b)) {
		r.bad = true
		return ""
	}
	t := string(r.b[:n])
	r.b = r.b[n:]
	return t
}
