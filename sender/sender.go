// Package sender is the embeddable core: it gathers what is ready, hands it to the decision module in
// one step and carries out what comes back. It deals in requests, attempts and outcomes and knows no wire.
//
// One goroutine, in Run, owns the decision module, the spool and the route table. The fronts live on another one
// (Options.Carry): what they tell the core, any goroutine may call, and it is gathered for the next step; what the
// core tells them is handed over once a step, in order. State, Hold and Pause belong to Run's goroutine; Post is the
// way onto it.
package sender

import (
	"context"
	"io"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/comeback"
	"brackendale/internal/crossing"
	"brackendale/internal/memory"
	"brackendale/internal/spool"
	"brackendale/internal/telemetry"
	"brackendale/internal/trace"
	"brackendale/logic"

	"github.com/rs/zerolog"
)

// Options is what a sender is made of.
type Options struct {
	Name     string
	Settings logic.Settings
	Seed     int64
	Dir      string // the folder that lasts
	Disk     int64  // bytes that may lie in it
	Log      zerolog.Logger
	Book     *telemetry.Book // the figures that are kept; nil: none
	Trace    io.Writer       // gets a line for each step that was told or did anything; nil: none

	// Memory lets this life take up what the last one believed, and leave what it believes; both lie in Dir.
	Memory bool

	// Folder is how far Dir is trusted.
	Folder Folder

	// From is what another process's sender gave when it stood still; this one goes on in its place. nil: a start anew.
	From *Checkpoint

	// Carry runs its argument on the fronts' goroutine, after what it was given before. nil: on Run's own.
	Carry func(func())
}

// Sender is one sender. Its goroutine owns all of its state.
type Sender struct {
	opt     Options
	relay   *logic.Relay
	spool   *spool.Spool
	log     zerolog.Logger
	started time.Time
	base    clock.Instant // the steady clock at started
	tick    time.Duration

	mu   sync.Mutex
	box  []func()
	wake chan struct{}

	fronts   map[string]Ingress
	carriers map[string]Egress
	routes   map[string]Route
	dests    sync.Map // of int64: that a route was ever for; the fronts read it
	lanes    map[string]logic.Lane
	kinds    map[string]int // messages in one call at most

	over     recent // ids that were taken on and are over
	events   []logic.Event
	offers   []*Request
	coming   map[string]bool // the offers' ids
	groups   []*Group
	promised int // bytes of the offers
	open     int // taken on and not ended
	tell     []*spool.Entry
	carry    []word // for the fronts, at the end of this step
	old      later  // ids that are remembered, by when they are forgotten
	oldTimer *time.Timer
	last     time.Time
	stats    State
	seen     map[string]*RouteState
	listed   lists         // targets that were ever in the table
	written  []func(error) // hear of the record that is being written
	book     *telemetry.Book
	known    bool                   // a list has been heard
	judged   time.Time              // when the levels were last booked
	skipped  int                    // targets that were avoided then
	stops    bool                   // a planned end has begun
	ready    atomic.Pointer[string] // why this process is not ready; nil: it is
	asked    *standing              // somebody wants it to stand still
	heir     Heir                   // that goes on in its place; nil: nobody
	elder    Elder                  // that has calls out for this one; nil: nobody
	afar     map[string]Action
	pressed  pressure
	trace    *trace.Writer // nil: not asked for
	memory   remembering
	drained  drained
	life     life
	stall    stall
	ends     pace
	door     comeback.Door
	rng      *rand.Rand // of waits that are told
}

// maxEnds is how many of the last ends are kept to be shown.
const maxEnds = 10

// refusedMs is the least wait that is told, in the middle, where the module was not asked: its hold, or the disk, is full.
const refusedMs = 500

