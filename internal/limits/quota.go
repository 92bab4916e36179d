package limits

import "time"

// DailyQuota limits how many units are taken in a calendar day of a time zone, whatever the length of
// the day: when daylight saving time begins or ends, it has 23 or 25 hours. Times are wall clock times
// in microseconds since 1970.
type DailyQuota struct {
	max      int64
	location *time.Location
	QuotaState
	dayEnd int64 // 0: not computed yet
}

// QuotaState is the state of a quota that must be restored after a restart.
type QuotaState struct {
	Day  int64 `json:"Day"`  // the start of the day in which Used was counted
	Used int64 `json:"Used"` // units taken in that day
}

// NewDailyQuota returns a quota of limit units per day; state is the state of an earlier incarnation, or
// the zero value.
func NewDailyQuota(limit int64, location *time.Location, state QuotaState) *DailyQuota {
	return &DailyQuota{max: max(0, limit), location: location, QuotaState: state}
}

// update begins a new day if now is past the end of the current one. When the clock is set back, the
// quota stays in the later day, so that the units of a day are not allowed twice.
func (q *DailyQuota) update(now int64) {
	if q.dayEnd == 0 {
		_, q.dayEnd = q.dayOf(q.Day)
	}
	if now >= q.dayEnd {
		q.Day, q.dayEnd = q.dayOf(now)
		q.Used = 0
	}
}

// dayOf returns the start and the end of the calendar day that a time is in.
func (q *DailyQuota) dayOf(at int64) (start, end int64) {
	year, month, day := time.UnixMicro(at).In(q.location).Date()
	midnight := func(day int) int64 { return time.Date(year, month, day, 0, 0, 0, 0, q.location).UnixMicro() }
	return midnight(day), midnight(day + 1)
}

// Take takes units of the current day, all of them or none, and reports whether it did.
func (q *DailyQuota) Take(now, units int64) bool {
	q.update(now)
	if q.Used+units > q.max {
		return false
	}
	q.Used += units
	return true
}

// Return returns unused units to the current day.
func (q *DailyQuota) Return(now, units int64) {
	q.update(now)
	q.Used = max(0, q.Used-units)
}

// AvailableAt returns now, the next midnight if too few units are left of the day, or Never if units exceeds the
// quota of a whole day.
func (q *DailyQuota) AvailableAt(now, units int64) int64 {
	q.update(now)
	switch {
	case units > q.max:
		return Never
	case q.Used+units > q.max:
		return q.dayEnd
	}
	return now
}

// Left returns the number of units left of the day.
func (q *DailyQuota) Left(now int64) int64 {
	q.update(now)
	return q.max - q.Used
}
