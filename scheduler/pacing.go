package scheduler

import (
	"cmp"
	"math"

	"brackendale/internal/quota"
)

// The token bucket of a route follows ATB of "Rethinking HTTP API Rate Limiting: A Client-Side
// Approach", Table III: DECREASE_RATE halves the rate and marks it, and each success raises it, by
// more below the mark than above. Rates are calls a second. The least rate and the least increase
// are those of all senders together.
const (
	minTotalRate          = 0.6        // calls a second, of all senders
	minRateShare          = 0.25       // least rate, as a share of the rate at which messages arrive
	minRateJitter         = 0.1        // share of the least rate
	minRateIncrease       = 1.2        // calls a second, of all senders
	rateGrowthBelowMark   = 1.12       // factor for a success
	rateGrowthAboveMark   = 1.03       // factor for a success
	rateClimbUs           = 4_000_000  // among many senders a low rate climbs e-fold in this time
	bucketSizeUs          = 400_000    // the bucket holds the tokens of this time, one at least
	sharedBucketTokens    = 2.0        // further tokens where many senders share an advertised limit
	tokenCostJitter       = 0.5        // tokens: a call costs up to so many more or less there
	limitHeadroomShare    = 0.5        // share of the limit left from which a rejection does not lower the rate
	throughputDecayUs     = 2_000_000  // time constant of the mean send and success rates
	idleResetUs           = 30_000_000 // an idle bucket does not limit any more
	inheritedRateGrowthUs = 1_000_000  // an inherited rate grows e-fold in this time
	unboundRate           = 1e6        // calls a second: a rate that limits nobody
)

// tokenBucket is the pace of a route, in calls a second.
type tokenBucket struct {
	limited     bool // without it calls need no token
	rate        float64
	rateMark    float64 // the rate before the last decrease
	tokens      float64
	refilledAt  int64
	decreasedAt int64

	// After a restart: the rate is the last incarnation's, with no rejection behind it, and the most
	// that this one sends until catchUpUntil is catchUpRate.
	inherited    bool
	catchUpRate  float64
	catchUpUntil int64
}

// throughput holds decaying means of calls a second.
type throughput struct {
	sendRate        float64
	sendRateAt      int64
	successRate     float64
	successRateAt   int64
	peakSuccessRate float64
}

// decay is the share of a mean rate that is left after a time.
func decay(us int64) float64 { return math.Exp(-float64(us) / throughputDecayUs) }

func (tp *throughput) sendRateNow(now int64) float64 {
	return tp.sendRate * decay(now-tp.sendRateAt)
}

func (tp *throughput) successRateNow(now int64) float64 {
	return tp.successRate * decay(now-tp.successRateAt)
}

func (tp *throughput) recordSend(now int64) {
	tp.sendRate = tp.sendRateNow(now) + 1e6/throughputDecayUs
	tp.sendRateAt = now
}

func (tp *throughput) recordSuccess(now int64) {
	tp.successRate = tp.successRateNow(now) + 1e6/throughputDecayUs
	tp.successRateAt = now
	tp.peakSuccessRate = max(tp.peakSuccessRate*0.995, tp.successRate)
}

// increaseRate raises the rate for a success.
func (s *Scheduler) increaseRate(rt *route) {
	bucket := &rt.bucket
	if !bucket.limited {
		return
	}
	s.refillBucket(rt)
	growth := rateGrowthBelowMark
	if bucket.rate >= bucket.rateMark {
		growth = rateGrowthAboveMark
	}
	bucket.rate = min(max(bucket.rate+minRateIncrease/s.senders, bucket.rate*growth), s.maxRate(rt))
}

