package config

import (
	"cmp"
	"fmt"
	"net"
	"net/url"
	"slices"
)

// Duty is a [[duty]] of an appliance's file: a task or a right that the group grants to one or a few members at a time,
// or a limit that all members share.
type Duty struct {
	Name          string `toml:"name"`
	Kind          string `toml:"kind"`
	URL           string `toml:"url"`
	IntervalMs    int64  `toml:"every_ms"`   // the interval between two executions
	MaxDurationMs int64  `toml:"longest_ms"` // the maximum duration of one execution

	Dest               int64   `toml:"dest"`    // of a limit: its destination
	PerSecond          float64 `toml:"per_s"`   // of a limit: calls per second of all members together
	ConcurrentRestarts int     `toml:"at_once"` // of a roll: the number of members that may restart at the same time
	MaxDowntimeMs      int64   `toml:"out_ms"`  // of a roll: the maximum downtime of a restart
}

// The kinds of duty.
const (
	DutyCall   = "call"   // a periodic POST to a URL of the operator
	DutyReturn = "return" // one member alone probes unavailable routes, and all members respect a Retry-After
	DutyLimit  = "limit"  // a rate limit that is divided among the members that are present
	DutyRoll   = "roll"   // the right to restart, for rolling restarts
	DutyVerify = "verify" // a periodic check of the journal's checksums, by one member at a time
)

// dutyKeys are the keys that each kind of duty requires or allows, besides name and kind.
var dutyKeys = map[string][]string{
	DutyCall:   {"url", "every_ms", "longest_ms"},
	DutyReturn: {},
	DutyLimit:  {"dest", "per_s"},
	DutyRoll:   {"at_once", "out_ms"},
	DutyVerify: {"every_ms", "longest_ms"},
}

// The bounds of a duty's keys, and the defaults of a roll.
const (
	maxDuties                 = 256
	minIntervalMs             = 10
	maxIntervalMs             = 24 * 3600 * 1000
	minPerSecond              = 0.1 // calls per second
	maxPerSecond              = 1000
	maxConcurrentRestarts     = 100
	downtimeLimitMs           = 3600_000
	defaultConcurrentRestarts = 1
	defaultMaxDowntimeMs      = 60_000
)

// dutySet records the names, kinds and limited destinations of the duties that were read so far, to find duplicates.
type dutySet struct {
	names  map[string]bool
	kinds  map[string]bool
	limits map[int64]bool // destinations that have a limit
}

// readDuties checks the duties, sets their defaults and adds them to the group.
func (g *Group) readDuties(path string, duties []Duty) error {
	seen := dutySet{names: map[string]bool{}, kinds: map[string]bool{}, limits: map[int64]bool{}}
	for i := range duties {
		duty := &duties[i]
		key := func(name string) string { return entryKey(path, "duty", i, name) }
		if err := checkGroupName(duty.Name); err != nil {
			return keyErrorf(key("name"), "%w", err)
		}
		if seen.names[duty.Name] {
			return keyErrorf(key("name"), "%q is a duplicate", duty.Name)
		}
		seen.names[duty.Name] = true
		if err := duty.checkKeys(key); err != nil {
			return err
		}
		if duty.Kind == DutyRoll {
			duty.ConcurrentRestarts, duty.MaxDowntimeMs = cmp.Or(duty.ConcurrentRestarts, defaultConcurrentRestarts),
				cmp.Or(duty.MaxDowntimeMs, defaultMaxDowntimeMs)
		}
		if err := seen.add(duty, key); err != nil {
			return err
		}
		if err := g.checkDuty(duty, key); err != nil {
			return err
		}
	}
	g.Duties = duties
	return nil
}

