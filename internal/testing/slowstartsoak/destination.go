// Package slowstartsoak plays outages of destinations that many real processes of the sender share, and judges by the
// destinations' own records whether a destination that came back got more calls than it could take.
package slowstartsoak

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/testing/fleet"
)

// OutageKind is how a destination answers calls in an outage.
type OutageKind uint8

// The kinds of outages.
const (
	Silent        OutageKind = iota // it reads calls and never answers
	Resetting                       // it resets the connections of calls
	ServerError                     // 500
	Refusing                        // 503
	RefusingWaits                   // 429 with a wait
	MostlyFailing                   // 500 to four calls in five, the fifth succeeds
	outageKinds
)

// String returns the name of a kind of outage.
func (k OutageKind) String() string {
	return [...]string{"silent", "reset", "500", "503", "429 with waits", "four of five 500"}[k]
}

// The recovery of a destination: it returns with initialShare of its capacity and has all of it after slowStartTime.
// Sent more than overloadMultiple of its present capacity for overloadWindow, it falls for fallTime.
const (
	initialShare     = 0.2
	slowStartTime    = 12 * time.Second
	overloadMultiple = 2.0
	overloadWindow   = 2 * time.Second
	fallTime         = 3 * time.Second
	// burst is the size of the token bucket with which a destination refuses calls above its capacity, in its time.
	burst = 500 * time.Millisecond
	// advertisedShare is the limit that a destination advertises, as a share of its capacity.
	advertisedShare = 1 / 1.2
	serviceTime     = 30 * time.Millisecond
)

// destination is a stand-in destination with endpoints that share its capacity. It is safe for concurrent use.
type destination struct {
	id         int64
	number     int     // of the route among those of its destination
	capacity   float64 // calls per second
	kind       OutageKind
	advertises bool // its answers tell its limit
	falls      bool // it falls under too many calls, and so has further outages
	refuses    bool // it refuses calls above its capacity
	listeners  []net.Listener
	moves      int // changes of its addresses

	mu         sync.Mutex
	out        bool
	outages    int
	returnedAt time.Time // zero: it has all of its capacity
	tokens     float64
	tokensAt   time.Time
	callCount  int
	delivered  int
	failures   map[string]int // by sender: its failed and refused calls in the last outage
	calls      []recordedCall // since the last return
	returns    []*recovery
}

// recordedCall is a call that reached a destination after a return.
type recordedCall struct {
	at       time.Time
	failures int // of its sender in the outage
}

func newDestination(id int64, capacity float64, endpoints int, ports *fleet.Ports) (*destination, error) {
	d := &destination{
		id: id, capacity: capacity, tokens: capacity * burst.Seconds(), tokensAt: time.Now(), failures: map[string]int{},
	}
	return d, d.listen(endpoints, ports)
}

