package amqpfront

import "slices"

// confirmTracker records the unconfirmed publishes of one channel to a broker by delivery tag. Both sides count
// the tags themselves (RabbitMQ's publisher confirms): the first publish on a channel has tag 1, and each further
// one the next number. It does no I/O.
type confirmTracker struct {
	lastTag     uint64               // tag of the last publish
	unconfirmed []unconfirmedPublish // in the order of their tags
}

// unconfirmedPublish is a publish with its delivery tag.
type unconfirmedPublish struct {
	tag     uint64
	publish *publishAttempt
}

// add records the next publish.
func (l *confirmTracker) add(p *publishAttempt) {
	l.lastTag++
	l.unconfirmed = append(l.unconfirmed, unconfirmedPublish{l.lastTag, p})
}

// settle removes and returns the publishes that a confirm covers; tag 0 with multiple means all. ok is
// false for a tag that was never published: the two sides count differently, so that no confirm on the
// channel can be trusted. A tag that was settled before is not an error.
func (l *confirmTracker) settle(tag uint64, multiple bool) (settled []*publishAttempt, ok bool) {
	if tag > l.lastTag || tag == 0 && !multiple {
		return nil, false
	}
	if tag == 0 {
		tag = l.lastTag
	}
	remaining := l.unconfirmed[:0]
	for _, entry := range l.unconfirmed {
		if entry.tag == tag || multiple && entry.tag < tag {
			settled = append(settled, entry.publish)
		} else {
			remaining = append(remaining, entry)
		}
	}
	clear(l.unconfirmed[len(remaining):])
	l.unconfirmed = remaining
	return settled, true
}

// remove drops a publish that ended without a confirm.
func (l *confirmTracker) remove(p *publishAttempt) {
	l.unconfirmed = slices.DeleteFunc(l.unconfirmed, func(entry unconfirmedPublish) bool { return entry.publish == p })
}

// find returns the publish of a message, or nil.
func (l *confirmTracker) find(messageID string) *publishAttempt {
	for _, entry := range l.unconfirmed {
		if entry.publish.attempt.ID == messageID {
			return entry.publish
		}
	}
	return nil
}

// anyAwaited reports whether the confirm of any publish is still awaited, because it has not been given up.
func (l *confirmTracker) anyAwaited() bool {
	return slices.ContainsFunc(l.unconfirmed, func(entry unconfirmedPublish) bool {
		return entry.publish.giveUpOutcome == ""
	})
}
