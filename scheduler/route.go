package scheduler

import (
	"fmt"
	"math"

	"brackendale/internal/portablemath"
	"brackendale/internal/quota"
	"brackendale/internal/slowstart"
)

const (
	arrivalRateDecayUs = 8_000_000     // time constant of the mean arrival rates and of recent failures
	demandDrainUs      = 2_000_000     // time within which a sender would send its pending messages
	never              = math.MaxInt64 // a time that is not reached
)

// destination is the receiver to which messages are addressed. Its endpoints share one route, or have
// one each.
type destination struct {
	id            int64
	index         int // in Scheduler.destinations
	endpoints     []*endpoint
	route         *route
	pending       []*message
	callsInFlight int

	arrivalRate    float64 // messages per second, as of arrivalRateAt
	arrivalRateAt  int64
	nextDispatchAt int64 // earliest time at which a pending message may become sendable
	nextCandidate  candidate
}

// route holds the limit, rate and health state of a destination, or of one of its endpoints.
type route struct {
	name         string
	destination  *destination
	endpointAddr string  // of the only endpoint; empty: the destination's endpoints share the route
	calls        []*call // calls in flight, oldest first
	maxInFlight  int

	bucket          tokenBucket
	throughput      throughput
	latency         latencyEstimate
	health          healthState
	probe           probeState
	gate            slowstart.Gate
	phaseLog        phaseLog
	advertisedLimit quota.Limit
	capacityHint    float64     // calls per second, this sender's share; 0: none
	quota           *quotaLimit // nil: no other sender has assigned one

	retryAfterUntil int64
	firstCallAt     int64 // no call of this incarnation is sent earlier
	lastSuccessAt   int64
	lastSendAt      int64
	lastOutcomeAt   int64 // of outcomes that involve the endpoint
	overtakenUntil  int64 // calls sent by then were overtaken: a call sent later had its response first
}

// endpoint is one address of a destination.
type endpoint struct {
	Endpoint
	route  *route
	live   bool // it may get attempts
	listed bool // the current endpoint list contains it
	// superseded means that another endpoint has its address now; it remains until its calls have ended.
	superseded bool
	ownLimit   bool // it has its own route

	zoneFee          float64
	randomPreference float64 // drawn once; makes each of many senders prefer other endpoints
	messagesPerCall  int

	callsInFlight int
	currentCall   *call // the call started last; messages sent in the same step join it
	lastSuccessAt int64
	connections   connectionState
	failures      []failureStreak // failed connects, rejections, then the failures of each class
}

// newRoute returns a route without any state.
func newRoute(name string, dest *destination) *route {
	rt := &route{name: name, destination: dest}
	rt.maxInFlight, rt.probe.intervalUs = 1, probeIntervalMinUs
	return rt
}

// destination returns the destination with an id and adds it if it does not exist.
func (s *Scheduler) destination(id int64) *destination {
	dest := s.destinationByID[id]
	if dest == nil {
		dest = &destination{id: id, index: len(s.destinations)}
		dest.route = newRoute(fmt.Sprint("destination ", id), dest)
		dest.route.retryAfterUntil = s.pendingOtherRetryAfter()
		s.destinationByID[id] = dest
		s.destinations = append(s.destinations, dest)
	}
	return dest
}

// arrivalRate returns the rate, in messages per second, at which messages for a route arrive.
func (s *Scheduler) arrivalRate(rt *route) float64 {
	dest := rt.destination
	rate := dest.arrivalRate * portablemath.Exp(float64(dest.arrivalRateAt-s.now)/arrivalRateDecayUs)
	if rt != dest.route {
		rate /= float64(max(1, len(dest.endpoints)))
	}
	return rate
}

// arrivalRateNow returns a destination's arrival rate at a time, in messages per second.
func (dest *destination) arrivalRateNow(now int64) float64 {
	return dest.arrivalRate * portablemath.Exp(float64(min(0, dest.arrivalRateAt-now))/arrivalRateDecayUs)
}

// ArrivalRate returns the number of messages per second that arrive for all destinations, as a decaying mean.
func (s *Scheduler) ArrivalRate(now int64) (perSecond float64) {
	for _, dest := range s.destinations {
		perSecond += dest.arrivalRateNow(now)
	}
	return perSecond
}

// Demand returns the number of calls per 1,000 s that this sender would send to a destination: at the
// rate of arriving messages, plus the rate that sends the pending ones within demandDrainUs.
func (s *Scheduler) Demand(now, destination int64) int64 {
	dest := s.destinationByID[destination]
	if dest == nil {
		return 0
	}
	return int64(1000 * (dest.arrivalRateNow(now) + float64(len(dest.pending))*1e6/demandDrainUs))
}
