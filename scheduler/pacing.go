package scheduler

import (
	"cmp"
	"math"

	"brackendale/internal/portablemath"
	"brackendale/internal/quota"
)

// The token bucket of a route follows ATB of "Rethinking HTTP API Rate Limiting: A Client-Side
// Approach", Table III: DECREASE_RATE records the rate as the mark and halves it, and each success
// raises it, faster below the mark than above. Rates are in calls per second. The minimum rate and the
// minimum increase are those of all senders together.
const (
	minTotalRate          = 0.6        // calls per second, of all senders together
	minRateShare          = 0.25       // minimum rate, as a share of the arrival rate of messages
	minRateJitter         = 0.1        // as a share of the minimum rate
	minRateIncrease       = 1.2        // calls per second, of all senders together
	rateGrowthBelowMark   = 1.12       // factor per success
	rateGrowthAboveMark   = 1.03       // factor per success
	rateGrowthUs          = 4_000_000  // time in which a low rate of one of many senders grows by a factor of e
	bucketSizeUs          = 400_000    // the bucket holds the tokens of this time, at least one
	sharedBucketTokens    = 2.0        // additional bucket size where many senders share an advertised limit
	tokenCostJitter       = 0.5        // maximum deviation of a call's cost from one token, for such a limit
	limitHeadroomShare    = 0.5        // unused share of the limit from which a rejection does not lower the rate
	throughputDecayUs     = 2_000_000  // time constant of the mean send and success rates
	idleResetUs           = 30_000_000 // idle time after which the bucket no longer limits its route
	inheritedRateGrowthUs = 1_000_000  // time in which an inherited rate grows by a factor of e
	unlimitedRate         = 1e6        // calls per second: higher than any sender can send
)

// tokenBucket limits the rate of calls to a route.
type tokenBucket struct {
	limited     bool // if false, calls need no token
	rate        float64
	rateMark    float64 // the rate before the last decrease
	tokens      float64
	refilledAt  int64
	decreasedAt int64

	// After a restart.
	inherited    bool    // the rate follows from the previous incarnation's traffic, not from a rejection
	catchUpRate  float64 // maximum rate until catchUpUntil
	catchUpUntil int64
}

// throughput holds exponentially decaying means, in calls per second.
type throughput struct {
	sendRate        float64
	sendRateAt      int64
	successRate     float64
	successRateAt   int64
	peakSuccessRate float64
	sustainedRate   float64 // of successes, with the time constant of the arrival rates
	sustainedAt     int64
}

// decay returns the share of a mean rate that remains after a time.
func decay(us int64) float64 { return portablemath.Exp(-float64(us) / throughputDecayUs) }

func (tp *throughput) sendRateNow(now int64) float64 {
	return tp.sendRate * decay(now-tp.sendRateAt)
}

func (tp *throughput) successRateNow(now int64) float64 {
	return tp.successRate * decay(now-tp.successRateAt)
}

// sustainedRateNow returns the rate of successes over a longer time.
func (tp *throughput) sustainedRateNow(now int64) float64 {
	return tp.sustainedRate * portablemath.Exp(-float64(now-tp.sustainedAt)/arrivalRateDecayUs)
}

func (tp *throughput) recordSend(now int64) {
	tp.sendRate = tp.sendRateNow(now) + 1e6/throughputDecayUs
	tp.sendRateAt = now
}

func (tp *throughput) recordSuccess(now int64) {
	tp.sustainedRate = tp.sustainedRateNow(now) + 1e6/arrivalRateDecayUs
	tp.sustainedAt = now
	tp.successRate = tp.successRateNow(now) + 1e6/throughputDecayUs
	tp.successRateAt = now
	tp.peakSuccessRate = max(tp.peakSuccessRate*0.995, tp.successRate)
}

// increaseRate raises the rate after a success.
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

