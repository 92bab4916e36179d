package journal

import "brackendale/internal/clock"

// Each operation changes the entries immediately and adds its record to the batch of the current
// step, which the next Flush writes.

// Accept records that a message was accepted.
func (j *Journal) Accept(entry *Entry) {
	j.insert(entry)
	j.buffer = entry.appendTo(j.openBatch())
}

// StartAttempt records an attempt. It is called before the first byte of the attempt is sent.
func (j *Journal) StartAttempt(id, zone string, startedAt clock.Instant) {
	j.record(changeRecord{kind: recordAttemptStarted, id: id, number: int64(startedAt), text: zone})
}

// EndAttempt records that the attempt in flight has ended, and whether it may have run.
func (j *Journal) EndAttempt(id string, mayHaveRun bool) {
	j.record(changeRecord{kind: recordAttemptEnded, id: id, number: boolInt(mayHaveRun)})
}

// MarkAmbiguous records that a message has had that many attempts and that the first of them may
// have run at firstRun. The next Flush rewrites the file for it, so that all messages marked since
// the last Flush are recorded together or not at all.
func (j *Journal) MarkAmbiguous(id string, attempts int, firstRun clock.Instant) {
	if entry := j.entries[id]; entry != nil {
		entry.Attempts, entry.FirstRun = attempts, firstRun
		entry.InFlightSince, entry.InFlightZone = 0, ""
		j.needsRewrite = true
	}
}

// MarkMayHaveRun records that a message whose attempt is in flight may have run before, at firstRun. The next Flush
// rewrites the file for it, as for MarkAmbiguous.
func (j *Journal) MarkMayHaveRun(id string, firstRun clock.Instant) {
	if entry := j.entries[id]; entry != nil {
		entry.FirstRun = firstRun
		j.needsRewrite = true
	}
}

// SetFinalAnswer records the final answer of a message, which is kept until Remove.
func (j *Journal) SetFinalAnswer(id, answer string, retryAfterMs int64) {
	j.record(changeRecord{kind: recordFinalAnswer, id: id, number: retryAfterMs, text: answer})
}

// Acknowledge records that the client has confirmed the final answer. The entry is kept, for a front
// that has to recognize the ID if it is submitted again.
func (j *Journal) Acknowledge(id string) { j.record(changeRecord{kind: recordAcknowledged, id: id}) }

// Redirect records the correlation of a later submission in place of the present one, and that its client has
// not acknowledged the final answer. The records are a removal and an acceptance, which earlier releases read too;
// after a restart the message is the last one in the order of acceptance.
func (j *Journal) Redirect(id, correlation string) {
	entry := j.entries[id]
	if entry == nil {
		return
	}
	j.buffer = changeRecord{kind: recordRemoved, id: id}.appendTo(j.openBatch())
	j.liveBytes -= int64(RecordSize(entry))
	entry.Correlation, entry.Acknowledged = correlation, false
	j.liveBytes += int64(RecordSize(entry))
	j.buffer = entry.appendTo(j.buffer)
}

// Remove removes a message and records the removal.
func (j *Journal) Remove(id string) { j.record(changeRecord{kind: recordRemoved, id: id}) }

// SetExcluded records that an endpoint is excluded from new attempts or, with exclude false, no
// longer excluded. The change is durable once Flush has succeeded. The error is ErrFull if
// MaxExcludedEndpoints are excluded already or the disk budget is used up.
func (j *Journal) SetExcluded(endpoint string, exclude bool) error {
	if j.excluded[endpoint] == exclude {
		return nil
	}
	if exclude && (len(j.excluded) >= MaxExcludedEndpoints || !j.HasSpace(exclusionSize(endpoint), 0)) {
		return ErrFull
	}
	j.buffer = exclusionChange(endpoint, exclude).appendTo(j.openBatch())
	j.setExcluded(endpoint, exclude)
	return nil
}

// SetIncarnation records the incarnation that writes the following records.
func (j *Journal) SetIncarnation(n uint64) {
	j.incarnation = n
	j.buffer = incarnationChange(n).appendTo(j.openBatch())
}

// record adds the record of a change to the batch and applies it to its entry. Without an entry it
// does nothing.
func (j *Journal) record(change changeRecord) {
	entry := j.entries[change.id]
	if entry == nil {
		return
	}
	j.buffer = change.appendTo(j.openBatch())
	j.applyToEntry(entry, change)
}
