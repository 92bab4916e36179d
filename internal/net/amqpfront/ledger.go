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
func (t *confirmTracker) add(p *publishAttempt) {
	t.lastTag++
	t.unconfirmed = append(t.unconfirmed, unconfirmedPublish{t.lastTag, p})
}

// settle removes and returns the publishes that a confirm covers; tag 0 with multiple means all. ok is
// false for a tag that was never published: the two sides count differently, so that no confirm on the
// channel can be trusted. A tag that was settled before is not an error.
func (t *confirmTracker) settle(tag uint64, multiple bool) (settled []*publishAttempt, ok bool) {
	if tag > t.lastTag || tag == 0 && !multiple {
		return nil, false
	}
	if tag == 0 {
		tag = t.lastTag
	}
	remaining := t.unconfirmed[:0]
	for _, entry := range t.unconfirmed {
		if entry.tag == tag || multiple && entry.tag < tag {
			settled = append(settled, entry.publish)
		} else {
			remaining = append(remaining, entry)
		}
	}
	clear(t.unconfirmed[len(remaining):])
	t.unconfirmed = remaining
	return settled, true
}

// remove drops a publish that ended without a confirm.
func (t *confirmTracker) remove(p *publishAttempt) {
	t.unconfirmed = slices.DeleteFunc(t.unconfirmed, func(entry unconfirmedPublish) bool { return entry.publish == p })
}

// find returns the publish of a message, or nil.
func (t *confirmTracker) find(messageID string) *publishAttempt {
	for _, entry := range t.unconfirmed {
		if entry.publish.attempt.ID == messageID {
			return entry.publish
		}
	}
	return nil
}

// anyAwaited reports whether the confirm of any publish is still awaited, because it has not been given up.
func (t *confirmTracker) anyAwaited() bool {
	return slices.ContainsFunc(t.unconfirmed, func(entry unconfirmedPublish) bool {
		return entry.publish.giveUpOutcome == ""
	})
}