// decreaseRate is the paper's DECREASE_RATE. Rejections of calls that were sent before the last decrease do
// not lower the rate again.
func (s *Scheduler) decreaseRate(rt *route, call *call) {
	s.dropInheritedRate(rt)
	bucket := &rt.bucket
	lowestRate := s.minRate(rt, call.endpoint.MachineType)
	if !bucket.limited {
		arrivals, sends := s.arrivalRate(rt), rt.throughput.sendRateNow(s.now)
		initialRate := sends + (min(arrivals, sends)-sends)*s.contention
		bucket.limited = true
		bucket.rate = min(max(lowestRate, initialRate, 2*s.backlogRate(rt)), unlimitedRate) // halved below
	} else if call.sentAt <= bucket.decreasedAt {
		return
	}
	if s.hasSharedLimit(rt) {
		lowestRate = rt.advertisedLimit.MinRate(s.senders)
		bucket.rate = min(bucket.rate, s.maxRate(rt))
	}
	bucket.rateMark = bucket.rate
	lowestRate *= 1 + minRateJitter*(2*s.rng.Float64()-1)
	bucket.rate = min(max(lowestRate, bucket.rate/2), unlimitedRate)
	bucket.decreasedAt = s.now
	s.randomizeTokens(rt)
}

// minRate returns the minimum rate of a route without a shared limit.
func (s *Scheduler) minRate(rt *route, machineType string) float64 {
	lowEstimate, highEstimate := s.arrivalRate(rt), max(rt.capacityHint, rt.throughput.peakSuccessRate)
	if rt.capacityHint > 0 {
		lowEstimate = min(lowEstimate, rt.capacityHint)
	}
	return max(minTotalRate/s.senders, minRateShare*(highEstimate+(lowEstimate-highEstimate)*s.contention),
		min(1, 1/cmp.Or(s.retrySpread[machineType], 1))*rt.capacityHint*s.contention)
}

// takeToken charges a call to the bucket. The cost varies at random where many senders follow the same
// advertised limit, so that they do not synchronize.
func (s *Scheduler) takeToken(rt *route) {
	rt.bucket.tokens = max(0, rt.bucket.tokens-1)
	if s.hasSharedLimit(rt) {
		rt.bucket.tokens += s.contention * tokenCostJitter * (2*s.rng.Float64() - 1)
	}
}

// admittedByBucket reports whether a route has a token for a call, and if not, when it will have one.
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

// refillBucket adds the tokens for the time since the last refill and raises the rate for that time.
func (s *Scheduler) refillBucket(rt *route) {
	bucket := &rt.bucket
	size := max(1, bucket.rate*bucketSizeUs/1e6)
	if s.hasSharedLimit(rt) && bucket.rate > rt.advertisedLimit.MinRate(s.senders) {
		size += s.contention * sharedBucketTokens
	}
	elapsedUs := float64(s.now - bucket.refilledAt)
	s.raiseInheritedRate(rt, elapsedUs)
	bucket.tokens = min(size, bucket.tokens+bucket.rate*elapsedUs/1e6)
	s.raiseRateOverTime(rt, elapsedUs)
	bucket.refilledAt = s.now
}

// raiseRateOverTime raises a low rate with elapsed time, since one of many senders has too few successes
// to raise it.
func (s *Scheduler) raiseRateOverTime(rt *route, elapsedUs float64) {
	bucket := &rt.bucket
	arrivals := s.arrivalRate(rt) * s.recovery.MeanBiasCorrection(s.now-s.startedAt, arrivalRateDecayUs)
	noSuccess := int(boolToFloat(s.now-rt.throughput.successRateAt > arrivalRateDecayUs))
	limit := math.Ldexp(arrivals, -rt.health.consecutiveRejections-noSuccess)
	if s.hasSharedLimit(rt) {
		limit = s.maxRate(rt)
		bucket.rate = min(bucket.rate, limit)
	}
	if bucket.rate < limit {
		bucket.rate = min(limit, bucket.rate*portablemath.Exp(elapsedUs/rateGrowthUs*s.contention))
	}
}