// decreaseRate is the paper's DECREASE_RATE, once for all calls that had left before the last decrease.
func (s *Scheduler) decreaseRate(rt *route, call *call) {
	s.dropInheritedRate(rt)
	bucket := &rt.bucket
	least := s.leastRate(rt, call.endpoint.MachineType)
	if !bucket.limited {
		arriving, sent := s.arrivalRate(rt), rt.throughput.sendRateNow(s.now)
		start := sent + (min(arriving, sent)-sent)*s.crowding
		bucket.limited = true
		bucket.rate = max(least, start, 2*s.backlogRate(rt)) // halved below
	} else if call.sentAt <= bucket.decreasedAt {
		return
	}
	if s.hasSharedLimit(rt) {
		least = rt.advertisedLimit.MinRate(s.senders)
		bucket.rate = min(bucket.rate, s.maxRate(rt))
	}
	bucket.rateMark = bucket.rate
	bucket.rate = max(least*(1+minRateJitter*(2*s.rng.Float64()-1)), bucket.rate/2)
	bucket.decreasedAt = s.now
	s.randomizeTokens(rt)
}

// leastRate is the rate below which a route without a shared limit is not slowed down.
func (s *Scheduler) leastRate(rt *route, machineType string) float64 {
	low, high := s.arrivalRate(rt), max(rt.capacityHint, rt.throughput.peakSuccessRate)
	if rt.capacityHint > 0 {
		low = min(low, rt.capacityHint)
	}
	return max(minTotalRate/s.senders, minRateShare*(high+(low-high)*s.crowding),
		min(1, 1/cmp.Or(s.retrySpread[machineType], 1))*rt.capacityHint*s.crowding)
}

// takeToken pays for a call. The cost varies where many senders follow the same answers, so that
// they do not send in step.
func (s *Scheduler) takeToken(rt *route) {
	rt.bucket.tokens = max(0, rt.bucket.tokens-1)
	if s.hasSharedLimit(rt) {
		rt.bucket.tokens += s.crowding * tokenCostJitter * (2*s.rng.Float64() - 1)
	}
}

// admittedByBucket tells whether a route has a token for a call, and if not when it will.
func (s *Scheduler) admittedByBucket(rt *route) (bool, int64) {
	bucket := &rt.bucket
	if !bucket.limited {
		return true, 0
	}
	idle := s.now-rt.lastSendAt > idleResetUs && !rt.health.unavailable && len(rt.calls) == 0
	bucket.limited = !idle
	s.refillBucket(rt)
	if idle || bucket.tokens >= 1-1e-6 {
		return true, 0
	}
	return false, s.now + int64((1-bucket.tokens)/bucket.rate*1e6) + 1
}

// refillBucket adds the tokens of the time since the last refill, and lets the rate climb with time.
func (s *Scheduler) refillBucket(rt *route) {
	bucket := &rt.bucket
	size := max(1, bucket.rate*bucketSizeUs/1e6)
	if s.hasSharedLimit(rt) && bucket.rate > rt.advertisedLimit.MinRate(s.senders) {
		size += s.crowding * sharedBucketTokens
	}
	us := float64(s.now - bucket.refilledAt)
	s.raiseInheritedRate(rt, us)
	bucket.tokens = min(size, bucket.tokens+bucket.rate*us/1e6)
	s.climbRate(rt, us)
	bucket.refilledAt = s.now
}

// climbRate raises a low rate with time: among many senders one sender's successes are too few to do so.
func (s *Scheduler) climbRate(rt *route, us float64) {
	bucket := &rt.bucket
	arriving := s.arrivalRate(rt) * s.recovery.MeanBiasCorrection(s.now-s.startedAt, arrivalRateDecayUs)
	noSuccess := int(boolToFloat(s.now-rt.throughput.successRateAt > arrivalRateDecayUs))
	top := math.Ldexp(arriving, -rt.health.consecutiveRejections-noSuccess)
	if s.hasSharedLimit(rt) {
		top = s.maxRate(rt)
		bucket.rate = min(bucket.rate, top)
	}
	if bucket.rate < top {
		bucket.rate = min(top, bucket.rate*math.Exp(us/rateClimbUs*s.crowding))
	}
}