// New opens the spool and makes a sender. Fronts are added before Run.
func New(opt Options) (*Sender, error) {
	if opt.Carry == nil {
		opt.Carry = func(f func()) { f() }
	}
	relay, err := logic.New(opt.Settings, opt.Seed)
	if err != nil {
		return nil, err
	}
	if opt.From != nil {
		if err := relay.Load(opt.From.Module, int64(clock.Steady())); err != nil {
			return nil, err
		}
	}
	if opt.Memory = opt.Memory && opt.Disk >= 16*memory.Most; opt.Memory { // messages go before beliefs
		opt.Disk -= 2 * memory.Most
	}
	began := time.Now()
	sp, err := spool.Open(opt.Dir, opt.Disk)
	if err != nil {
		return nil, err
	}
	read := time.Since(began)
	s := &Sender{opt: opt, relay: relay, spool: sp, log: opt.Log, started: time.Now(), base: clock.Steady(),
		tick: time.Duration(opt.Settings.TickUs) * time.Microsecond, wake: make(chan struct{}, 1),
		fronts: map[string]Ingress{}, carriers: map[string]Egress{}, routes: map[string]Route{},
		lanes: map[string]logic.Lane{}, kinds: map[string]int{}, coming: map[string]bool{}, seen: map[string]*RouteState{}, book: opt.Book,
		rng: rand.New(rand.NewSource(opt.Seed))}
	s.unready("starting")
	if opt.Trace != nil {
		s.trace = trace.NewWriter(opt.Trace, opt.Name)
	}
	s.life.journal, s.life.left = read, map[string]bool{}
	knows := opt.Memory && opt.From == nil && s.recall()
	s.life.memory = time.Since(s.started)
	for _, l := range opt.Settings.Lanes {
		s.lanes[l.Name] = l
	}
	s.life.start.Store(started(opt.From != nil, len(sp.Entries()) > 0, knows))
	sp.SetClock(s.Now)
	for _, e := range sp.Entries() { // times of another boot are moved, and may lie too far ahead
		if l, ok := s.lanes[e.Class]; ok {
			sp.Limit(e.ID, s.Now().Add(clock.Microseconds(l.HardLimitUs)))
		}
	}
	if lost := sp.Lost(); lost > 0 {
		s.log.Warn().Int64("bytes", lost).Msg("the journal's end could not be read and is cut off")
	}
	if s.life.old = s.origin(); s.life.old != "" {
		s.life.start.Store(startOld)
		s.log.Error().Str("why", s.life.old).Int("messages", len(sp.Entries())).
			Msg("this folder is not as the last life left it: what may have been sent since and may not be sent twice ends as failed")
	}
	s.book.Also(s.Life)
	for i, k := range opt.Settings.MachineTypes {
		if i < len(opt.Settings.Family.PerCall) {
			s.kinds[k] = opt.Settings.Family.PerCall[i]
		}
	}
	return s, nil
}

// AddIngress adds a client's side under a name that stays the same over restarts: before Run, or posted.
func (s *Sender) AddIngress(name string, in Ingress) { s.fronts[name] = in }

// AddEgress adds the egress for the routes of a protocol.
func (s *Sender) AddEgress(proto string, out Egress) { s.carriers[proto] = out }

// Post lets f run on the sender's goroutine, after what was posted before. Any goroutine may call it.
func (s *Sender) Post(f func()) {
	s.mu.Lock()
	s.box = append(s.box, f)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Now is the steady clock: another process on this machine reads the same. It is read once, and carried on without a system call.
func (s *Sender) Now() clock.Instant { return s.base.Add(time.Since(s.started)) }

// Run takes up what the spool holds and serves until ctx ends.
func (s *Sender) Run(ctx context.Context) error {
	defer func() {
		if s.heir == nil {
			_ = s.spool.Close()
		}
	}()
	if s.opt.Memory {
		s.startRemembering()
		defer s.stopRemembering()
	}
	s.take() // the module hears of the route table before it hears of what was held
	s.restore()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		// What comes within one tick of the last step is handed over together.
		if rest := s.tick - time.Since(s.last); rest > 0 {
			time.Sleep(rest)
		}
		s.turn()
		s.remember(false)
		if s.asked != nil && s.stall.why != nil { // what is not written could not be handed over
			close(s.asked.state)
			s.asked = nil
		}
		if s.asked != nil {
			s.stand()
		}
	}
}

// take takes in what was posted.
func (s *Sender) take() {
	s.mu.Lock()
	box := s.box
	s.box = nil
	s.mu.Unlock()
	for _, f := range box {
		f()
	}
}