// randomizeTokens sets the tokens of a route at random, so that its next token becomes available at a
// random time. Many senders that were stopped at the same time then do not resume at the same time.
// Where they share a limit the mean is zero, since otherwise rejected calls alone could exhaust the limit.
func (s *Scheduler) randomizeTokens(rt *route) {
	rt.bucket.tokens = s.rng.Float64() * s.contention
	rt.bucket.refilledAt = s.now
	if s.hasSharedLimit(rt) {
		rt.bucket.tokens -= s.contention / 2
	}
}

// hasSharedLimit reports whether responses advertise a limit of the route that many senders share.
func (s *Scheduler) hasSharedLimit(rt *route) bool {
	return s.contention > 0 && rt.advertisedLimit.Known()
}

// maxRate returns the maximum rate of this sender: its share of the advertised limit, relaxed the fewer
// senders there are, and after a restart also the catch-up rate. It is never above what a sender can send.
func (s *Scheduler) maxRate(rt *route) float64 {
	limit := unlimitedRate
	if s.now < rt.bucket.catchUpUntil {
		limit = min(limit, rt.bucket.catchUpRate)
	}
	if s.contention == 0 {
		return limit
	}
	return min(limit, max(minTotalRate/s.senders, rt.advertisedLimit.MaxRate(s.now, s.senders)/s.contention))
}

// startSharedBucket starts to limit a route whose limit a response has advertised. The bucket starts
// full, like that of an idle route. In a mass restart its tokens are random instead, since none of the
// senders has saved any.
func (s *Scheduler) startSharedBucket(rt *route) {
	rt.bucket.limited = true
	rt.bucket.rate = s.maxRate(rt)
	rt.bucket.tokens = 1 + s.contention*sharedBucketTokens
	rt.bucket.refilledAt = s.now
	if rt.firstCallAt > 0 {
		s.randomizeTokens(rt)
	}
}

// backlogRate returns the rate, in calls per second, at which the messages that earlier incarnations
// accepted and never sent are sent in time: twice the rate that would just suffice. It is 0 once the
// route has responded.
func (s *Scheduler) backlogRate(rt *route) float64 {
	count, seconds := 0.0, 0.0
	for _, msg := range rt.destination.pending {
		if msg.acceptedAt == 0 && msg.attempts == 0 {
			count++
			seconds += float64(max(s.settings.TickUs, s.sendDeadline(msg)-s.now)) / 1e6
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

// raiseInheritedRate raises, with elapsed time, a rate that is low only because the previous incarnation
// had little traffic. The first rejection ends this.
func (s *Scheduler) raiseInheritedRate(rt *route, elapsedUs float64) {
	bucket := &rt.bucket
	sinceCatchUpUs := float64(s.now - bucket.catchUpUntil)
	if bucket.inherited && sinceCatchUpUs > 0 && bucket.decreasedAt == 0 {
		bucket.rate = min(unlimitedRate, bucket.rate*portablemath.Exp(min(elapsedUs, sinceCatchUpUs)/inheritedRateGrowthUs))
	}
}

// dropInheritedRate discards, at the first rejection, the rate of the previous incarnation. What this
// incarnation has sent and measured replaces it.
func (s *Scheduler) dropInheritedRate(rt *route) {
	if rt.bucket.catchUpUntil > 0 && rt.bucket.decreasedAt == 0 {
		rt.bucket.limited = false
		rt.throughput.peakSuccessRate = min(rt.throughput.peakSuccessRate, rt.throughput.successRateNow(s.now))
	}
}

// dropInheritedLimit discards an advertised limit that only the previous incarnation observed. If a
// success advertises no limit, nothing would correct it.
func (rt *route) dropInheritedLimit() {
	if rt.advertisedLimit.Known() && rt.advertisedLimit.State()[2] == 0 {
		rt.advertisedLimit, rt.capacityHint = quota.Limit{}, 0
	}
}