func (d *destination) listen(endpoints int, ports *fleet.Ports) error {
	for range endpoints {
		listener, err := ports.Listen()
		if err != nil {
			return err
		}
		d.listeners = append(d.listeners, listener)
		go func() { _ = (&http.Server{Handler: d, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	}
	return nil
}

// move closes the destination's addresses and opens as many others.
func (d *destination) move(ports *fleet.Ports) error {
	d.close()
	endpoints := len(d.listeners)
	d.listeners = nil
	d.moves++
	return d.listen(endpoints, ports)
}

// hosts returns the entries of the destination's endpoints in the endpoint list.
func (d *destination) hosts() (hosts []config.Host) {
	for i, listener := range d.listeners {
		hosts = append(hosts, config.Host{
			Host: fmt.Sprintf("e%d-%d-%d", d.id, d.moves, d.number+i), Dial: listener.Addr().String(), Site: "a", Class: "k",
			Block: d.id, Health: "active", Share: 1,
		})
	}
	return hosts
}

func (d *destination) close() {
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
}

// beginOutage makes the destination unavailable.
func (d *destination) beginOutage(kind OutageKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kind = kind
	d.out, d.calls, d.failures, d.callCount = true, nil, map[string]int{}, 0
	d.outages++
}

// endOutage lets the destination return with a part of its capacity.
func (d *destination) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.out {
		return
	}
	d.out, d.returnedAt, d.tokens = false, time.Now(), 0
	d.returns = append(d.returns, &recovery{at: d.returnedAt, informed: len(d.failures)})
}

// presentCapacity returns the calls per second that the destination takes at a time.
func (d *destination) presentCapacity(at time.Time) float64 {
	if d.returnedAt.IsZero() {
		return d.capacity
	}
	elapsed := at.Sub(d.returnedAt).Seconds() / slowStartTime.Seconds()
	return d.capacity * min(1, initialShare+(1-initialShare)*max(0, elapsed))
}

// budget returns the calls that the destination takes in a window that starts at a time.
func (d *destination) budget(from time.Time) float64 {
	middle := from.Add(overloadWindow / 2)
	return overloadMultiple * d.presentCapacity(middle) * overloadWindow.Seconds()
}

// allowance returns the calls at which a destination with a budget falls: the budget and its variation by chance.
func allowance(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// answer is how a call is answered.
type answer struct {
	status int // 0: never
	waitMs int
	reset  bool
}

// ServeHTTP answers a call.
func (d *destination) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	sender, _, _ := strings.Cut(request.Header.Get("Req-Id"), "-")
	given, inOutage := d.arrive(sender)
	if inOutage && given.status != http.StatusOK {
		if given.status == 0 && !given.reset {
			<-request.Context().Done()
		}
		d.inform(sender)
	}
	switch {
	case given.reset:
		resetConnection(writer)
	case given.status == 0:
	default:
		time.Sleep(serviceTime)
		d.respond(writer, given)
	}
}

func (d *destination) respond(writer http.ResponseWriter, given answer) {
	if given.waitMs > 0 {
		writer.Header().Set("X-Backoff-Ms", fmt.Sprint(given.waitMs))
	}
	if d.advertises && given.status != http.StatusInternalServerError {
		writer.Header().Set("Srv-Load", fmt.Sprintf("x0=%.2f,x1=%.2f", d.headroom(), d.capacity*advertisedShare))
	}
	if given.status == http.StatusOK {
		d.mu.Lock()
		d.delivered++
		d.mu.Unlock()
	}
	writer.WriteHeader(given.status)
}

func resetConnection(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (d *destination) headroom() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.tokens) / max(1, d.capacity*burst.Seconds())
}

// inform records that a sender has been told of a failed or refused call in the outage.
func (d *destination) inform(sender string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures[sender]++
}

// arrive records a call and decides on its answer.
func (d *destination) arrive(sender string) (given answer, inOutage bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callCount++
	if d.out {
		return d.outageAnswer(), true
	}
	now := time.Now()
	if !d.returnedAt.IsZero() && now.Sub(d.returnedAt) < slowStartTime {
		d.calls = append(d.calls, recordedCall{now, d.failures[sender]})
		if d.overloaded(now) && d.falls {
			d.fall()
			return d.outageAnswer(), true
		}
	}
	capacity := d.presentCapacity(now)
	d.tokens = min(max(1, capacity*burst.Seconds()), d.tokens+capacity*now.Sub(d.tokensAt).Seconds())
	d.tokensAt = now
	if d.refuses && d.tokens < 1 {
		return answer{status: http.StatusServiceUnavailable}, false
	}
	d.tokens--
	return answer{status: http.StatusOK}, false
}

// outageWaitMs is the wait that a destination tells in an outage, in milliseconds.
const outageWaitMs = 700

// outageAnswer returns the answer of a call in an outage. The caller must hold mu.
func (d *destination) outageAnswer() answer {
	switch d.kind {
	case Silent:
		return answer{}
	case Resetting:
		return answer{reset: true}
	case Refusing:
		return answer{status: http.StatusServiceUnavailable}
	case RefusingWaits:
		return answer{status: http.StatusTooManyRequests, waitMs: outageWaitMs}
	case MostlyFailing:
		if d.callCount%5 == 0 {
			return answer{status: http.StatusOK}
		}
	}
	return answer{status: http.StatusInternalServerError}
}

// fall begins another outage, under too many calls. The caller must hold mu.
func (d *destination) fall() {
	d.out, d.calls, d.failures, d.callCount = true, nil, map[string]int{}, 0
	d.outages++
	time.AfterFunc(fallTime, d.endOutage)
}