// turn takes in what was posted, makes one step and hands the fronts what it led to.
func (s *Sender) turn() {
	s.take()
	if s.heir == nil {
		s.round()
		s.press()
		s.level()
		s.serves()
		s.service()
	}
	if batch := s.carry; len(batch) > 0 {
		crossing.At(crossing.StepDecided)
		s.carry = make([]word, 0, min(len(batch), keepMost))
		s.opt.Carry(func() {
			for i := range batch {
				batch[i].say()
			}
		})
	}
}

// level books the levels of the figures: the targets' at every change of the table and every levelGap.
func (s *Sender) level() {
	if s.book == nil {
		return
	}
	if time.Since(s.judged) > levelGap {
		s.judged, s.skipped = time.Now(), 0
		for name, r := range s.routes {
			if r.State != "live" || s.spool.Out(name) || s.relay.Avoids(name) {
				s.skipped++
			}
		}
	}
	s.book.Levels(s.open, len(s.routes), s.skipped)
}

// levelGap is how old the number of targets that are avoided may be while the sender is at work.
const levelGap = 100 * time.Millisecond

// Ready tells whether this process takes messages and keeps what it promises, or why not. Any goroutine may call it.
func (s *Sender) Ready() (ok bool, why string) {
	if p := s.ready.Load(); p != nil {
		return false, *p
	}
	return true, ""
}

func (s *Sender) unready(why string) { s.ready.Store(&why) }

// open the doors: the spool is read and a list known.
func (s *Sender) serves() {
	if !s.known {
		s.unready("no list of endpoints is known yet")
	} else if s.stall.why != nil {
		s.unready("the disk takes nothing: " + s.stall.why.Error())
	} else if s.stops {
		s.unready("stopping")
	} else {
		s.ready.Store(nil)
	}
}

// restore hands the module what was taken on before a restart. An attempt that was open may have run.
func (s *Sender) restore() {
	for _, e := range s.spool.Past() {
		s.past(e)
	}
	if s.opt.From != nil {
		s.resume(s.opt.From)
	}
	for _, e := range s.spool.Entries() {
		if e.Heard {
			s.forgetLater(e)
			continue
		}
		if e.End != "" {
			s.tell = append(s.tell, e)
			continue
		}
		s.open++
		if s.opt.From != nil && s.relay.Holds(e.ID) {
			continue
		}
		if e.OpenAt != 0 {
			s.spool.Closed(e.ID, true)
		}
		s.life.left[e.ID] = true
		s.events = append(s.events, s.heldAgain(e))
	}
	s.life.takenUp, s.life.looked = len(s.life.left), time.Now()
	if s.open > 0 || len(s.tell) > 0 {
		s.log.Info().Int("open", s.open).Int("owed", len(s.tell)).Int("doubtful", s.life.doubtful).Msg("taken up from the spool")
	}
	s.Post(func() {})
}

// Offer hands in requests that came together; their ingress gets one answer for each, after the step.
func (s *Sender) Offer(list ...*Request) {
	if len(list) > 0 {
		s.Post(func() {
			for _, x := range list {
				s.offer(x)
			}
		})
	}
}

func (s *Sender) offer(x *Request) {
	if s.heir != nil {
		s.heir.Offer(x)
		return
	}
	if over, v, waitMs := s.admit(x, nil, 0); over {
		s.answer(x, v, waitMs)
		if v == Taken {
			s.again(x)
		}
		return
	}
	s.hand(x)
}