// checkKeys checks the kind, and that the kind allows each key that is set.
func (d *Duty) checkKeys(key func(string) string) error {
	allowed, ok := dutyKeys[d.Kind]
	if !ok {
		return keyErrorf(key("kind"), "%q is not one of call, return, limit, roll, verify", d.Kind)
	}
	for _, entry := range []struct { // in the order of the manual: the first key that is not allowed is reported
		name string
		set  bool
	}{
		{"url", d.URL != ""},
		{"every_ms", d.IntervalMs != 0},
		{"longest_ms", d.MaxDurationMs != 0},
		{"dest", d.Dest != 0},
		{"per_s", d.PerSecond != 0},
		{"at_once", d.ConcurrentRestarts != 0},
		{"out_ms", d.MaxDowntimeMs != 0},
	} {
		if entry.set && !slices.Contains(allowed, entry.name) {
			return keyErrorf(key(entry.name), "is not a key of a duty of the kind %s", d.Kind)
		}
	}
	return nil
}

// add records a duty. It refuses a second duty of a kind that a group may have only once, and a second limit of a
// destination.
func (s *dutySet) add(duty *Duty, key func(string) string) error {
	if (duty.Kind == DutyReturn || duty.Kind == DutyRoll) && s.kinds[duty.Kind] {
		return keyErrorf(key("kind"), "a group can have only one duty of the kind %s", duty.Kind)
	}
	s.kinds[duty.Kind] = true
	if duty.Kind != DutyLimit {
		return nil
	}
	if s.limits[duty.Dest] {
		return keyErrorf(key("dest"), "destination %d already has a limit", duty.Dest)
	}
	s.limits[duty.Dest] = true
	return nil
}

// checkDuty checks the values of a duty's keys.
func (g *Group) checkDuty(duty *Duty, key func(string) string) error {
	switch duty.Kind {
	case DutyCall:
		if err := checkDutyURL(duty.URL, g.BeyondLoopback); err != nil {
			return keyErrorf(key("url"), "%w", err)
		}
		return g.checkPeriod(duty, key)
	case DutyVerify:
		return g.checkPeriod(duty, key)
	case DutyLimit:
		if !(duty.PerSecond >= minPerSecond && duty.PerSecond <= maxPerSecond) {
			return keyErrorf(key("per_s"), "%v is not from %v to %d", duty.PerSecond, minPerSecond, maxPerSecond)
		}
	case DutyRoll:
		if duty.ConcurrentRestarts < 1 || duty.ConcurrentRestarts > maxConcurrentRestarts {
			return keyErrorf(key("at_once"), "%d is not from 1 to %d", duty.ConcurrentRestarts, maxConcurrentRestarts)
		}
		if duty.MaxDowntimeMs < g.LeaseMs || duty.MaxDowntimeMs > downtimeLimitMs {
			return keyErrorf(key("out_ms"), "%d is not from %d to %d", duty.MaxDowntimeMs, g.LeaseMs, downtimeLimitMs)
		}
	}
	return nil
}

// checkPeriod checks the interval and the maximum duration of a duty's executions.
func (g *Group) checkPeriod(duty *Duty, key func(string) string) error {
	// An execution has to fit between two heartbeats of its lease holder, one of which may fail.
	maxDuration := int64(float64(g.LeaseMs)*(1-g.Drift)) - g.LeaseMs/2
	switch {
	case duty.IntervalMs < minIntervalMs || duty.IntervalMs > maxIntervalMs:
		return keyErrorf(key("every_ms"), "%d is not from %d to %d", duty.IntervalMs, minIntervalMs, maxIntervalMs)
	case duty.MaxDurationMs < 1 || duty.MaxDurationMs > maxDuration:
		return keyErrorf(key("longest_ms"), "%d is not from 1 to %d: an execution has to end before its lease (lease_ms = "+
			"%d) expires", duty.MaxDurationMs, maxDuration, g.LeaseMs)
	}
	return nil
}

// checkDutyURL checks the URL of a call. Its address has to be one that the group itself may use.
func checkDutyURL(text string, beyondLoopback bool) error {
	u, err := url.Parse(text)
	if err != nil {
		return err
	}
	if u.Scheme != "http" || u.Host == "" || u.User != nil {
		return fmt.Errorf("%q is not of the form http://ADDRESS:PORT/PATH", text)
	}
	addr := u.Host
	if u.Port() == "" {
		addr = net.JoinHostPort(u.Hostname(), "80")
	}
	return checkGroupAddr(addr, beyondLoopback)
}
