// Package settingschange plays a sender whose processes follow one another with random settings: classes, fronts and
// endpoints are changed, removed and put back, by a planned restart, a kill, an upgrade or a reload, while clients
// submit messages, also again, and the registry does not always respond. It checks that no message runs more often than
// the terms under which it was accepted allow, that each has one final answer, which is true and reaches the client
// that asked last, and that no endpoint is used that the registry has reported as gone.
package settingschange

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"brackendale/internal/clock"
	"brackendale/scheduler"
	"brackendale/sender"
)

// The length of a play.
const (
	changes      = 8                     // changes of settings
	betweenTicks = time.Millisecond      // between two draws of what the clients do
	endTimeout   = 5 * time.Second       // for the final answers behind the last change
	lateAnswers  = 50 * time.Millisecond // for another answer to show that should not come
)

// world is one play.
type world struct {
	dir string

	mu       sync.Mutex
	rng      *rand.Rand
	messages map[string]*message
	order    []*message
	registry *registry
	process  *process // the present one
	started  int      // processes
	names    int      // that nextName has returned
	history  []string
	broken   []string
}

// Report is what a play did, and the rules that were broken in it.
type Report struct {
	History  []string // the changes
	Accepted int      // messages
	Again    int      // messages that were submitted more than once
	Repeated int      // messages that ran more than once
	Broken   []string
}

// Play plays a seed with the state folder dir.
func Play(seed int64, dir string) (*Report, error) {
	rng := rand.New(rand.NewSource(seed))
	w := &world{dir: dir, rng: rng, registry: newRegistry(rng), messages: map[string]*message{}}
	first, err := w.startAndRun(replacement{way: "start", settings: drawSettings(w.rng), fronts: frontNames})
	if err != nil {
		return nil, err
	}
	w.process = first
	for range changes {
		w.serve(w.drawLength())
		if err := w.change(); err != nil {
			return nil, err
		}
	}
	if err := w.settle(); err != nil {
		return nil, err
	}
	return w.judge(), nil
}

// report records a broken rule.
func (w *world) report(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// drawLength returns the time until the next change.
func (w *world) drawLength() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return between(w.rng, 20*time.Millisecond, 250*time.Millisecond)
}

// serve lets clients submit messages for a time.
func (w *world) serve(length time.Duration) {
	for started := time.Now(); time.Since(started) < length; time.Sleep(betweenTicks) {
		w.mu.Lock()
		if percent(w.rng, 30) {
			w.submitNew()
		}
		if percent(w.rng, 10) {
			w.submitAgain()
		}
		for _, name := range sortedKeys(w.process.fronts) {
			w.process.fronts[name].tick()
		}
		w.mu.Unlock()
	}
}

// submitNew submits a message under the present terms of its class.
func (w *world) submitNew() {
	p := w.process
	name := classNames[w.rng.Intn(len(classNames))]
	class, known := p.classes[name]
	f := p.fronts[frontNames[w.rng.Intn(len(frontNames))]]
	if !known || f == nil { // no front accepts it
		return
	}
	m := &message{id: fmt.Sprintf("m%d", len(w.order)), front: f.name, class: class}
	m.request = sender.Request{
		ID: m.id, Class: name, Destination: int64(1 + w.rng.Intn(2)), Front: f.name, Body: []byte("body"),
		Deadline: p.core.Now().Add(clock.Microseconds(class.DeadlineUs)),
	}
	if class.Idempotency == scheduler.IdempotentByKey {
		m.request.Key = keyedID + m.id
	}
	w.messages[m.id] = m
	w.order = append(w.order, m)
	w.submit(m, m.request, f)
}

// submit submits a message with a permanent or a transient reply address.
func (w *world) submit(submitted *message, request sender.Request, through *front) {
	request.Correlation = fmt.Sprintf("queue %d", w.rng.Intn(3))
	if percent(w.rng, 50) {
		request.Correlation = through.newAddress()
	}
	asked := &ask{message: submitted, front: through, address: request.Correlation}
	request.IngressData = asked
	submitted.asks = append(submitted.asks, asked)
	through.process.core.Submit(&request)
}

// nextName returns a new name.
func (w *world) nextName() string {
	w.names++
	return fmt.Sprint(w.names)
}

// sortedKeys returns the keys of a map in an order that does not vary.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// submitAgain submits one of the latest messages again, with another reply address.
func (w *world) submitAgain() {
	const latest = 10
	if len(w.order) == 0 {
		return
	}
	m := w.order[max(0, len(w.order)-1-w.rng.Intn(latest))]
	class, known := w.process.classes[m.request.Class]
	f := w.process.fronts[m.front]
	if f == nil || !known || !m.accepted() || w.process.core.Now() >= m.rememberedUntil() {
		return // or its id may be forgotten: it would be a new message
	}
	again := m.request
	again.Deadline = w.process.core.Now().Add(clock.Microseconds(class.DeadlineUs))
	w.submit(m, again, f)
}

