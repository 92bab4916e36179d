package sender

import (
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/scheduler"
)

// Stored values of journal.Terms.Idempotency.
const (
	storedIdempotent uint8 = iota + 1
	storedIdempotentByKey
	storedIdempotentByZoneKey // its key is known only in the zone of its first attempt
	storedNotIdempotent
)

// usPerMs is the number of microseconds in a millisecond.
const usPerMs = 1000

// termsOf returns the terms of a class in their stored form.
func termsOf(class scheduler.Class) journal.Terms {
	terms := journal.Terms{Idempotency: storedNotIdempotent}
	switch {
	case class.Idempotency == scheduler.Idempotent:
		terms.Idempotency = storedIdempotent
	case class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.KeyScopeZone:
		terms = journal.Terms{Idempotency: storedIdempotentByZoneKey, KeyWindowUs: class.KeyWindowUs}
	case class.Idempotency == scheduler.IdempotentByKey:
		terms = journal.Terms{Idempotency: storedIdempotentByKey, KeyWindowUs: class.KeyWindowUs}
	}
	terms.RetentionMs = (class.DeadlineUs + usPerMs - 1) / usPerMs
	return terms
}

// retention returns for how long after its deadline the id of a message must be recognized. For a message whose
// class is gone and that an earlier release accepted, it is the longest time of any class.
func (s *Sender) retention(entry *journal.Entry) time.Duration {
	if entry.Terms.RetentionMs != 0 {
		return time.Duration(entry.Terms.RetentionMs) * time.Millisecond
	}
	if class, ok := s.classes[entry.Class]; ok {
		return clock.Microseconds(class.DeadlineUs)
	}
	longest := int64(0)
	for _, class := range s.classes {
		longest = max(longest, class.DeadlineUs)
	}
	return clock.Microseconds(longest)
}

// acceptedClass returns the class of a message with the terms under which the message was accepted: the
// settings may have changed since. Of a message whose terms were not recorded, those of the present
// settings apply; but one without a key is not idempotent by its key.
func acceptedClass(class scheduler.Class, entry *journal.Entry) scheduler.Class {
	switch entry.Terms.Idempotency {
	case storedIdempotent:
		class.Idempotency = scheduler.Idempotent
	case storedIdempotentByKey:
		class.Idempotency, class.KeyScope = scheduler.IdempotentByKey, scheduler.KeyScopeAll
		class.KeyWindowUs = entry.Terms.KeyWindowUs
	case storedIdempotentByZoneKey:
		class.Idempotency, class.KeyScope = scheduler.IdempotentByKey, scheduler.KeyScopeZone
		class.KeyWindowUs = entry.Terms.KeyWindowUs
	case 0:
		if class.Idempotency == scheduler.IdempotentByKey && entry.Key == "" {
			class.Idempotency = scheduler.NotIdempotent
		}
	default: // storedNotIdempotent, or of a later release
		class.Idempotency = scheduler.NotIdempotent
	}
	return class
}

// classOf returns the class of a message, as acceptedClass does. ok is false if the settings do not have
// the class any more.
func (s *Sender) classOf(entry *journal.Entry) (class scheduler.Class, ok bool) {
	class, ok = s.classes[entry.Class]
	if !ok {
		return class, false
	}
	return acceptedClass(class, entry), true
}

// schedulerTerms returns the terms of a message for the scheduler.
func (s *Sender) schedulerTerms(entry *journal.Entry) *scheduler.Terms {
	class, ok := s.classOf(entry)
	if !ok {
		return nil
	}
	return &scheduler.Terms{
		Idempotency: class.Idempotency, KeyScope: class.KeyScope, KeyWindowUs: class.KeyWindowUs,
	}
}
