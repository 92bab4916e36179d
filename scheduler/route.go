package scheduler

import (
	"fmt"
	"math"

	"brackendale/internal/quota"
)

const (
	arrivalRateDecayUs = 8_000_000 // time constant of the mean arrival rates, and of what counts as lately
	demandDrainUs      = 2_000_000 // within which a sender would send its pending messages
	never              = math.MaxInt64
)

// destination is what messages are for. Its endpoints share one route, or have one each.
type destination struct {
	id            int64
	index         int // by first mention
	endpoints     []*endpoint
	route         *route
	pending       []*message
	callsInFlight int

	arrivalRate    float64 // messages a second, as of arrivalRateAt
	arrivalRateAt  int64
	nextDispatchAt int64 // when something pending may become sendable
	nextCandidate  candidate
}

// route is what one limit, rate and health state belong to: a destination, or one endpoint of it.
type route struct {
	name        string
	destination *destination
	calls       []*call // in flight, oldest first
	maxInFlight int

	bucket          tokenBucket
	throughput      throughput
	latency         latencyEstimate
	health          healthState
	probe           probeState
	slowStart       slowStartState
	advertisedLimit quota.Limit
	capacityHint    float64     // calls a second, this sender's part; 0: none
	quota           *quotaLimit // nil: no other sender has assigned one

	retryAfterUntil int64
	firstCallAt     int64 // no call of this incarnation leaves before
	lastSuccessAt   int64
	lastSendAt      int64
	lastOutcomeAt   int64
	overtakenUntil  int64 // an answer has overtaken the calls sent by then
}

// endpoint is one address of a destination.
type endpoint struct {
	Endpoint
	route    *route
	live     bool // it may get attempts
	listed   bool // the current list names it
	ownLimit bool // it has a route of its own

	zoneFee          float64
	randomPreference float64 // drawn once: which endpoints this sender prefers among many senders
	messagesPerCall  int

	callsInFlight int
	currentCall   *call // the one that this round's messages join
	lastSuccessAt int64
	connections   connectionState
	failures      []failureStreak // failed connects, rejections, then failures of each class
}

// newRoute makes a route of which nothing is known.
func newRoute(name string, dest *destination) *route {
	rt := &route{name: name, destination: dest}
	rt.maxInFlight, rt.probe.intervalUs = 1, probeIntervalMinUs
	return rt
}

// destination is the destination of an id; it is made where there is none yet.
func (s *Scheduler) destination(id int64) *destination {
	dest := s.destinationByID[id]
	if dest == nil {
		dest = &destination{id: id, index: len(s.destinations)}
		dest.route = newRoute(fmt.Sprint("destination ", id), dest)
		s.destinationByID[id] = dest
		s.destinations = append(s.destinations, dest)
	}
	return dest
}

// arrivalRate is the rate, in messages a second, at which messages for a route arrive.
func (s *Scheduler) arrivalRate(rt *route) float64 {
	dest := rt.destination
	rate := dest.arrivalRate * math.Exp(float64(dest.arrivalRateAt-s.now)/arrivalRateDecayUs)
	if rt != dest.route {
		rate /= float64(max(1, len(dest.endpoints)))
	}
	return rate
}

// arrivalRateNow is a destination's arrival rate at a time, in messages a second.
func (dest *destination) arrivalRateNow(now int64) float64 {
	return dest.arrivalRate * math.Exp(float64(min(0, dest.arrivalRateAt-now))/arrivalRateDecayUs)
}

// ArrivalRate is how many messages arrive a second for all destinations, as a decaying mean.
func (s *Scheduler) ArrivalRate(now int64) (perSecond float64) {
	for _, dest := range s.destinations {
		perSecond += dest.arrivalRateNow(now)
	}
	return perSecond
}

// Demand is how many calls in 1,000 s this sender would send to a destination: what arrives, and
// what is pending within demandDrainUs.
func (s *Scheduler) Demand(now, destination int64) int64 {
	dest := s.destinationByID[destination]
	if dest == nil {
		return 0
	}
	return int64(1000 * (dest.arrivalRateNow(now) + float64(len(dest.pending))*1e6/demandDrainUs))
}
