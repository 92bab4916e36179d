package sender

import (
	"maps"
	"slices"
	"time"
)

// twoGenerations is a set of strings in two generations. rotate drops the older generation, and the
// newer one takes its place. Strings are added to the newer one.
type twoGenerations struct {
	newer map[string]struct{}
	older map[string]struct{}
}

func (g *twoGenerations) rotate() { g.older, g.newer = g.newer, map[string]struct{}{} }

func (g *twoGenerations) has(name string) bool {
	_, inNewer := g.newer[name]
	_, inOlder := g.older[name]
	return inNewer || inOlder
}

// all returns the elements of the set.
func (g *twoGenerations) all() []string {
	list := slices.Collect(maps.Keys(g.older))
	return slices.AppendSeq(list, maps.Keys(g.newer))
}

// The limits of one generation of recentIDs.
const (
	maxRecentIDs = 4096
	maxRecentAge = 30 * time.Second
)

// recentIDs are the ids of messages that were removed from the journal. A request with such an id is
// not sent again while its first message could still be pending: a client that uses another client's
// id must not cause a repeat of an unsafe message, such as a charge.
type recentIDs struct {
	twoGenerations
	rotatedAt time.Time
}

func (r *recentIDs) add(id string) {
	if len(r.newer) >= maxRecentIDs || time.Since(r.rotatedAt) > maxRecentAge {
		r.rotate()
		r.rotatedAt = time.Now()
	}
	r.newer[id] = struct{}{}
}

// maxKnownNames limits one generation of knownNames.
const maxKnownNames = 8192

// knownNames are the names of endpoints that were ever listed. Since there are always new ones, names
// that have not been listed for very long are dropped.
type knownNames struct{ twoGenerations }

func (k *knownNames) add(name string) {
	if _, ok := k.newer[name]; ok {
		return
	}
	if len(k.newer) >= maxKnownNames || k.newer == nil {
		k.rotate()
	}
	k.newer[name] = struct{}{}
}
