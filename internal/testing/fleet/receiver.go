package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Receiver is the stand-in HTTP server to which members send the executions of duties. It records their begin and end.
type Receiver struct {
	timeline *Timeline
	ln       net.Listener

	mu            sync.Mutex
	newest        map[string]uint64 // highest epoch seen, by duty
	executionTime time.Duration     // how long an execution takes
	status        int               // HTTP status of replies; 0: 200
	acceptStale   bool              // accepts executions of stale epochs
}

// NewReceiver listens on a free loopback port.
func NewReceiver(timeline *Timeline) (*Receiver, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fleet: receiver: %w", err)
	}
	r := &Receiver{timeline: timeline, ln: ln, newest: map[string]uint64{}}
	go func() { _ = (&http.Server{Handler: r, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return r, nil
}

// Addr returns the address on which the receiver listens.
func (r *Receiver) Addr() string { return r.ln.Addr().String() }

// Close stops the receiver.
func (r *Receiver) Close() { _ = r.ln.Close() }

// SetBehavior sets how long an execution takes, the status of replies (0: 200), and whether executions of stale
// epochs are accepted.
func (r *Receiver) SetBehavior(executionTime time.Duration, status int, acceptStale bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executionTime, r.status, r.acceptStale = executionTime, status, acceptStale
}

// ServeHTTP accepts one execution, which ends no later than its connection. An execution of an epoch older than
// the newest seen is refused with 409 and has no other effect.
func (r *Receiver) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var execution struct {
		Duty, Member string
		Epoch, Act   uint64
	}
	raw, err := io.ReadAll(io.LimitReader(request.Body, 64<<10))
	if err == nil {
		err = json.Unmarshal(raw, &execution)
	}
	if err != nil || request.Method != http.MethodPost || execution.Duty == "" {
		http.Error(writer, "no act", http.StatusBadRequest)
		return
	}
	event := Event{
		Member: execution.Member, Kind: EventExecution, Duty: execution.Duty, Epoch: execution.Epoch,
		Execution: execution.Act, ExecutionID: r.timeline.nextExecutionID(),
	}
	r.mu.Lock()
	if execution.Epoch < r.newest[execution.Duty] && !r.acceptStale {
		event.Kind, event.Text = EventRefused, fmt.Sprint(r.newest[execution.Duty])
		r.timeline.Add(event)
		r.mu.Unlock()
		http.Error(writer, "a newer epoch is known: "+event.Text, http.StatusConflict)
		return
	}
	r.newest[execution.Duty] = max(r.newest[execution.Duty], execution.Epoch)
	executionTime, status := r.executionTime, r.status
	r.timeline.Add(event)
	r.mu.Unlock()
	select {
	case <-time.After(executionTime):
	case <-request.Context().Done(): // the member has abandoned the execution or has ended
	}
	event.Kind = EventDone
	r.timeline.Add(event)
	if status != 0 {
		writer.WriteHeader(status)
	}
}
