package settingschange

import (
	"slices"
	"strings"

	"brackendale/sender"
)

// transientPrefix begins the reply addresses that end with their client's connection, or with the process.
const transientPrefix = "connection "

// front is the front of some clients. world.mu guards it, but for what Sender.Ingress says.
type front struct {
	process *process
	name    string
	open    map[string]bool     // the transient reply addresses that exist
	held    map[string][]answer // answers that wait for clients that do not read, by their reply address
}

// answer is a final answer on its way to a client.
type answer struct {
	message *message
	outcome string
}

func newFront(p *process, name string) *front {
	return &front{process: p, name: name, open: map[string]bool{}, held: map[string][]answer{}}
}

// Answer records the verdict on a request.
func (f *front) Answer(request *sender.Request, verdict sender.Verdict, _ int64) {
	if asked, ok := request.IngressData.(*ask); ok {
		asked.message.verdict(asked, verdict)
	}
}

// MustNotify reports that every final answer must be delivered.
func (f *front) MustNotify(string) bool { return true }

// Deduplicates reports that a message whose ID was accepted before must not run again.
func (f *front) Deduplicates() bool { return true }

// IsTransient implements sender.Notifier.
func (f *front) IsTransient(correlation string) bool {
	return strings.HasPrefix(correlation, transientPrefix)
}

// Notify gives a final answer to the latest client that exists, which may not read it at once. A client whose address
// is permanent acknowledges it, now or never.
func (f *front) Notify(notice sender.Notice) {
	w := f.process.world
	m := w.messages[notice.ID]
	if m == nil {
		w.report("an answer to %s, which nobody has submitted", notice.ID)
		return
	}
	addresses := append([]string{notice.Correlation}, notice.Earlier...)
	i := slices.IndexFunc(addresses, f.exists)
	switch {
	case i < 0:
		f.process.core.Acknowledge(m.id)
	case f.IsTransient(addresses[i]) && percent(w.rng, 40):
		f.held[addresses[i]] = append(f.held[addresses[i]], answer{m, notice.Answer})
	case f.IsTransient(addresses[i]) || percent(w.rng, 70):
		m.heard(addresses[i], notice.Answer, f.process.number)
		f.process.core.Acknowledge(m.id)
	default:
		m.heard(addresses[i], notice.Answer, f.process.number)
	}
}

// exists reports whether a reply address exists.
func (f *front) exists(address string) bool { return !f.IsTransient(address) || f.open[address] }

// newAddress opens a transient reply address.
func (f *front) newAddress() string {
	address := transientPrefix + f.process.world.nextName()
	f.open[address] = true
	return address
}

// read lets a client read what waits for it.
func (f *front) read(address string) {
	for _, a := range f.held[address] {
		a.message.heard(address, a.outcome, f.process.number)
		f.process.core.Acknowledge(a.message.id)
	}
	delete(f.held, address)
}

// drop ends a client's connection. What it has not read is given back.
func (f *front) drop(address string) {
	delete(f.open, address)
	for _, a := range f.held[address] {
		f.process.core.ReportUnheard(a.message.id)
	}
	delete(f.held, address)
}

// tick lets some clients read and ends some connections.
func (f *front) tick() {
	rng := f.process.world.rng
	for _, address := range sortedKeys(f.open) {
		switch {
		case percent(rng, 3):
			f.read(address)
		case percent(rng, 1):
			f.drop(address)
		}
	}
}

// readAll lets all clients read.
func (f *front) readAll() {
	for address := range f.open {
		f.read(address)
	}
}
