// Package timers is a hierarchical timing wheel. It reads no clock and starts no goroutine: its owner advances it and
// fires the timers that are due. The cost of setting, stopping and advancing does not depend on the number of timers,
// and a timer is a field of the record that it belongs to. A wheel and its timers are not safe for concurrent use.
//
// The wheel follows Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987), scheme 7, with two changes. A
// timer that may fire late, by up to its slack, is inserted at the coarsest level whose slots are no wider than its
// slack: it never moves to a lower level, and all such timers of a slot become due by one splice. And a bitmap lets an
// advance skip empty slots, so that advancing by hours costs no more than advancing by milliseconds.
package timers

import (
	"math/bits"
	"time"
)

// Tick is the width of a slot of the lowest level. A timer without slack becomes due at most one tick late and never
// early.
const Tick = time.Millisecond

const (
	slotBits = 8
	slots    = 1 << slotBits // in each level
	levels   = 4             // which span 256 ms, 65.5 s, 4.66 h and 49.7 days
)

// CoarseSlack is the slack of timers that may fire up to 256 ms late, so that fewer slots are opened, such as those for
// idle connections and handshakes. TickSlack is the slack of timers that many connections have and that should not all
// fire at once, such as those for heartbeats. FireDue fires both only within its budget.
const (
	CoarseSlack = Tick << slotBits
	TickSlack   = Tick
)

// Handler is the callback of a timer. The wheel's owner calls Due when the timer fires.
type Handler interface{ Due(*Timer) }

// Func is a function that is used as a handler.
type Func func()

// Due calls the function.
func (f Func) Due(*Timer) { f() }

// Timer is one timer. Its zero value is not set. It must not be copied while it is set.
type Timer struct {
	next, prev *Timer
	handler    Handler
	dueTick    int64 // the tick at which it is due
	level      uint8 // the lowest level that it may be inserted at, by its slack
	position   uint8 // 0: not set; 1+level: expiring or due; 1+levels+level: cascading
	slot       uint8 // the slot it is in, or was in before it came due
	hasSlack   bool  // subject to FireDue's budget
}

// IsSet reports whether the timer is set: pending, or due and not yet fired.
func (t *Timer) IsSet() bool { return t.position != 0 }

// Wheel holds timers in circular lists with a sentinel. Use New to create one. Its size is 97 KiB, regardless of the
// number of timers.
type Wheel struct {
	now   int64 // the current tick
	count int   // timers that are set

	// The slots; the other fields of type Timer are sentinels, too. When the time reaches the beginning of a slot, its
	// expiring timers become due and its cascading timers move to a lower level. At the lowest level, the cascading ones
	// become due, too, as timers with slack.
	occupied  [levels][slots / 64]uint64 // bitmap of the slots that hold timers, in either list
	expiring  [levels][slots]Timer
	cascading [levels][slots]Timer

	// Timers that are due and have not fired.
	dueExact Timer // without slack
	firing   Timer // the timers of dueExact that the current call of FireDue fires
	dueSlack Timer // with slack
}

// New returns an empty wheel at time zero.
func New() *Wheel {
	w := &Wheel{}
	clearList := func(sentinel *Timer) { sentinel.next, sentinel.prev = sentinel, sentinel }
	clearList(&w.dueExact)
	clearList(&w.firing)
	clearList(&w.dueSlack)
	for level := range w.expiring {
		for slot := range w.expiring[level] {
			clearList(&w.expiring[level][slot])
			clearList(&w.cascading[level][slot])
		}
	}
	return w
}

// Len returns the number of timers that are set.
func (w *Wheel) Len() int { return w.count }

// Start sets a timer to fire at a time on the wheel's clock: never earlier, and less than its slack later. FireDue
// fires all due timers without slack, whatever its budget. A timer that is already set is reset.
func (w *Wheel) Start(t *Timer, due, slack time.Duration, handler Handler) {
	w.Stop(t)
	t.handler, t.level, t.hasSlack = handler, 0, slack > 0
	for level := levels - 1; level > 0; level-- {
		if slack >= Tick<<(slotBits*level) {
			t.level = uint8(level)
			break
		}
	}
	unit := int64(1) << (slotBits * t.level)
	t.dueTick = (int64((due+Tick-1)/Tick) + unit - 1) &^ (unit - 1)
	w.count++
	w.insert(t)
}

// Stop stops a timer. It reports whether the timer was set.
func (w *Wheel) Stop(t *Timer) bool {
	if t.position == 0 {
		return false
	}
	w.unlink(t)
	t.handler = nil
	w.count--
	return true
}

// unlink removes a timer from its list, and clears the bit of its slot if the slot is empty after that.
func (w *Wheel) unlink(t *Timer) {
	t.prev.next, t.next.prev = t.next, t.prev
	level, slot := int(t.position-1)%levels, t.slot
	t.next, t.prev, t.position = nil, nil, 0
	if empty(&w.expiring[level][slot]) && empty(&w.cascading[level][slot]) { // of a due timer, the slot that it was in
		w.occupied[level][slot>>6] &^= 1 << (slot & 63)
	}
}

// empty reports whether a list has no timers.
func empty(sentinel *Timer) bool { return sentinel.next == sentinel }