// admit judges an offer before the module is asked; over tells that it needs no step, and its verdict. ahead are those
// that come with it in a group, and need is what they take.
func (s *Sender) admit(x *Request, ahead []*Request, need int) (over bool, v Verdict, waitMs int64) {
	if e := s.spool.Get(x.ID); e != nil && e.Front != x.Front { // another front's id
		return true, Failed, 0
	} else if e != nil { // the client did not hear the answer: it is held, or has its end
		return true, Taken, 0
	}
	if s.over.has(x.ID) { // it was taken on, and has had its end
		return true, Taken, 0
	}
	need += spool.Need(entry(x))
	cap := s.opt.Settings.Caps.OpenCap
	if cap > 0 && s.open+len(s.offers)+len(ahead) >= cap || !s.spool.Room(need, s.promised) || s.stats.Paused || s.stall.why != nil {
		return true, Busy, s.comeBack()
	}
	if s.coming[x.ID] || slices.ContainsFunc(ahead, func(o *Request) bool { return o.ID == x.ID }) {
		return true, Busy, s.comeBack()
	}
	return false, Taken, 0
}

// again tells once more the end of a message that was handed in a second time, if it has one.
func (s *Sender) again(x *Request) {
	if e := s.spool.Get(x.ID); e != nil && e.End != "" {
		s.tell = append(s.tell, e)
	}
}

// hand lets the next step decide on an offer.
func (s *Sender) hand(x *Request) {
	s.promised += spool.Need(entry(x))
	s.offers = append(s.offers, x)
	s.coming[x.ID] = true
	s.events = append(s.events, logic.Event{Kind: logic.Arrived, ID: x.ID, Class: x.Class, Tenant: x.Tenant,
		Dest: x.Dest, Deadline: int64(x.Deadline)})
}

// Knows tells whether a class is one that the settings name.
func (s *Sender) Knows(class string) bool { _, ok := s.lanes[class]; return ok }

// Lane returns the settings of a class.
func (s *Sender) Lane(class string) logic.Lane { return s.lanes[class] }

// Serves tells whether the route table has had a target of that destination. Its last one may have left
// for a moment, until another takes its place.
func (s *Sender) Serves(dest int64) bool { _, ok := s.dests.Load(dest); return ok }

// Withdraw takes back an offer that no step has taken in yet, and answers it as failed. One that a step has taken
// in stays, and its answer is on its way.
func (s *Sender) Withdraw(x *Request) {
	s.Post(func() {
		if s.heir != nil {
			s.heir.Withdraw(x)
			return
		}
		for i, o := range s.offers {
			if o == x {
				s.offers[i] = &Request{ID: x.ID}
				s.events = append(s.events, logic.Event{Kind: logic.Left, ID: x.ID})
				s.answer(x, Failed, 0)
			}
		}
	})
}

// Report books how attempts that shared a call ended.
func (s *Sender) Report(list ...Outcome) {
	s.Post(func() {
		if s.heir != nil {
			s.heir.Report(list)
			return
		}
		for _, o := range list {
			s.report(o)
		}
	})
}

func (s *Sender) report(o Outcome) {
	delete(s.afar, o.ID)
	mayRun := o.Reason != Full && o.Reason != NoConn && o.Reason != Moot
	s.spool.Closed(o.ID, mayRun)
	if r := s.seen[o.Target]; r != nil {
		r.Out--
		r.LastReason = o.Reason
		if o.Reason == Good {
			r.Good++
		} else {
			r.Lost++
		}
	}
	if e := s.spool.Get(o.ID); e != nil && e.End == "" {
		if o.Reason == Good {
			s.end(o.ID, Delivered, 0)
		} else if o.Over {
			s.open--
			s.ended(o.ID)
			s.book.Ended(e.Class, telemetry.BadGateway)
			s.gone(o.ID)
		}
	}
	s.events = append(s.events, logic.Event{Kind: logic.Reported, ID: o.ID, N: o.N, Addr: o.Target,
		Reason: o.Reason, Finished: o.Over || o.Reason == Good, HoldMs: o.HoldMs, Report: o.Load})
}

// Routes books news of the route table. how is patch, whole or stale_copy.
func (s *Sender) Routes(how string, list []Route) {
	for _, r := range list { // before a client is told that there is no such destination
		s.dests.Store(r.Dest, true)
	}
	s.Post(func() { s.list(how, list) })
}

