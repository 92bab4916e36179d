package journal

import "brackendale/internal/clock"

// replay applies the records of a file and returns the number of bytes that the valid ones take,
// with the first line.
func (j *Journal) replay(raw []byte) int64 {
	if !hasMagic(raw) {
		return 0
	}
	j.usesWallClock = string(raw[:len(magic)]) == magicWallClock
	return int64(len(magic) + walkRecords(raw[len(magic):], j.applyRecord))
}

// applyRecord applies one record. It returns false if the record is malformed or contradicts the
// records before it.
func (j *Journal) applyRecord(payload []byte) bool {
	fields := &fieldReader{unread: payload}
	switch kind := recordKind(fields.byte()); kind {
	case recordBatch:
		return j.applyBatch(fields.unread)
	case recordAccepted:
		entry := readEntry(fields)
		if fields.malformed || entry.Attempts < 0 || j.entries[entry.ID] != nil {
			return false
		}
		j.insert(entry)
		return true
	default:
		change := changeRecord{kind: kind, id: fields.text(), number: fields.int(), text: fields.text()}
		return !fields.malformed && j.applyChange(change)
	}
}

// applyBatch applies the records of a batch. The checksum of the batch was right, so all of it was
// written.
func (j *Journal) applyBatch(records []byte) bool {
	applyInner := func(payload []byte) bool {
		return len(payload) > 0 && recordKind(payload[0]) != recordBatch && j.applyRecord(payload)
	}
	return walkRecords(records, applyInner) == len(records)
}

// applyChange applies a change. It returns false if its kind is unknown or it changes a message that
// has no entry.
func (j *Journal) applyChange(change changeRecord) bool {
	switch change.kind {
	case recordIncarnation:
		j.incarnation = uint64(change.number)
	case recordExclusion:
		j.setExcluded(change.id, change.number != 0)
	case recordClock:
		j.latestTime = max(j.latestTime, clock.Instant(change.number))
		if change.text != "" {
			j.bootID = change.text
		}
	case recordAttemptStarted, recordAttemptEnded, recordFinalAnswer, recordRemoved, recordAcknowledged:
		entry := j.entries[change.id]
		if entry == nil {
			return false
		}
		j.applyToEntry(entry, change)
	default:
		return false
	}
	return true
}

// applyToEntry applies a change to the entry of its message.
func (j *Journal) applyToEntry(entry *Entry, change changeRecord) {
	switch change.kind {
	case recordAttemptStarted:
		entry.Attempts++
		entry.InFlightSince, entry.InFlightZone = clock.Instant(change.number), change.text
		j.latestTime = max(j.latestTime, entry.InFlightSince)
	case recordAttemptEnded:
		if mayHaveRun := change.number != 0; mayHaveRun && entry.FirstRun == 0 {
			entry.FirstRun, entry.Zone = entry.InFlightSince, entry.InFlightZone
		}
		entry.InFlightSince, entry.InFlightZone = 0, ""
	case recordFinalAnswer:
		j.liveBytes -= int64(len(entry.Body))
		entry.FinalAnswer, entry.RetryAfterMs, entry.Body = change.text, change.number, nil
	case recordAcknowledged:
		j.liveBytes -= int64(RecordSize(entry))
		entry.Acknowledged = true
		j.liveBytes += int64(RecordSize(entry))
	case recordRemoved:
		j.liveBytes -= int64(RecordSize(entry))
		delete(j.entries, entry.ID)
		if !j.opened {
			j.removed = append(j.removed, entry)
			entry.Body = nil
		}
	}
}

func (j *Journal) insert(entry *Entry) {
	j.nextOrder++
	entry.order = j.nextOrder
	j.entries[entry.ID] = entry
	j.liveBytes += int64(RecordSize(entry))
}

func (j *Journal) setExcluded(endpoint string, exclude bool) {
	switch {
	case exclude && !j.excluded[endpoint]:
		j.excluded[endpoint] = true
		j.liveBytes += int64(exclusionSize(endpoint))
	case !exclude && j.excluded[endpoint]:
		delete(j.excluded, endpoint)
		j.liveBytes -= int64(exclusionSize(endpoint))
	}
}

// exclusionSize returns the space that an exclusion takes, in bytes, including the record that ends
// it.
func exclusionSize(endpoint string) int { return 2 * (len(endpoint) + 32) }
