package limits

// ConcurrencyLimit limits how many units are in progress at the same time.
type ConcurrencyLimit struct {
	max  int64
	used int64
}

// NewConcurrencyLimit returns a limit of at least 1.
func NewConcurrencyLimit(limit int64) *ConcurrencyLimit { return &ConcurrencyLimit{max: max(1, limit)} }

// Take begins units, all of them or none, and reports whether it did.
func (c *ConcurrencyLimit) Take(_, units int64) bool {
	if c.used+units > c.max {
		return false
	}
	c.used += units
	return true
}

// Return ends units that Take began.
func (c *ConcurrencyLimit) Return(_, units int64) { c.used = max(0, c.used-units) }

// AvailableAt returns now, or Never if too many units are in progress: it is not known when they end.
func (c *ConcurrencyLimit) AvailableAt(now, units int64) int64 {
	if c.used+units > c.max {
		return Never
	}
	return now
}

// Used returns the number of units in progress.
func (c *ConcurrencyLimit) Used() int64 { return c.used }
