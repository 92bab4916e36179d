package scheduler

import (
	"cmp"
	"slices"

	"brackendale/internal/limits"
)

const (
	peerHintMaxUs = 60_000_000    // maximum validity of information from another sender
	quotaPeriodUs = 1_000_000_000 // period over which a quota counts calls
	quotaBurstUs  = 100_000       // the burst is the quota of this time
)

// Health is the health of a destination, as this sender reports it to other senders.
type Health struct {
	Destination  int64
	Unavailable  bool
	Recovering   bool  // in slow start
	HasPending   bool  // messages are pending for it
	HasCalls     bool  // calls to it are in flight
	RetryAfterUs int64 // remaining time of its Retry-After
	RecoveringUs int64 // time since the start of its slow start
}

// quotaLimit is this sender's assigned share of a limit that the members of its group share. It applies
// in addition to the route's token bucket.
type quotaLimit struct {
	bucket    *limits.Bucket
	quota     int64 // calls per quotaPeriodUs
	evenQuota int64 // the quota that applies after until
	until     int64
	expired   bool
}

// handleControlEvent processes events from other senders and from the process, and outcomes of messages
// that have been dropped.
func (s *Scheduler) handleControlEvent(event *Event) {
	switch event.Kind {
	case ShutdownStarted:
		s.shutdownAt = event.Deadline
	case AttemptFinished: // its Retry-After applies nevertheless
		if ep := s.endpoints[event.Endpoint]; ep != nil {
			s.applyRetryAfter(ep.route, ep.route.destination, event)
		}
	case QuotaAssigned:
		s.assignQuota(event)
	case RetryAfterShared:
		rt := s.destination(event.Destination).route
		rt.retryAfterUntil = max(rt.retryAfterUntil, s.peerDeadline(event))
	case ProbeDelegated:
		s.destination(event.Destination).route.probe.delegatedUntil = s.peerDeadline(event)
	case RecoveryObserved:
		s.advanceProbe(s.destination(event.Destination).route)
	}
}

// peerDeadline returns the time until which an event from another sender is valid.
func (s *Scheduler) peerDeadline(event *Event) int64 {
	return min(event.Deadline, s.now+peerHintMaxUs)
}

// advanceProbe schedules an early probe attempt to a route that has responded to another sender. The
// route becomes available only by a success of this sender's own attempt.
func (s *Scheduler) advanceProbe(rt *route) {
	if !rt.health.unavailable || rt.probe.delegatedUntil == 0 {
		return
	}
	rt.probe.delegatedUntil = 0
	rt.probe.nextAt = min(rt.probe.nextAt, s.now+int64(s.rng.Float64()*float64(probeIntervalMinUs)))
}

// Health returns the destinations that are not healthy. Endpoints with their own limits are omitted.
func (s *Scheduler) Health(now int64) (list []Health) {
	for id, dest := range s.destinationByID {
		rt := dest.route
		health := Health{
			Destination:  id,
			Unavailable:  rt.health.unavailable,
			Recovering:   !rt.health.unavailable && now < rt.gate.Until,
			HasPending:   len(dest.pending) > 0,
			HasCalls:     len(rt.calls) > 0,
			RetryAfterUs: max(0, rt.retryAfterUntil-now),
		}
		if health.Recovering {
			health.RecoveringUs = max(0, s.settings.Rules.SlowStartUs-(rt.gate.Until-now))
		}
		if health.Unavailable || health.Recovering || health.RetryAfterUs > 0 {
			list = append(list, health)
		}
	}
	slices.SortFunc(list, func(a, b Health) int { return cmp.Compare(a.Destination, b.Destination) })
	return list
}

// assignQuota applies a QuotaAssigned event.
func (s *Scheduler) assignQuota(event *Event) {
	rt := s.destination(event.Destination).route
	if rt.quota == nil {
		rt.quota = &quotaLimit{bucket: limits.NewBucket(s.now, 1, quotaPeriodUs, 1)}
	}
	rt.quota.quota = event.Quota
	rt.quota.evenQuota = event.EvenQuota
	rt.quota.until = event.Deadline
	rt.quota.apply(s.now)
}

// apply sets the bucket to the quota that applies now.
func (q *quotaLimit) apply(now int64) {
	rate := q.quota
	q.expired = now >= q.until
	if q.expired {
		rate = q.evenQuota
	}
	q.bucket.SetRate(now, rate, quotaPeriodUs, rate*quotaBurstUs/quotaPeriodUs)
}

// admittedByPeers reports whether the limits that are shared with other senders allow a call now, and if
// not, when they will.
func (rt *route) admittedByPeers(now int64) (bool, int64) {
	if now < rt.firstCallAt { // mass restart
		return false, rt.firstCallAt
	}
	if rt.health.unavailable && now < rt.probe.delegatedUntil {
		return false, rt.probe.delegatedUntil
	}
	if rt.quota == nil {
		return true, 0
	}
	if now >= rt.quota.until && !rt.quota.expired {
		rt.quota.apply(now)
	}
	at := rt.quota.bucket.AvailableAt(now, 1)
	return at <= now, at
}

// takeQuota charges a call to the route's quota.
func (rt *route) takeQuota(now int64) {
	if rt.quota != nil {
		rt.quota.bucket.Take(now, 1)
	}
}