func (s *Sender) list(how string, list []Route) {
	if s.heir != nil {
		return
	}
	e := logic.Event{Kind: logic.Listed, How: how}
	by := map[string][]Route{}
	if how != "patch" { // what a whole list lacks is gone
		for name, r := range s.routes {
			if !slices.ContainsFunc(list, func(x Route) bool { return x.Addr == name }) {
				r.State = "dead"
				s.drained.hear(r)
				by[r.Proto] = append(by[r.Proto], r)
			}
		}
		s.routes = map[string]Route{}
	}
	for _, r := range list {
		if how == "stale_copy" {
			r = s.drained.correct(r)
		} else {
			s.drained.hear(r)
		}
		if s.routes[r.Addr] = r; r.Cold { // said once
			x := r
			x.Cold = false
			s.routes[r.Addr] = x
		}
		if r.State == "dead" {
			delete(s.routes, r.Addr)
		}
		s.listed.add(r.Addr)
		if r.State == "live" && s.spool.Out(r.Addr) {
			r.State = "quiescing"
		}
		e.List = append(e.List, r.Endpoint)
		by[r.Proto] = append(by[r.Proto], r)
	}
	for name := range s.seen {
		if _, ok := s.routes[name]; !ok {
			delete(s.seen, name)
		}
	}
	for name := range s.routes {
		if s.seen[name] == nil {
			s.seen[name] = &RouteState{}
		}
	}
	for proto, c := range s.carriers {
		if changed := by[proto]; len(changed) > 0 {
			s.tellLater(func() { c.Routes(changed) })
		}
	}
	s.events = append(s.events, e)
	s.judged = time.Time{}
	if how != "stale_copy" || len(list) > 0 {
		s.known = true
		s.since(&s.life.list)
	}
}

// Settle books that the ends of requests have arrived.
func (s *Sender) Settle(ids ...string) {
	s.Post(func() {
		if s.heir != nil {
			return // the heir tells the end again
		}
		for _, id := range ids {
			s.settle(id)
		}
	})
}

func (s *Sender) settle(id string) {
	e := s.spool.Get(id)
	if e == nil || e.End == "" || e.Heard {
		return
	}
	if in := s.fronts[e.Front]; in != nil && in.Remembers() {
		s.spool.Heard(id)
		s.forgetLater(e)
		return
	}
	s.gone(id)
}

// gone takes a message off the books.
func (s *Sender) gone(id string) {
	if e := s.spool.Get(id); e != nil {
		s.spool.Gone(id)
		s.past(e)
	}
}

// past remembers that a message is over. A front that remembers ids by itself lets go of one only when it may
// be used anew, and then owes an end for it.
func (s *Sender) past(e *spool.Entry) {
	if in := s.fronts[e.Front]; in != nil && !in.Remembers() {
		s.over.add(e.ID)
	}
}

// forgetLater drops an id that is remembered once its class would not let the message live any more,
// counted twice: from its deadline on.
func (s *Sender) forgetLater(e *spool.Entry) {
	at := e.Deadline.Add(clock.Microseconds(s.lanes[e.Class].HardLimitUs))
	if s.old.add(at, e.ID) {
		s.ring(at)
	}
}

// ring sets the one timer of what is to be forgotten. It may be late: an id that is kept longer does no harm.
func (s *Sender) ring(at clock.Instant) {
	d := max(forgetGap, at.Sub(s.Now()))
	if s.oldTimer == nil {
		s.oldTimer = time.AfterFunc(d, func() { s.Post(s.forget) })
		return
	}
	s.oldTimer.Reset(d)
}

// forgetGap is the least time between two times of forgetting.
const forgetGap = 20 * time.Millisecond

func (s *Sender) forget() {
	if s.heir != nil {
		return
	}
	for _, id := range s.old.take(s.Now()) {
		s.gone(id)
	}
	if len(s.old) > 0 {
		s.ring(s.old[0].at)
	}
}

// Stop is called once at a planned end: from here only attempts start that should end before the time given.
func (s *Sender) Stop(until clock.Instant) {
	s.Post(func() {
		if s.heir != nil {
			return
		}
		s.stops = true
		s.events = append(s.events, logic.Event{Kind: logic.Stopping, Deadline: int64(until)})
		s.log.Info().Int64("left_ms", until.Sub(s.Now()).Milliseconds()).Int("open", s.open).Msg("stopping")
	})
}

