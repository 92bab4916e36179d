// Package timers is a hierarchical timing wheel. It reads no clock and starts nothing: its owner tells it the
// time and takes the timers that are due. Setting, stopping and moving on cost the same with ten timers and
// with a million, and a timer lies inside the record that it belongs to.
//
// The wheel follows Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987), scheme 7, with two
// changes. A timer that may be late (its slack) goes straight to the coarsest level whose slots are no wider than
// that: it is never moved down, and all that share its slot come due by one splice. And slots that are empty are
// skipped by a bitmap, so that a pause of hours costs no more than one of milliseconds.
package timers

import (
	"math/bits"
	"time"
)

// Tick is the width of a slot of the lowest level: what is due comes at most so much later, never earlier.
const Tick = time.Millisecond

const (
	slotBits = 8
	slots    = 1 << slotBits // of each level
	levels   = 4             // 256 ms, 65.5 s, 4.66 h and 49.7 days in all
)

// Coarse is the slack of timers that may wait for others, up to a quarter of a second, so that fewer slots open: idle
// limits, handshakes. Soft is that of timers that many connections have and that should not gather: heartbeats. Both
// are handed over in portions.
const (
	Coarse = Tick << slotBits
	Soft   = Tick
)

// Handler is told, by the wheel's owner, that its timer is due.
type Handler interface{ Due(*Timer) }

// Func makes a function a handler.
type Func func()

// Due calls the function.
func (f Func) Due(*Timer) { f() }

// Timer is one timer. Its zero value is not set. It must not be copied while it is.
type Timer struct {
	next, prev *Timer
	on         Handler
	at         int64 // the tick it is due at
	level      uint8 // its slack's level
	place      uint8 // 0: not set; 1+level in a slot it comes due with; 1+levels+level in one to be filed anew
	slot       uint8
	soft       bool // handed over in portions
}

// Set tells whether the timer runs, or is due and has not been handed over.
func (t *Timer) Set() bool { return t.place != 0 }

// Wheel holds timers, in rings that begin and end at a sentinel. Use New. It takes 97 KiB, whatever it holds.
type Wheel struct {
	now   int64 // ticks that have passed
	count int
	used  [levels][slots / 64]uint64 // the slots that hold something, in either ring
	ends  [levels][slots]Timer       // what comes due when its slot begins
	again [levels][slots]Timer       // what is filed under a lower level then; at the lowest, what is soft and due
	exact Timer                      // due, without slack
	batch Timer                      // the part of that which Take is handing over
	late  Timer                      // due, with slack
}

// New returns an empty wheel at time zero.
func New() *Wheel {
	w := &Wheel{}
	ring := func(s *Timer) { s.next, s.prev = s, s }
	ring(&w.exact)
	ring(&w.batch)
	ring(&w.late)
	for l := range w.ends {
		for i := range w.ends[l] {
			ring(&w.ends[l][i])
			ring(&w.again[l][i])
		}
	}
	return w
}

// Len is the number of timers that are set.
func (w *Wheel) Len() int { return w.count }

// Start sets a timer to come due at a time on the wheel's own scale, or sooner than its slack after it, and
// never before. With no slack it is exact: Take hands it over at once. One that is set already is moved.
func (w *Wheel) Start(t *Timer, at, slack time.Duration, on Handler) {
	w.Stop(t)
	t.on, t.level, t.soft = on, 0, slack > 0
	for l := levels - 1; l > 0; l-- {
		if slack >= Tick<<(slotBits*l) {
			t.level = uint8(l)
			break
		}
	}
	unit := int64(1) << (slotBits * t.level)
	t.at = (int64((at+Tick-1)/Tick) + unit - 1) &^ (unit - 1)
	w.count++
	w.put(t)
}

// Stop takes a timer off. It tells whether it was set.
func (w *Wheel) Stop(t *Timer) bool {
	if t.place == 0 {
		return false
	}
	w.unlink(t)
	t.on = nil
	w.count--
	return true
}

func (w *Wheel) unlink(t *Timer) {
	t.prev.next, t.next.prev = t.next, t.prev
	l, i := int(t.place-1)%levels, t.slot
	t.next, t.prev, t.place = nil, nil, 0
	if empty(&w.ends[l][i]) && empty(&w.again[l][i]) { // where it stood once, if it has come due since
		w.used[l][i>>6] &^= 1 << (i & 63)
	}
}

func empty(s *Timer) bool { return s.next == s }

