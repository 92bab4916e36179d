package sender

// The watermarks of backpressure, as fractions of a limit. Backpressure turns on when a fill level
// reaches the high watermark and turns off when no level is above the low one. The gap keeps a level
// that oscillates around one watermark from switching backpressure at every step.
const (
	highWatermark = 0.9
	lowWatermark  = 0.7
)

// backpressure records whether clients are asked to hold back.
type backpressure struct {
	on     bool
	reason string // empty: it is off
}

// fillLevel is how full a resource is, from 0 to 1.
type fillLevel struct {
	resource string // as a reason to show to clients
	fraction float64
}

// update takes the fill levels after a step and reports whether backpressure has changed.
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

// updateBackpressure notifies the ingresses that listen to backpressure if it has changed.
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
	for name, ingress := range s.ingresses {
		if listener, ok := ingress.(BackpressureListener); ok {
			s.log.Info().Str("front", name).Bool("on", on).Str("why", reason).
				Msg("backpressure changed: clients are asked to hold back while it is on")
			s.enqueueCall(func() { listener.SetBackpressure(on, reason) })
		}
	}
}
