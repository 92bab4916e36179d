package sender

// The marks of backpressure, as shares of a bound: a fill level over the high one turns it on,
// until all are under the low one. The gap keeps a level that swings around one mark from turning
// it on and off at every step.
const (
	highWatermark = 0.9
	lowWatermark  = 0.7
)

// backpressure is whether clients should hold back.
type backpressure struct {
	on     bool
	reason string
}

// fillLevel is how full a resource is, from 0 to 1.
type fillLevel struct {
	resource string
	fraction float64
}

// update takes the levels of one step and reports whether what clients should do has changed.
func (b *backpressure) update(levels ...fillLevel) (changed bool) {
	highest := fillLevel{}
	for _, level := range levels {
		if level.fraction > highest.fraction {
			highest = level
		}
	}
	switch {
	case !b.on && highest.fraction >= highWatermark:
		b.on, b.reason = true, highest.resource
		return true
	case b.on && highest.fraction <= lowWatermark:
		b.on, b.reason = false, ""
		return true
	}
	return false
}

// updateBackpressure tells the ingresses that listen where it has changed.
func (s *Sender) updateBackpressure() {
	pending, paused := 0.0, 0.0
	if limit := s.options.Settings.Limits.MaxMessages; limit > 0 {
		pending = float64(s.pending) / float64(limit)
	}
	if s.stats.Paused {
		paused = 1
	}
	if !s.backpressure.update(
		fillLevel{"the queue of pending messages is nearly full", pending},
		fillLevel{"the journal is nearly full", s.journal.FillLevel()},
		fillLevel{"paused by the operator", paused},
	) {
		return
	}
	on, reason := s.backpressure.on, s.backpressure.reason
	for name, in := range s.ingresses {
		if listener, ok := in.(BackpressureListener); ok {
			s.log.Info().Str("front", name).Bool("on", on).Str("why", reason).
				Msg("backpressure changed: clients are asked to hold back while it is on")
			s.enqueueCall(func() { listener.SetBackpressure(on, reason) })
		}
	}
}
