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
// the calls per 1,000 s that the scheduler would send there. After a handover that is the health as of
// then, without messages: what is left are calls in flight; demands is nil. done is called on Run's
// goroutine and must not block. Any goroutine may call Health.
func (s *Sender) Health(destinations []int64, done func(health []scheduler.Health, demands []int64)) {
	s.Post(func() {
		now := int64(s.Now())
		health := s.scheduler.Health(now)
		if s.handedOver() {
			for i := range health {
				health[i].HasPending = false
			}
			done(health, nil)
			return
		}
		demands := make([]int64, len(destinations))
		for i, destination := range destinations {
			demands[i] = s.scheduler.Demand(now, destination)
		}
		done(health, demands)
	})
}
