package scheduler

import (
	"cmp"
	"slices"

	"brackendale/internal/limits"
)

const (
	peerHintMaxUs = 60_000_000    // what another sender tells counts for no longer
	quotaPeriod   = 1_000_000_000 // microseconds over which a quota counts calls
	quotaBurstUs  = 100_000       // tokens of a quota are saved for this time
)

// Health is what this sender tells others of a destination.
type Health struct {
	Destination  int64
	Unavailable  bool
	Recovering   bool  // in slow start
	HasPending   bool  // messages wait for it
	RetryAfterUs int64 // what is left of its Retry-After
	RecoveringUs int64 // for how long it has been in slow start
}

// quotaLimit is this sender's part of a limit that senders side by side share. It binds beside the
// token bucket of the route.
type quotaLimit struct {
	bucket    *limits.Bucket
	quota     int64 // calls in a quotaPeriod
	evenQuota int64 // what counts after until
	until     int64
	expired   bool
}

// handleControlEvent takes up events of other senders and of the process, and outcomes of messages
// that are not known any more.
func (s *Scheduler) handleControlEvent(event *Event) {
	switch event.Kind {
	case ShutdownStarted:
		s.shutdownAt = event.Deadline
	case AttemptFinished: // its Retry-After binds all the same
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
		s.probeSoon(s.destination(event.Destination).route)
	}
}

// peerDeadline is until when an event of another sender counts.
func (s *Scheduler) peerDeadline(event *Event) int64 {
	return min(event.Deadline, s.now+peerHintMaxUs)
}

// probeSoon lets this sender probe a route that has answered another one. Its own probe decides
// whether the route is available to it.
func (s *Scheduler) probeSoon(rt *route) {
	if !rt.health.unavailable || rt.probe.delegatedUntil == 0 {
		return
	}
	rt.probe.delegatedUntil = 0
	rt.probe.nextAt = min(rt.probe.nextAt, s.now+int64(s.rng.Float64()*float64(probeGapMinUs)))
}

// Health lists the destinations that are not healthy. Endpoints with limits of their own are left out.
func (s *Scheduler) Health(now int64) (list []Health) {
	for id, dest := range s.destinationByID {
		rt := dest.route
		health := Health{
			Destination:  id,
			Unavailable:  rt.health.unavailable,
			Recovering:   !rt.health.unavailable && now < rt.slowStart.until,
			HasPending:   len(dest.pending) > 0,
			RetryAfterUs: max(0, rt.retryAfterUntil-now),
		}
		if health.Recovering {
			health.RecoveringUs = max(0, s.settings.Rules.SlowStartUs-(rt.slowStart.until-now))
		}
		if health.Unavailable || health.Recovering || health.RetryAfterUs > 0 {
			list = append(list, health)
		}
	}
	slices.SortFunc(list, func(a, b Health) int { return cmp.Compare(a.Destination, b.Destination) })
	return list
}

// assignQuota takes up a QuotaAssigned event.
func (s *Scheduler) assignQuota(event *Event) {
	rt := s.destination(event.Destination).route
	if rt.quota == nil {
		rt.quota = &quotaLimit{bucket: limits.NewBucket(s.now, 1, quotaPeriod, 1)}
	}
	rt.quota.quota = event.Quota
	rt.quota.evenQuota = event.EvenQuota
	rt.quota.until = event.Deadline
	rt.quota.apply(s.now)
}

// apply sets the bucket to the quota that counts now.
func (q *quotaLimit) apply(now int64) {
	rate := q.quota
	q.expired = now >= q.until
	if q.expired {
		rate = q.evenQuota
	}
	q.bucket.SetRate(now, rate, quotaPeriod, rate*quotaBurstUs/quotaPeriod)
}

// admittedByPeers tells whether a call may leave beside the other senders' calls, and if not when
// it may.
func (rt *route) admittedByPeers(now int64) (bool, int64) {
	if now < rt.firstCallAt { // many senders restarted at once
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
