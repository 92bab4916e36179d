package sender

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"strconv"

	"brackendale/scheduler"
)

// reportedEndpoints are the endpoints of the registry's last report. They are kept across restarts: the
// endpoint list in a configuration may be older than the updates that the previous incarnation received,
// and discovery may be unresponsive when this one starts.
//
// Of such a list only the endpoints that were live in the last report are used. What does not fit into
// the snapshot, or was never stored, is therefore not used until the registry responds: at its limit the
// memory costs service, but no message goes to an endpoint that was removed or has another destination.
type reportedEndpoints struct {
	live    endpointSet // that were live; nil: there is no report
	removed []string    // names of endpoints that were draining or removed, the latest last
	unsaved bool        // changed since the last snapshot
}

// The limits of reportedEndpoints.removed, which drops the oldest names. They decide only where there is
// no set of live endpoints, as in a snapshot of a release that did not store one.
const (
	maxRemovedNames = 256
	maxRemovedBytes = 8 << 10
)

// update records the routes after a report of the registry, and the endpoints in it.
func (r *reportedEndpoints) update(routes map[string]Route, reported []Route) {
	for _, route := range reported {
		r.updateRemoved(route)
	}
	live := newEndpointSet(routes)
	if r.live == nil || !maps.Equal(live, r.live) {
		r.live, r.unsaved = live, true
	}
}

// updateRemoved records whether an endpoint is draining or removed.
func (r *reportedEndpoints) updateRemoved(route Route) {
	index := slices.Index(r.removed, route.Addr)
	recorded, removed := index >= 0, route.State != scheduler.StatusLive
	if recorded == removed {
		return
	}
	r.unsaved = true
	if recorded {
		r.removed = slices.Delete(r.removed, index, index+1)
		return
	}
	r.removed = append(r.removed, route.Addr)
	size := totalBytes(r.removed)
	for len(r.removed) > maxRemovedNames || size > maxRemovedBytes {
		size -= len(r.removed[0])
		r.removed = slices.Delete(r.removed, 0, 1)
	}
}

// correct returns a route of an older list, as draining unless its endpoint was live in the last report.
func (r *reportedEndpoints) correct(route Route) Route {
	if route.State == scheduler.StatusLive && !r.trusts(route) {
		route.State = scheduler.StatusDraining
	}
	return route
}

// trusts reports whether an older list may be right about a live endpoint.
func (r *reportedEndpoints) trusts(route Route) bool {
	if r.live == nil {
		return !slices.Contains(r.removed, route.Addr)
	}
	return r.live.has(route)
}

// restore sets what the previous incarnation stored in its snapshot.
func (r *reportedEndpoints) restore(live []byte, removed []string) {
	r.live, r.removed = decodeEndpointSet(live), removed
	if r.live == nil && mayLackNames(removed) { // of an earlier release
		r.live = endpointSet{}
	}
}

// resume sets what the predecessor of a hot restart had. Its route table is as the registry reported it,
// so that a checkpoint of an earlier release, which has no set, lacks nothing.
func (r *reportedEndpoints) resume(checkpoint *Checkpoint) {
	r.live, r.removed = decodeEndpointSet(checkpoint.LiveEndpoints), checkpoint.Draining
	r.unsaved = true // the predecessor may not have saved it
}

// HasEarlierReport reports whether an earlier incarnation has left what the registry reported, by which an
// older list is corrected. Any goroutine may call it.
func (s *Sender) HasEarlierReport() bool { return s.hasEarlierReport }

// mayLackNames reports whether names of removed endpoints may have been dropped.
func mayLackNames(removed []string) bool {
	return len(removed) >= maxRemovedNames || totalBytes(removed) > maxRemovedBytes/2
}

func totalBytes(names []string) (size int) {
	for _, name := range names {
		size += len(name)
	}
	return size
}

// endpointFingerprint is a hash of all that identifies an endpoint: its name, protocol, address,
// destination, machine type and zone.
type endpointFingerprint uint64

func fingerprintOf(route Route) endpointFingerprint {
	sum := fnv.New64a()
	for _, field := range []string{
		route.Addr, route.Protocol, route.Dial, strconv.FormatInt(route.Destination, 10), route.MachineType, route.Zone,
	} {
		writeField(sum, field)
	}
	return endpointFingerprint(sum.Sum64())
}

// writeField adds a field to a hash, with its length: two fields must not equal two others joined.
func writeField(sum hash.Hash, field string) {
	length := binary.LittleEndian.AppendUint32(nil, uint32(len(field)))
	_, _ = sum.Write(length)
	_, _ = io.WriteString(sum, field)
}

// endpointSet is a set of endpoints with all that identifies them. One that has another address or
// destination now is another endpoint.
type endpointSet map[endpointFingerprint]struct{}

// newEndpointSet returns the set of the live endpoints in a route table.
func newEndpointSet(routes map[string]Route) endpointSet {
	set := endpointSet{}
	for _, route := range routes {
		if route.State == scheduler.StatusLive {
			set[fingerprintOf(route)] = struct{}{}
		}
	}
	return set
}

func (s endpointSet) has(route Route) bool {
	_, ok := s[fingerprintOf(route)]
	return ok
}

// The stored form of an endpointSet: its fingerprints, in ascending order.
const (
	fingerprintBytes = 8

	// maxStoredEndpoints limits the endpoints in a snapshot.
	maxStoredEndpoints = 1024
)

// encode returns the stored form of at most limit endpoints, nil for a nil set.
func (s endpointSet) encode(limit int) []byte {
	if s == nil {
		return nil
	}
	fingerprints := slices.Sorted(maps.Keys(s))
	encoded := make([]byte, 0, fingerprintBytes*len(fingerprints))
	for _, fingerprint := range fingerprints[:min(limit, len(fingerprints))] {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(fingerprint))
	}
	return encoded
}

// decodeEndpointSet is the inverse of encode. Bytes behind the last whole fingerprint are ignored.
func decodeEndpointSet(encoded []byte) endpointSet {
	if encoded == nil {
		return nil
	}
	set := endpointSet{}
	for fingerprint := range slices.Chunk(encoded, fingerprintBytes) {
		if len(fingerprint) == fingerprintBytes {
			set[endpointFingerprint(binary.LittleEndian.Uint64(fingerprint))] = struct{}{}
		}
	}
	return set
}