// reload is the way of a change that keeps the process.
const reload = "reload"

// replacement is a change of the settings, and the way in which it comes.
type replacement struct {
	way      string
	settings scheduler.Settings
	fronts   []string
	offline  bool // the registry does not respond: a new process has an older list
}

// change draws a change and makes it.
func (w *world) change() error {
	drawn := w.drawChange()
	w.history = append(w.history, fmt.Sprintf("%s: classes %v, fronts %v, %d endpoints, registry offline %v", drawn.way,
		drawn.settings.Classes, drawn.fronts, len(w.registry.current), drawn.offline))
	return w.replace(drawn)
}

func (w *world) drawChange() replacement {
	w.mu.Lock()
	defer w.mu.Unlock()
	fronts := frontNames[:1]
	if percent(w.rng, 60) {
		fronts = frontNames
	}
	ways := []string{reload, reload, "kill", "stop", "upgrade"}
	w.registry.change()
	return replacement{ways[w.rng.Intn(len(ways))], drawSettings(w.rng), fronts, percent(w.rng, 40)}
}

// drawEnd draws how everything is put back.
func (w *world) drawEnd() replacement {
	w.mu.Lock()
	defer w.mu.Unlock()
	ways := []string{reload, "kill", "stop", "upgrade"}
	w.registry.putBack()
	return replacement{ways[w.rng.Intn(len(ways))], fullSettings(w.rng), frontNames, false}
}

// replace changes the fronts and endpoints, and with another process the classes too.
func (w *world) replace(change replacement) (err error) {
	var next *process
	switch change.way {
	case reload:
		w.reload(change)
		return nil
	case "upgrade":
		next, err = w.process.upgrade(change)
	case "stop":
		w.process.stop()
		next, err = w.startAndRun(change)
	default:
		w.process.kill()
		w.forgetUnsaved()
		next, err = w.startAndRun(change)
	}
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkGuard()
	w.process = next
	return nil
}

// forgetUnsaved drops what the killed process may not have saved of the registry's reports.
func (w *world) forgetUnsaved() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registry.forgetUnsaved()
}

// reload changes the fronts and endpoints of the running process. Its classes stay, and so do its fronts.
func (w *world) reload(change replacement) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range change.fronts {
		w.process.addFrontLater(name)
	}
	w.sendEndpointList(w.process, change)
}

// sendEndpointList gives a process the list of the registry or, while that does not respond, an older one. A running
// process keeps what it has then.
func (w *world) sendEndpointList(to *process, change replacement) {
	switch {
	case !change.offline:
		list := w.registry.report()
		to.core.UpdateRoutes(scheduler.UpdateFull, list)
		to.core.Post(func() { // what was decided before has been sent
			w.mu.Lock()
			defer w.mu.Unlock()
			w.registry.applied(list)
		})
	case change.way != reload:
		to.core.UpdateRoutes(scheduler.UpdateStale, w.registry.copyOf())
	}
}

func (w *world) startAndRun(change replacement) (*process, error) {
	next, err := w.start(change, nil)
	if err == nil {
		next.run()
	}
	return next, err
}

// checkGuard reports violations that the process has found itself.
func (w *world) checkGuard() {
	if count := w.process.core.Violations(); count > 0 {
		w.report("the guard has found %d violations", count)
	}
}

// settle puts everything back and waits for the final answers.
func (w *world) settle() error {
	end := w.drawEnd()
	w.history = append(w.history, end.way+": all put back")
	if err := w.replace(end); err != nil {
		return err
	}
	for started := time.Now(); time.Since(started) < endTimeout && !w.allAnswered(); time.Sleep(betweenTicks) {
	}
	time.Sleep(lateAnswers)
	w.process.kill()
	return nil
}

// allAnswered lets all clients read, and reports whether none waits for a final answer.
func (w *world) allAnswered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.process.fronts {
		f.readAll()
	}
	return !slices.ContainsFunc(w.order, func(m *message) bool { return m.waiting(w.process) != nil })
}

// judge returns the report of the play.
func (w *world) judge() *Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkGuard()
	report := &Report{History: w.history}
	for _, m := range w.order {
		if m.accepted() {
			report.Accepted++
		}
		if len(m.asks) > 1 {
			report.Again++
		}
		if len(m.runs) > 1 {
			report.Repeated++
		}
		w.broken = append(w.broken, m.violations(w.process)...)
	}
	report.Broken = w.broken
	return report
}
