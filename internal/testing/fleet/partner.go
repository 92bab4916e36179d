package fleet

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is a stand-in HTTP endpoint with a limit of calls per second and a burst of endpointBurst. Calls
// above the limit are refused with 429 and a wait.
type Endpoint struct {
	ln         net.Listener
	mu         sync.Mutex
	rate       float64
	tokens     float64
	lastRefill time.Time

	// Lost counts calls while it was unavailable, Collapses the recoveries that ended under too many calls
	Accepted, Refused, Lost, Collapses atomic.Int64
	down                               atomic.Bool

	coldReturn  bool        // it recovers at a fraction of its rate
	returnStart time.Time   // start of its recovery; zero: it has its full rate
	window      []time.Time // times of the calls of the last coldWindow, during a cold return
}

// An endpoint with a cold return recovers with coldInitialShare of its rate and has all of it after
// coldDuration. When the calls of the last coldWindow exceed coldTolerance times its current rate, by more than
// three standard deviations and three calls, it becomes unavailable again for collapseDuration.
const (
	coldInitialShare, coldTolerance = 0.2, 2.0
	coldWindow, coldDuration        = 2 * time.Second, 13 * time.Second
	collapseDuration                = 2 * time.Second
)

// SetColdReturn makes each later recovery begin at a fraction of the rate.
func (e *Endpoint) SetColdReturn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldReturn = true
}

// overloaded counts a call to a recovering endpoint and reports whether the endpoint collapses under it.
// The caller must hold mu.
func (e *Endpoint) overloaded(now time.Time) bool {
	if elapsed := now.Sub(e.returnStart); e.returnStart.IsZero() || elapsed > coldDuration {
		e.window = nil
		return false
	}
	e.window = append(slices.DeleteFunc(e.window,
		func(callTime time.Time) bool { return now.Sub(callTime) > coldWindow }), now)
	observed := min(coldWindow, now.Sub(e.returnStart)).Seconds()
	position := (now.Sub(e.returnStart).Seconds() - observed/2) / coldDuration.Seconds()
	tolerated := coldTolerance * e.rate * (coldInitialShare + (1-coldInitialShare)*position) * coldWindow.Seconds()
	if float64(len(e.window)) <= tolerated+3*math.Sqrt(tolerated)+3 {
		return false
	}
	e.Collapses.Add(1)
	e.window = nil
	e.down.Store(true)
	time.AfterFunc(collapseDuration, func() { e.SetDown(false) })
	return true
}

// endpointBurst is the capacity of the token bucket, in seconds of its rate.
const endpointBurst = 0.5

// NewEndpoint listens on a free loopback port. rate is in calls per second.
func NewEndpoint(rate float64) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fleet: endpoint: %w", err)
	}
	e := &Endpoint{ln: ln, rate: rate, tokens: rate * endpointBurst, lastRefill: time.Now()}
	go func() { _ = (&http.Server{Handler: e, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return e, nil
}

// Addr returns the address on which the endpoint listens.
func (e *Endpoint) Addr() string { return e.ln.Addr().String() }

// Close stops the endpoint.
func (e *Endpoint) Close() { _ = e.ln.Close() }

// SetDown makes the endpoint unavailable or available. While unavailable it reads each call and resets the
// connection without a response.
func (e *Endpoint) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down.Store(down); e.coldReturn && !down {
		e.returnStart, e.window = time.Now(), nil
	}
}

// ServeHTTP accepts or refuses one call.
func (e *Endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(request.Body, 1<<20))
	if e.down.Load() {
		e.Lost.Add(1)
		if conn, _, err := http.NewResponseController(writer).Hijack(); err == nil {
			abort(conn)
		}
		return
	}
	e.mu.Lock()
	now := time.Now()
	e.tokens = min(e.rate*endpointBurst, e.tokens+e.rate*now.Sub(e.lastRefill).Seconds())
	e.lastRefill = now
	collapsed := e.overloaded(now)
	accepted := e.tokens >= 1 && !collapsed
	if accepted {
		e.tokens--
	}
	e.mu.Unlock()
	if !accepted {
		e.Refused.Add(1)
		writer.Header().Set("X-Backoff-Ms", "200")
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	e.Accepted.Add(1)
}
