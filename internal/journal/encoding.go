package journal

import (
	"encoding/binary"
	"hash/crc32"
	"math"

	"brackendale/internal/clock"
)

// The first line of a file, which identifies its format. Stored data.
const (
	magic          = "brackendale spool 2\n"
	magicWallClock = "brackendale spool 1\n" // of an earlier version, which recorded times of the wall clock
)

// recordKind is the first byte of a record. The numbers are stored data.
type recordKind byte

const (
	recordAccepted recordKind = iota + 1
	recordAttemptStarted
	recordAttemptEnded
	recordFinalAnswer
	recordRemoved
	recordAcknowledged
	recordBatch       // the records of one step, which are read back all or none
	recordExclusion   // an endpoint is excluded, or no longer excluded
	recordIncarnation // the incarnation that writes the following records
	recordClock       // the time of the steady clock; at the head of a file also the boot ID
)

// headerSize is the size of the header before each record: its length and its checksum.
const headerSize = 8

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// changeRecord is the content of a record of any kind but recordAccepted and recordBatch. The
// meaning of number and text depends on the kind.
type changeRecord struct {
	kind   recordKind
	id     string // of a message, or the address of an endpoint
	number int64
	text   string
}

// appendTo appends the encoded record to out.
func (c changeRecord) appendTo(out []byte) []byte {
	out, start := beginRecord(out)
	out = appendText(append(out, byte(c.kind)), c.id)
	out = appendInt(out, c.number)
	return finishRecord(appendText(out, c.text), start)
}

// clockChange returns the record of a time. An empty bootID means that the boot is the one recorded
// before.
func clockChange(now clock.Instant, bootID string) changeRecord {
	return changeRecord{kind: recordClock, number: int64(now), text: bootID}
}

func incarnationChange(n uint64) changeRecord {
	return changeRecord{kind: recordIncarnation, number: int64(n)}
}

func exclusionChange(endpoint string, excluded bool) changeRecord {
	return changeRecord{kind: recordExclusion, id: endpoint, number: boolInt(excluded)}
}

// beginRecord appends space for a record's header, which finishRecord fills in.
func beginRecord(out []byte) (_ []byte, start int) {
	return append(out, make([]byte, headerSize)...), len(out)
}

// finishRecord fills in the header of the record that begins at the offset start and ends with out.
func finishRecord(out []byte, start int) []byte {
	payload := out[start+headerSize:]
	binary.LittleEndian.PutUint32(out[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(out[start+4:], crc32.Checksum(payload, crcTable))
	return out
}

// walkRecords passes the payload of each valid record to apply and returns the size of those records
// in bytes. It stops at the first record that is incomplete, has a wrong checksum or is rejected by
// apply.
func walkRecords(raw []byte, apply func(payload []byte) bool) (offset int) {
	for len(raw)-offset >= headerSize {
		size := int(binary.LittleEndian.Uint32(raw[offset:]))
		sum := binary.LittleEndian.Uint32(raw[offset+4:])
		if len(raw)-offset-headerSize < size {
			break
		}
		payload := raw[offset+headerSize : offset+headerSize+size]
		if crc32.Checksum(payload, crcTable) != sum || !apply(payload) {
			break
		}
		offset += headerSize + size
	}
	return offset
}

// hasMagic reports whether raw begins with the first line of a journal.
func hasMagic(raw []byte) bool {
	if len(raw) < len(magic) {
		return false
	}
	line := string(raw[:len(magic)])
	return line == magic || line == magicWallClock
}

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

func appendInt(out []byte, n int64) []byte { return binary.AppendVarint(out, n) }

func boolInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// fieldReader reads the fields of a record one after another. malformed is set once a field cannot
// be read.
type fieldReader struct {
	unread    []byte
	malformed bool
}

func (r *fieldReader) byte() byte {
	if len(r.unread) == 0 {
		r.malformed = true
		return 0
	}
	b := r.unread[0]
	r.unread = r.unread[1:]
	return b
}

func (r *fieldReader) skip(n int) {
	if n <= 0 {
		r.malformed, r.unread = true, nil
		return
	}
	r.unread = r.unread[n:]
}

func (r *fieldReader) int() int64 {
	x, n := binary.Varint(r.unread)
	r.skip(n)
	return x
}

func (r *fieldReader) uint() uint64 {
	x, n := binary.Uvarint(r.unread)
	r.skip(n)
	return min(x, math.MaxInt64)
}

func (r *fieldReader) text() string {
	n := r.uint()
	if n > uint64(len(r.unread)) {
		r.malformed = true
		return ""
	}
	text := string(r.unread[:n])
	r.unread = r.unread[n:]
	return text
}
