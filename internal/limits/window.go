package limits

// SlidingWindow limits how many units are taken in any interval of a given length, wherever it begins.
// It keeps the time of each unit in the window; units taken at the same time share one record.
type SlidingWindow struct {
	max     int64 // units
	length  int64 // microseconds
	used    int64
	batches []batch // oldest first
}

// batch is a number of units that were taken at the same time.
type batch struct {
	at    int64
	units int64
}

// NewSlidingWindow returns a window that allows limit units in length microseconds. Both are at least 1.
func NewSlidingWindow(limit, length int64) *SlidingWindow {
	return &SlidingWindow{max: max(1, limit), length: max(1, length)}
}

// expire drops the units that were taken before the window that ends now.
func (w *SlidingWindow) expire(now int64) {
	expired := 0
	for ; expired < len(w.batches) && w.batches[expired].at <= now-w.length; expired++ {
		w.used -= w.batches[expired].units
	}
	w.batches = append(w.batches[:0], w.batches[expired:]...)
}

// Take takes units, all of them or none, and reports whether it did.
func (w *SlidingWindow) Take(now, units int64) bool {
	w.expire(now)
	if w.used+units > w.max {
		return false
	}
	w.used += units
	if last := len(w.batches) - 1; last >= 0 && w.batches[last].at >= now {
		w.batches[last].units += units
	} else if units > 0 {
		w.batches = append(w.batches, batch{at: now, units: units})
	}
	return true
}

// Return returns the units that were taken last.
func (w *SlidingWindow) Return(_, units int64) {
	for units > 0 && len(w.batches) > 0 {
		last := &w.batches[len(w.batches)-1]
		returned := min(units, last.units)
		last.units -= returned
		w.used -= returned
		units -= returned
		if last.units == 0 {
			w.batches = w.batches[:len(w.batches)-1]
		}
	}
}

// AvailableAt returns the time from which enough of the units taken are out of the window.
func (w *SlidingWindow) AvailableAt(now, units int64) int64 {
	w.expire(now)
	if units > w.max {
		return Never
	}
	excess := w.used + units - w.max
	for _, oldest := range w.batches {
		if excess <= 0 {
			break
		}
		if excess -= oldest.units; excess <= 0 {
			return oldest.at + w.length
		}
	}
	return now
}
