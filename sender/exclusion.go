package sender

import (
	"errors"

	"brackendale/scheduler"
)

// ErrUnknownEndpoint reports that an endpoint was never in an endpoint list.
var ErrUnknownEndpoint = errors.New("no such target was ever listed")

// Exclude excludes an endpoint from new attempts, whatever the registry reports and across restarts;
// with excluded false it ends the exclusion, and the endpoint gets a slow start. done is called on
// Run's goroutine once the change is durable, or with an error: ErrHandedOver, ErrUnknownEndpoint or
// journal.ErrFull. Repeated calls are harmless. Any goroutine may call it.
func (s *Sender) Exclude(endpoint string, excluded bool, done func(error)) {
	s.Post(func() { s.exclude(endpoint, excluded, done) })
}

func (s *Sender) exclude(endpoint string, excluded bool, done func(error)) {
	if s.handedOver() {
		done(ErrHandedOver)
		return
	}
	wasExcluded := s.journal.Excluded(endpoint)
	if !wasExcluded && !s.knownEndpoints.has(endpoint) {
		done(ErrUnknownEndpoint)
		return
	}
	if err := s.journal.SetExcluded(endpoint, excluded); err != nil {
		done(err)
		return
	}
	s.onFlushed = append(s.onFlushed, done)
	if wasExcluded == excluded {
		return
	}
	s.log.Info().Str("target", endpoint).Bool("out", excluded).
		Msg("the operator excluded an endpoint from new attempts, or included it again")
	if route, ok := s.routes[endpoint]; ok {
		route.SlowStart = !excluded
		s.applyRoutes(scheduler.UpdatePatch, []Route{route})
	}
}