// splice moves all timers of a list to the end of another.
func splice(dst, src *Timer) {
	if empty(src) {
		return
	}
	src.next.prev, src.prev.next = dst.prev, dst
	dst.prev.next, dst.prev = src.next, src.prev
	src.next, src.prev = src, src
}

// insert adds a timer to the lowest level that extends to its tick, starting at the level for its slack.
func (w *Wheel) insert(t *Timer) {
	if t.dueTick <= w.now {
		due := &w.dueSlack
		if !t.hasSlack {
			due = &w.dueExact
		}
		t.position = t.level + 1
		pushBack(due, t)
		return
	}
	for level := int(t.level); ; level++ {
		shift := slotBits * level
		slot, current := t.dueTick>>shift, w.now>>shift // counted from time zero
		if slot-current >= slots {
			if level < levels-1 {
				continue
			}
			slot = current + slots - 1 // beyond the wheel: the last slot, from which it is inserted again
		}
		t.slot, t.position = uint8(slot&(slots-1)), uint8(level+1)
		w.occupied[level][t.slot>>6] |= 1 << (t.slot & 63)
		if level == int(t.level) && slot<<shift == t.dueTick && (level > 0 || !t.hasSlack) {
			pushBack(&w.expiring[level][t.slot], t)
			return
		}
		t.position += levels
		pushBack(&w.cascading[level][t.slot], t)
		return
	}
}

// pushBack appends a timer to a list.
func pushBack(sentinel, t *Timer) {
	t.next, t.prev = sentinel, sentinel.prev
	sentinel.prev.next = t
	sentinel.prev = t
}

// nextTick returns the tick at which the next occupied slot of a level begins; false if there is none.
func (w *Wheel) nextTick(level int) (int64, bool) {
	current := w.now >> (slotBits * level)
	for ahead := int64(1); ahead < slots; {
		slot := (current + ahead) & (slots - 1)
		word := w.occupied[level][slot>>6] >> (slot & 63)
		if word != 0 {
			ahead += int64(bits.TrailingZeros64(word))
			if ahead >= slots {
				break
			}
			return (current + ahead) << (slotBits * level), true
		}
		ahead += 64 - slot&63
	}
	return 0, false
}

// earliestTick returns the earliest tick at which an occupied slot begins; ok is false if there is none.
func (w *Wheel) earliestTick() (earliest int64, ok bool) {
	for level := range levels {
		if tick, found := w.nextTick(level); found && (!ok || tick < earliest) {
			earliest, ok = tick, true
		}
	}
	return earliest, ok
}

// Advance sets the current time; FireDue then fires the timers that are due. A time before the current one is ignored;
// an advance of any length skips no timer.
func (w *Wheel) Advance(now time.Duration) {
	target := int64(now / Tick)
	for tick, ok := w.earliestTick(); ok && tick <= target; tick, ok = w.earliestTick() {
		w.now = tick
		for level := levels - 1; level >= 0; level-- { // all slots that begin at this tick, or they would be in the past
			if tick&(1<<(slotBits*level)-1) == 0 {
				w.openSlot(level, uint8(tick>>(slotBits*level)&(slots-1)))
			}
		}
	}
	w.now = max(w.now, target)
}

// openSlot empties a slot whose beginning is reached: some of its timers become due, and some move to lower levels.
func (w *Wheel) openSlot(level int, slot uint8) {
	due := &w.dueSlack
	if level == 0 {
		due = &w.dueExact
	}
	splice(due, &w.expiring[level][slot])
	w.occupied[level][slot>>6] &^= 1 << (slot & 63)
	if level == 0 {
		splice(&w.dueSlack, &w.cascading[0][slot])
	}
	for list := &w.cascading[level][slot]; !empty(list); {
		t := list.next
		t.prev.next, t.next.prev = t.next, t.prev
		w.insert(t)
	}
}

// FireDue unsets the timers that are due and calls deliver for each: for all without slack, and for at most budget of
// those with slack. It returns their number and whether more are due. deliver may set and stop timers, including the
// one that it is called for; a timer that it sets to a time that has passed waits for the next call.
func (w *Wheel) FireDue(budget int, deliver func(Handler, *Timer)) (fired int, more bool) {
	for splice(&w.firing, &w.dueExact); !empty(&w.firing); fired++ {
		w.fire(w.firing.next, deliver)
	}
	for ; budget > 0 && !empty(&w.dueSlack); budget-- {
		w.fire(w.dueSlack.next, deliver)
		fired++
	}
	return fired, !empty(&w.dueExact) || !empty(&w.dueSlack)
}

// fire unsets a timer and then calls deliver, which may set it again.
func (w *Wheel) fire(t *Timer, deliver func(Handler, *Timer)) {
	handler := t.handler
	w.Stop(t)
	deliver(handler, t)
}

// Next returns the latest time at which Advance has to be called again; ok is false if no timer is set.
func (w *Wheel) Next() (due time.Duration, ok bool) {
	if !empty(&w.dueExact) || !empty(&w.dueSlack) {
		return time.Duration(w.now) * Tick, true
	}
	tick, ok := w.earliestTick()
	return time.Duration(tick) * Tick, ok
}
