package load

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Active configures the moderate active load that runs beside the idle connections.
type Active struct {
	Proto    Proto   `json:"Proto"`
	Addr     string  `json:"Addr"`
	Rate     float64 `json:"Rate"`    // messages per second
	Clients  int     `json:"Clients"` // connections that share the messages
	Dest     int64   `json:"Dest"`
	Class    string  `json:"Class"`
	Exchange string  `json:"Exchange"` // used by AMQP only
	Body     int     `json:"Body"`     // body size in bytes
}

// maxDueMessages limits how many due messages wait for a free client.
const maxDueMessages = 4096

// maxLatency is the largest latency that a histogram records, in microseconds.
const maxLatency = 60_000_000

// Latency summarizes a latency distribution in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)),
		ms(h.ValueAtQuantile(99.9)), ms(h.Max()),
	}
}

// tally collects the results of active clients. Each latency is measured from the time at which the message
// was due to be sent, so that it includes the wait for a free client. Its methods are safe for concurrent use.
type tally struct {
	mu                  sync.Mutex
	accepted, answered  *hdrhistogram.Histogram
	rejected, failed    int64
	delivered, returned int64
	errors              map[string]int
}

func newTally() *tally {
	return &tally{
		accepted: hdrhistogram.New(1, maxLatency, 3), answered: hdrhistogram.New(1, maxLatency, 3),
		errors: map[string]int{},
	}
}

// update calls change with mu locked.
func (t *tally) update(change func()) { t.mu.Lock(); change(); t.mu.Unlock() }

// record adds the latency since due to a histogram of the tally. The caller must hold mu.
func (t *tally) record(h *hdrhistogram.Histogram, due time.Time) {
	_ = h.RecordValue(min(maxLatency, max(1, time.Since(due).Microseconds()))) // always within bounds
}

// activeLoad is a running active load.
type activeLoad struct {
	settings Active
	due      chan time.Time
	cancel   context.CancelFunc
	clients  sync.WaitGroup
	current  atomic.Pointer[tally]
	serial   atomic.Int64
	idPrefix string
	missed   atomic.Int64
}

// start starts the load; swapTally returns the results so far.
func (a Active) start() *activeLoad {
	ctx, cancel := context.WithCancel(context.Background())
	r := &activeLoad{
		settings: a, due: make(chan time.Time, maxDueMessages), cancel: cancel,
		idPrefix: strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	r.current.Store(newTally())
	for range a.Clients {
		r.clients.Add(1)
		go func() {
			defer r.clients.Done()
			r.runClient(ctx)
		}()
	}
	r.clients.Add(1)
	go func() {
		defer r.clients.Done()
		interval := time.Duration(float64(time.Second) / a.Rate)
		for next := time.Now(); ctx.Err() == nil; next = next.Add(interval) {
			time.Sleep(time.Until(next))
			select {
			case r.due <- next:
			default:
				r.missed.Add(1) // all clients are busy and the queue is full: counted, so that the queue stays bounded
			}
		}
	}()
	return r
}

func (r *activeLoad) stop() { r.cancel(); r.clients.Wait() }

// swapTally starts a new tally and returns the previous one.
func (r *activeLoad) swapTally() *tally { return r.current.Swap(newTally()) }

// runClient keeps one connection in use until ctx ends, and connects again after an error.
func (r *activeLoad) runClient(ctx context.Context) {
	for ctx.Err() == nil {
		serve := r.runRESP
		if r.settings.Proto == AMQP {
			serve = r.runAMQP
		}
		err := serve(ctx)
		if err != nil && ctx.Err() == nil {
			t := r.current.Load()
			t.update(func() { t.failed++; t.errors[err.Error()]++ })
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (r *activeLoad) id() string { return r.idPrefix + "-" + strconv.FormatInt(r.serial.Add(1), 36) }

func (r *activeLoad) body() []byte { return make([]byte, r.settings.Body) }

// nextDue waits for the next due message. It returns false when ctx ends.
func (r *activeLoad) nextDue(ctx context.Context) (time.Time, bool) {
	select {
	case due := <-r.due:
		return due, true
	case <-ctx.Done():
		return time.Time{}, false
	}
}

// runRESP submits one message after another and waits for each reply.
func (r *activeLoad) runRESP(ctx context.Context) error {
	c, err := net.DialTimeout("tcp", r.settings.Addr, 5*time.Second)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	in := bufio.NewReader(c)
	for {
		due, ok := r.nextDue(ctx)
		if !ok {
			return nil
		}
		id := r.id()
		meta := "c=" + r.settings.Class + ",t=load,k=" + id + ",d=20000,dest=" + strconv.FormatInt(r.settings.Dest, 10)
		body := r.body()
		cmd := fmt.Appendf(nil, "*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n", len(id), id,
			len(meta), meta, len(body))
		cmd = append(append(cmd, body...), '\r', '\n')
		if _, err := c.Write(cmd); err != nil {
			return fmt.Errorf("submitting a message: %w", err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("waiting for a reply: %w", err)
		}
		t := r.current.Load()
		t.update(func() {
			if line[0] != '+' {
				t.rejected++
				return
			}
			t.record(t.accepted, due)
		})
	}
}