// splice moves all of a ring to the end of another.
func splice(to, from *Timer) {
	if empty(from) {
		return
	}
	from.next.prev, from.prev.next = to.prev, to
	to.prev.next, to.prev = from.next, from.prev
	from.next, from.prev = from, from
}

// put files a timer under the lowest level, from its slack's on, whose slots reach so far.
func (w *Wheel) put(t *Timer) {
	if t.at <= w.now {
		s := &w.late
		if !t.soft {
			s = &w.exact
		}
		t.place = t.level + 1
		push(s, t)
		return
	}
	for l := int(t.level); ; l++ {
		shift := slotBits * l
		at, cur := t.at>>shift, w.now>>shift
		if at-cur >= slots {
			if l < levels-1 {
				continue
			}
			at = cur + slots - 1 // beyond the wheel: looked at again there
		}
		t.slot, t.place = uint8(at&(slots-1)), uint8(l+1)
		w.used[l][t.slot>>6] |= 1 << (t.slot & 63)
		if l == int(t.level) && at<<shift == t.at && (l > 0 || !t.soft) {
			push(&w.ends[l][t.slot], t)
			return
		}
		t.place += levels
		push(&w.again[l][t.slot], t)
		return
	}
}

// push files a timer last.
func push(s, t *Timer) {
	t.next, t.prev = s, s.prev
	s.prev.next = t
	s.prev = t
}

// next is the tick at which the next slot of a level that holds something begins.
func (w *Wheel) next(l int) (int64, bool) {
	cur := w.now >> (slotBits * l)
	for off := int64(1); off < slots; {
		i := (cur + off) & (slots - 1)
		word := w.used[l][i>>6] >> (i & 63)
		if word != 0 {
			off += int64(bits.TrailingZeros64(word))
			if off >= slots {
				break
			}
			return (cur + off) << (slotBits * l), true
		}
		off += 64 - i&63
	}
	return 0, false
}

// first is the earliest tick at which a slot begins that holds something; ok is false where none does.
func (w *Wheel) first() (at int64, ok bool) {
	for l := range levels {
		if t, some := w.next(l); some && (!ok || t < at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Advance moves the wheel on. What has come due is handed over by Take. A time before the last one is passed
// over, and after a pause of any length nothing is left behind.
func (w *Wheel) Advance(now time.Duration) {
	to := int64(now / Tick)
	for at, ok := w.first(); ok && at <= to; at, ok = w.first() {
		w.now = at
		for l := levels - 1; l >= 0; l-- { // all slots that begin there: a later look would find them passed
			if at&(1<<(slotBits*l)-1) == 0 {
				w.open(l, uint8(at>>(slotBits*l)&(slots-1)))
			}
		}
	}
	w.now = max(w.now, to)
}

// open takes out what a slot holds: some is due, and some belongs into lower levels.
func (w *Wheel) open(l int, i uint8) {
	due := &w.late
	if l == 0 {
		due = &w.exact
	}
	splice(due, &w.ends[l][i])
	w.used[l][i>>6] &^= 1 << (i & 63)
	if l == 0 {
		splice(&w.late, &w.again[0][i])
	}
	for s := &w.again[l][i]; !empty(s); {
		t := s.next
		t.prev.next, t.next.prev = t.next, t.prev
		w.put(t)
	}
}

// Take hands over what is due: all that is exact, and of the rest up to a budget. It tells whether more is due.
// The handler may set and stop timers, also the one that it is told of; what it makes due at once waits for the
// next call.
func (w *Wheel) Take(budget int, give func(Handler, *Timer)) (fired int, more bool) {
	for splice(&w.batch, &w.exact); !empty(&w.batch); fired++ {
		w.hand(w.batch.next, give)
	}
	for ; budget > 0 && !empty(&w.late); budget-- {
		w.hand(w.late.next, give)
		fired++
	}
	return fired, !empty(&w.exact) || !empty(&w.late)
}

func (w *Wheel) hand(t *Timer, give func(Handler, *Timer)) {
	on := t.on
	w.Stop(t)
	give(on, t)
}

// Next is the time at which something comes due or has to be filed anew; ok is false where nothing is set.
func (w *Wheel) Next() (at time.Duration, ok bool) {
	if !empty(&w.exact) || !empty(&w.late) {
		return time.Duration(w.now) * Tick, true
	}
	t, ok := w.first()
	return time.Duration(t) * Tick, ok
}