func (s *Sender) count(class string, v Verdict) {
	switch v {
	case Taken:
		s.stats.Taken++
		return
	case Busy:
		s.book.Ended(class, telemetry.Dropped)
	default:
		s.book.Ended(class, telemetry.BadGateway)
	}
	s.stats.Refused++
}

// Tried counts messages that were written whole to a target. Any goroutine may call it.
func (s *Sender) Tried(n int) { s.book.Tried(n) }

func (s *Sender) answer(x *Request, v Verdict, waitMs int64) {
	s.count(x.Class, v)
	if x.Reply != nil {
		s.tellLater(func() { x.Reply(v, waitMs) })
		return
	}
	if in := s.fronts[x.Front]; in != nil {
		s.carry = append(s.carry, word{in: in, request: x, verdict: v, waitMs: waitMs})
	}
}

// end books the end of a request that was taken on. It is told once the round is written.
func (s *Sender) end(id, end string, waitMs int64) {
	e := s.spool.Get(id)
	if e == nil || e.End != "" {
		return
	}
	s.open--
	s.ended(id)
	s.ends.add(time.Since(s.started))
	if len(s.stats.Ends) == maxEnds {
		s.stats.Ends = slices.Delete(s.stats.Ends, 0, 1)
	}
	s.stats.Ends = append(s.stats.Ends, EndState{e.ID, e.Class, end, waitMs, time.Now()})
	switch end {
	case Delivered:
		s.stats.Delivered++
		s.book.Ended(e.Class, telemetry.Passed)
	case Returned:
		s.stats.Back++
		s.book.Ended(e.Class, telemetry.Dropped)
	default:
		s.stats.Failed++
		s.book.Ended(e.Class, telemetry.BadGateway)
	}
	if in := s.fronts[e.Front]; in != nil && !in.Owes(end) {
		s.gone(id)
		return
	}
	s.spool.End(id, end, waitMs)
	s.tell = append(s.tell, e)
}

func entry(x *Request) *spool.Entry {
	return &spool.Entry{ID: x.ID, Class: x.Class, Tenant: x.Tenant, Key: x.Key, Front: x.Front, Note: x.Note,
		Dest: x.Dest, Deadline: x.Deadline, Body: x.Body}
}

// round is one step of the module, its record in the spool, and then its actions.
func (s *Sender) round() {
	if !s.writes() {
		return
	}
	events, offers, groups := s.events, s.offers, s.groups
	s.events, s.offers, s.groups, s.promised, s.last = nil, nil, nil, 0, time.Now()
	clear(s.coming)
	now := s.Now()
	acts := s.relay.Step(int64(now), events)
	if s.trace != nil {
		s.trace.Step(int64(now), events, acts, func(addr string) int64 { return s.routes[addr].Dest })
	}
	defer s.reuse(events, offers)

	// What one round takes and ends at once was never taken on: its client hears that and nothing is kept.
	ended := map[string]early{}
	for _, a := range acts {
		switch a.Kind {
		case logic.PushBack:
			ended[a.ID] = early{Busy, a.WaitUs / 1000}
		case logic.Abort:
			ended[a.ID] = early{Failed, 0}
		}
	}
	acts = s.whole(groups, ended, acts)
	for _, g := range groups {
		s.write(g)
	}
	for _, x := range offers {
		if _, ok := ended[x.ID]; !ok && x.Front != "" && x.group == nil {
			s.open++
			s.spool.Take(entry(x))
		}
	}
	calls := s.calls(acts)
	for _, a := range acts {
		switch a.Kind {
		case logic.PushBack:
			s.end(a.ID, Returned, a.WaitUs/1000)
		case logic.Abort:
			s.end(a.ID, Abandoned, 0)
		}
	}
	if err := s.spool.Flush(); err != nil {
		s.stalled(err, offers, groups, ended, calls)
		calls, groups = nil, nil
	} else {
		for _, done := range s.written {
			done(nil)
		}
		s.written = nil
	}
	for _, g := range groups {
		s.answerGroup(g)
	}
	s.answerOffers(offers, ended)
	var tell []*spool.Entry
	if s.stall.why == nil {
		tell, s.tell = s.tell, nil
	}
	for _, e := range tell {
		s.tellEnd(e)
	}
	for _, a := range acts {
		s.act(a)
	}
	for _, c := range calls {
		if out := s.carriers[c.to.Proto]; out != nil {
			s.tellLater(func() { out.Send(c.to, c.attempts) })
			continue
		}
		for _, h := range c.attempts { // no egress for its protocol: it never left
			s.Report(Outcome{ID: h.ID, N: h.N, Target: c.to.Addr, Reason: NoConn})
		}
	}
}

