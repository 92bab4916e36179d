package sender

import (
	"slices"
	"time"

	"brackendale/scheduler"
)

// drainingEndpoints are the endpoints that the registry reported as draining or removed, the latest
// last. They are kept across restarts: the endpoint list in a configuration may be older than the
// updates that the previous incarnation received, and discovery may be unresponsive when this one
// starts.
type drainingEndpoints struct {
	names   []string
	unsaved bool // changed since the last snapshot
}

// The limits of drainingEndpoints, which drops the oldest names: endpoints get new names all the
// time, and an older list has few of the removed ones.
const (
	maxDrainingNames = 256
	maxDrainingBytes = 8 << 10
)

// update records the status of an endpoint in an update from the registry.
func (d *drainingEndpoints) update(route Route) {
	index := slices.Index(d.names, route.Addr)
	recorded, drains := index >= 0, route.State != scheduler.StatusLive
	if recorded == drains {
		return
	}
	d.unsaved = true
	if recorded {
		d.names = slices.Delete(d.names, index, index+1)
		return
	}
	d.names = append(d.names, route.Addr)
	size := 0
	for _, name := range d.names {
		size += len(name)
	}
	for len(d.names) > maxDrainingNames || size > maxDrainingBytes {
		size -= len(d.names[0])
		d.names = slices.Delete(d.names, 0, 1)
	}
}

// correct returns a route of an older list, as draining if it is recorded as draining or removed.
func (d *drainingEndpoints) correct(route Route) Route {
	if route.State == scheduler.StatusLive && slices.Contains(d.names, route.Addr) {
		route.State = scheduler.StatusDraining
	}
	return route
}

// Downtime returns an upper bound of the time for which no process of this sender received updates of
// the endpoint list before this one started; ok is false if it is unknown. A process that writes its
// journal is taken to receive the updates. If no process has written a journal before, the endpoint
// list is as old as this process and the downtime is 0.
func (s *Sender) Downtime() (downtime time.Duration, ok bool) {
	if s.journal.IsNew() {
		return 0, true
	}
	lastWrite, ok := s.journal.LastWriteAt()
	return s.startInstant.Sub(lastWrite), ok
}
