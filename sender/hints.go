package sender

import "brackendale/scheduler"

// Inject passes the scheduler events that other senders shared in hints. Any goroutine may call it.
func (s *Sender) Inject(events ...scheduler.Event) {
	if len(events) == 0 {
		return
	}
	s.Post(func() {
		if !s.handedOver() {
			s.addEvents(events...)
		}
	})
}

// Health calls done with the health of all destinations and with the demand for each of destinations:
// the calls per 1,000 s that the scheduler would send there. done is called on Run's goroutine and
// must not block. It is not called after a handover. Any goroutine may call Health.
func (s *Sender) Health(destinations []int64, done func(health []scheduler.Health, demands []int64)) {
	s.Post(func() {
		if s.handedOver() {
			return
		}
		now := int64(s.Now())
		demands := make([]int64, len(destinations))
		for i, destination := range destinations {
			demands[i] = s.scheduler.Demand(now, destination)
		}
		done(s.scheduler.Health(now), demands)
	})
}