// tellEnd hands an end to the front that its client came by.
func (s *Sender) tellEnd(e *spool.Entry) {
	if in := s.fronts[e.Front]; in != nil {
		s.carry = append(s.carry, word{in: in, id: e.ID, note: e.Note, end: e.End, waitMs: e.WaitMs, again: e.Told})
		e.Told = true
	}
}

// keepMost bounds the lists that one step leaves to the next.
const keepMost = 4096

// reuse gives the lists of a step that is over to the next, unless that has begun its own: the module and the fronts keep
// what is in them, but not them.
func (s *Sender) reuse(events []logic.Event, offers []*Request) {
	if s.events == nil && cap(events) <= keepMost {
		clear(events)
		s.events = events[:0]
	}
	if s.offers == nil && cap(offers) <= keepMost {
		clear(offers)
		s.offers = offers[:0]
	}
}

// call is what travels together.
type call struct {
	to       Route
	attempts []Attempt
}

// calls groups the sends of a round by target as the module counted them, and records each attempt.
func (s *Sender) calls(acts []logic.Action) []*call {
	var list []*call
	last := map[string]*call{}
	now := s.Now()
	for _, a := range acts {
		if a.Kind != logic.Issue {
			continue
		}
		e, to := s.spool.Get(a.ID), s.routes[a.Addr]
		if e == nil { // the module holds what the spool does not: only a fault of this program's
			s.log.Error().Str("id", a.ID).Msg("an attempt of an unknown request")
			continue
		}
		c := last[a.Addr]
		if c == nil || len(c.attempts) >= max(1, s.kinds[to.Kind]) {
			c = &call{to: to}
			last[a.Addr] = c
			list = append(list, c)
		}
		c.attempts = append(c.attempts, Attempt{ID: e.ID, Key: e.Key, Class: e.Class, Body: e.Body, N: e.Attempts, LimitUs: a.LimitUs,
			Deadline: e.Deadline, StartBy: s.startBy(e)})
		s.spool.Attempt(e.ID, to.Zone, now)
		s.since(&s.life.first)
		s.stats.Sent++
		if r := s.seen[a.Addr]; r != nil {
			r.Out++
		}
	}
	return list
}

// startBy is until when an attempt may be written. The module decides within the time for which a target knows a key, but a connection
// may come up long after that.
func (s *Sender) startBy(e *spool.Entry) clock.Instant {
	if l := s.lanes[e.Class]; e.FirstRun != 0 && l.Effect == "by_key" {
		return e.FirstRun.Add(clock.Microseconds(l.WindowUs - s.opt.Settings.TickUs))
	}
	return 0
}

func (s *Sender) act(a logic.Action) {
	switch a.Kind {
	case logic.Sleep:
		time.AfterFunc(time.Duration(a.DelayUs)*time.Microsecond, func() {
			s.Post(func() { s.events = append(s.events, logic.Event{Kind: logic.Woke}) })
		})
	case logic.Recall:
		if _, ok := s.afar[a.ID]; ok && s.elder != nil {
			s.elder.Recall(a.ID, a.N)
			return
		}
		for _, c := range s.carriers {
			s.tellLater(func() { c.Recall(a.ID, a.N) })
		}
	case logic.FreeLinks:
		if to, ok := s.routes[a.Addr]; ok && s.carriers[to.Proto] != nil {
			s.tellLater(func() { s.carriers[to.Proto].Trim(to) })
		}
	case logic.WriteLog:
		s.log.Info().Msg(a.Text)
	}
}
