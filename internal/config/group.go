package config

import (
	"fmt"
	"net"
	"strings"
)

// Group is the section [group], which makes the sender a member of a group of senders that share duties. Without the
// section there is no group.
type Group struct {
	Name           string   `toml:"name"`    // of this member, unique in the group
	Listen         string   `toml:"listen"`  // the address for connections from other members
	Members        []string `toml:"members"` // the voters, each as NAME=ADDRESS
	LeaseMs        int64    `toml:"lease_ms"`
	Drift          float64  `toml:"drift"`           // bound on the relative error of a member's clock rate
	Weight         float64  `toml:"weight"`          // of this member's share of the duties, relative to the others'
	BeyondLoopback bool     `toml:"beyond_loopback"` // allow addresses other than loopback

	Voters map[string]string `toml:"-"` // the addresses of Members, by name
	Duties []Duty            `toml:"-"`
}

// Enabled reports whether there is a group.
func (g *Group) Enabled() bool { return g.Listen != "" }

// The bounds of a group's settings.
const (
	minLeaseMs, maxLeaseMs = 200, 60_000
	maxDrift               = 0.2
	maxNameBytes           = 64
	maxWeight              = 1000
)

// groupDiskMB is the part of limits.disk_mb that is reserved for the group's folder; the rest is for the journal.
const groupDiskMB = 2.0

// readGroup checks the section [group] and the duties, and sets c.Group. defined means that the file has the section,
// and standalone that there is no platform's file.
func (c *Config) readGroup(path string, section Group, duties []Duty, defined, standalone bool) error {
	switch {
	case !defined && len(duties) > 0:
		return keyErrorf(path+": duty", "requires a section [group]")
	case !defined:
		return nil
	case !standalone:
		return keyErrorf(path+": group",
			"is only for appliances: LB_CONFIG is set, and the platform's senders form no groups")
	}
	if err := checkGroupName(section.Name); err != nil {
		return keyErrorf(path+": group.name", "%w", err)
	}
	if err := checkGroupAddr(section.Listen, section.BeyondLoopback); err != nil {
		return keyErrorf(path+": group.listen", "%w", err)
	}
	if err := section.readVoters(path); err != nil {
		return err
	}
	if err := section.checkBounds(path); err != nil {
		return err
	}
	if len(duties) > maxDuties {
		return keyErrorf(path+": duty", "%d duties are more than %d", len(duties), maxDuties)
	}
	if c.Limits.DiskMB < 2*groupDiskMB {
		return keyErrorf("limits.disk_mb", "%v is under %v: a group's folder takes %v of it", c.Limits.DiskMB,
			2*groupDiskMB, groupDiskMB)
	}
	if err := section.readDuties(path, duties); err != nil {
		return err
	}
	c.Group = section
	return nil
}

// readVoters fills Voters from Members.
func (g *Group) readVoters(path string) error {
	g.Voters = map[string]string{}
	for i, member := range g.Members {
		key := fmt.Sprintf("%s: group.members[%d]", path, i)
		name, addr, ok := strings.Cut(member, "=")
		if !ok {
			return keyErrorf(key, "%q is not of the form NAME=ADDRESS", member)
		}
		name, addr = strings.TrimSpace(name), strings.TrimSpace(addr)
		if err := checkGroupName(name); err != nil {
			return keyErrorf(key, "%w", err)
		}
		if err := checkGroupAddr(addr, g.BeyondLoopback); err != nil {
			return keyErrorf(key, "%w", err)
		}
		if g.Voters[name] != "" {
			return keyErrorf(key, "%s is a duplicate", name)
		}
		g.Voters[name] = addr
	}
	return nil
}

func (g *Group) checkBounds(path string) error {
	switch n := len(g.Voters); {
	case n != 1 && n != 3 && n != 5:
		return keyErrorf(path+": group.members",
			"%d voters: there must be 3 or 5, which tolerate the loss of 1 or 2 (or 1, for a trial)", n)
	case g.LeaseMs < minLeaseMs || g.LeaseMs > maxLeaseMs:
		return keyErrorf(path+": group.lease_ms", "%d is not from %d to %d", g.LeaseMs, minLeaseMs, maxLeaseMs)
	case !(g.Drift >= 0 && g.Drift <= maxDrift):
		return keyErrorf(path+": group.drift", "%v is not from 0 to %v", g.Drift, maxDrift)
	case !(g.Weight > 0 && g.Weight <= maxWeight):
		return keyErrorf(path+": group.weight", "%v is not above 0 and up to %d", g.Weight, maxWeight)
	}
	return nil
}

// checkGroupName checks a member's or a duty's name.
func checkGroupName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, "= \t\r\n,+/#@\"") {
		return fmt.Errorf("%q is not a valid name: 1 to %d bytes without blanks, commas, quotes, slashes, =, +, # and @",
			name, maxNameBytes)
	}
	return nil
}

// checkGroupAddr checks an address. Links between members are not encrypted, so an address other than loopback needs
// beyond_loopback.
func checkGroupAddr(addr string, beyondLoopback bool) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); port == "" || port == "0" || !beyondLoopback && host != "localhost" &&
		(ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("%q is not a loopback address; links are not encrypted: beyond_loopback = true allows "+
			"other addresses", addr)
	}
	return nil
}