// randomizeTokens puts the next token of a route at a random moment within the time of one, so that
// many senders that were stopped at once do not send at once. Where they share a limit the mean is
// zero: otherwise rejected calls alone could use the limit up.
func (s *Scheduler) randomizeTokens(rt *route) {
	rt.bucket.tokens = s.rng.Float64() * s.crowding
	rt.bucket.refilledAt = s.now
	if s.hasSharedLimit(rt) {
		rt.bucket.tokens -= s.crowding / 2
	}
}

// hasSharedLimit tells whether answers advertise a limit of the route that many senders share.
func (s *Scheduler) hasSharedLimit(rt *route) bool {
	return s.crowding > 0 && rt.advertisedLimit.Known()
}

// maxRate is the most that this sender should send: its part of the advertised limit, which binds
// the less the fewer the senders are, and after a restart the rate of catching up.
func (s *Scheduler) maxRate(rt *route) float64 {
	most := math.Inf(1)
	if s.now < rt.bucket.catchUpUntil {
		most = rt.bucket.catchUpRate
	}
	if s.crowding == 0 {
		return most
	}
	return min(most, max(minTotalRate/s.senders, rt.advertisedLimit.MaxRate(s.now, s.senders)/s.crowding))
}

// startSharedBucket begins the bucket of a route whose limit an answer has advertised, with the
// tokens of an idle one. One of many senders that have restarted at once has saved no tokens.
func (s *Scheduler) startSharedBucket(rt *route) {
	rt.bucket.limited = true
	rt.bucket.rate = s.maxRate(rt)
	rt.bucket.tokens = 1 + s.crowding*sharedBucketTokens
	rt.bucket.refilledAt = s.now
	if rt.firstCallAt > 0 {
		s.randomizeTokens(rt)
	}
}

// backlogRate is the rate, in calls a second, that sends in time what the last incarnation had
// accepted and not sent: twice the rate that just does. 0 once the route has answered.
func (s *Scheduler) backlogRate(rt *route) float64 {
	count, seconds := 0.0, 0.0
	for _, msg := range rt.destination.pending {
		if msg.acceptedAt == 0 && msg.attempts == 0 {
			count++
			seconds += float64(max(s.settings.TickUs, s.lastSendTime(msg)-s.now)) / 1e6
		}
	}
	if rt.latency.samples > 0 || count == 0 {
		return 0
	}
	rate := 2 * count * count / seconds
	if rt != rt.destination.route {
		rate /= float64(max(1, len(rt.destination.endpoints)))
	}
	return rate
}

// raiseInheritedRate raises with time a rate that only the last incarnation's low traffic explains.
// A rejection ends this.
func (s *Scheduler) raiseInheritedRate(rt *route, us float64) {
	bucket := &rt.bucket
	over := float64(s.now - bucket.catchUpUntil)
	if bucket.inherited && over > 0 && bucket.decreasedAt == 0 {
		bucket.rate = min(unboundRate, bucket.rate*math.Exp(min(us, over)/inheritedRateGrowthUs))
	}
}

// dropInheritedRate replaces, at the first rejection, the rate of the last incarnation by what this
// one has sent and seen.
func (s *Scheduler) dropInheritedRate(rt *route) {
	if rt.bucket.catchUpUntil > 0 && rt.bucket.decreasedAt == 0 {
		rt.bucket.limited = false
		rt.throughput.peakSuccessRate = min(rt.throughput.peakSuccessRate, rt.throughput.successRateNow(s.now))
	}
}

// dropInheritedLimit forgets a limit that only the last incarnation saw advertised: after a success
// without one nothing would correct it.
func (rt *route) dropInheritedLimit() {
	if rt.advertisedLimit.Known() && rt.advertisedLimit.State()[2] == 0 {
		rt.advertisedLimit, rt.capacityHint = quota.Limit{}, 0
	}
}
