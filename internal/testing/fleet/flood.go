package fleet

import (
	"bufio"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ConnectionFlood is a scenario in which the clients of failed senders submit one message each to a
// sender that has just started, all at the same time, and again after the wait that its rejection names.
type ConnectionFlood struct {
	Program       string
	Dir           string
	Clients       int
	LimitPerS     float64       // calls per second that the endpoint accepts
	WarmUp        time.Duration // before the sender is killed
	MaxRetryAfter time.Duration // maximum wait that the sender may request from a client
	Seed          int64
}

// ConnectionFloodReport is the result of a ConnectionFlood; times count from the start of the flood.
type ConnectionFloodReport struct {
	Bins         []int         `json:"bins"`     // submits, in bins of binLength
	PeakSubmits  int           `json:"most"`     // maximum of one bin, without the first second
	MeanSubmits  float64       `json:"tries"`    // mean number of submits per client
	Accepted     int           `json:"taken"`    // messages accepted
	Lost         int           `json:"lost"`     // clients whose message was not accepted
	LastAccepted time.Duration `json:"until_ns"` // when the last message was accepted
}

const (
	floodConnections = 50              // shared by all clients: a client is one message, not one connection
	floodTimeout     = 2 * time.Minute // limit of the whole flood
	listenTimeout    = 10 * time.Second
)

// floodRun counts the submits of a flood. Its methods may be called by any goroutine.
type floodRun struct {
	start time.Time

	mu     sync.Mutex
	report ConnectionFloodReport
}

// count adds submits that were sent at a time since the start, and how many of them were accepted.
func (r *floodRun) count(at time.Duration, submits, accepted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.report.Bins) <= int(at/binLength) {
		r.report.Bins = append(r.report.Bins, 0)
	}
	r.report.Bins[at/binLength] += submits
	if r.report.Accepted += accepted; accepted > 0 {
		r.report.LastAccepted = max(r.report.LastAccepted, time.Since(r.start))
	}
}

// Run kills a sender under ordinary traffic, starts it again and lets all clients submit at once.
func (f ConnectionFlood) Run() (result ConnectionFloodReport, err error) {
	endpoint, cluster, names, ports, err := LimitScenario{
		Program: f.Program, Dir: f.Dir, Senders: 1, LimitPerS: f.LimitPerS,
		MaxRetryAfter: f.MaxRetryAfter,
	}.start()
	if err != nil {
		return result, err
	}
	defer endpoint.Close()
	defer cluster.Close()
	addr := ports[names[0]]
	if err := f.restart(cluster, names[0], addr); err != nil {
		return result, err
	}
	run := &floodRun{start: time.Now()}
	err = errors.Join(f.flood(run, addr), cluster.crashed())
	result = run.report
	result.Lost = f.Clients - result.Accepted
	total := 0
	for i, submits := range result.Bins {
		if total += submits; i >= int(time.Second/binLength) {
			result.PeakSubmits = max(result.PeakSubmits, submits)
		}
	}
	result.MeanSubmits = float64(total) / float64(f.Clients)
	return result, err
}

// restart runs ordinary traffic for WarmUp, kills the sender, starts it again and waits until it listens.
func (f ConnectionFlood) restart(cluster *Cluster, name, addr string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var rate atomic.Int64 // in thousandths of a message per second
	rate.Store(int64(800 * f.LimitPerS))
	go Load(ctx, addr, "before", &rate)
	time.Sleep(f.WarmUp)
	cancel()
	cluster.Proc(name).Kill()
	<-cluster.Proc(name).done
	if err := cluster.StartMembers(name); err != nil {
		return err
	}
	for end := time.Now().Add(listenTimeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", addr)
		if err == nil {
			_ = conn.Close()
			return nil
		}
		if time.Now().After(end) {
			return errors.Join(err, cluster.logTails())
		}
	}
}

// flood submits the messages of all clients, each first at a random time in the first binLength, and
// returns when all are accepted or floodTimeout has passed.
func (f ConnectionFlood) flood(run *floodRun, addr string) error {
	rng := rand.New(rand.NewSource(f.Seed))
	var connections sync.WaitGroup
	errs := make([]error, floodConnections)
	for i := range floodConnections {
		var due dueQueue
		for client := i; client < f.Clients; client += floodConnections {
			heap.Push(&due, dueClient{time.Duration(rng.Int63n(int64(binLength))), client})
		}
		connections.Add(1)
		go func() {
			defer connections.Done()
			errs[i] = submitUntilAccepted(addr, run, due)
		}()
	}
	connections.Wait()
	return errors.Join(errs...)
}

// submitUntilAccepted submits the messages of some clients over one connection, each when it is due,
// until all are accepted or floodTimeout has passed.
func submitUntilAccepted(addr string, run *floodRun, due dueQueue) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return fmt.Errorf("fleet: connection flood: %w", err)
	}
	defer conn.Close()
	replies := bufio.NewReader(conn)
	for len(due) > 0 && time.Since(run.start) < floodTimeout {
		time.Sleep(due[0].at - time.Since(run.start))
		now := time.Since(run.start)
		var batch []dueClient
		var ids []string
		for len(due) > 0 && due[0].at <= now && len(batch) < submitBatch {
			next, _ := heap.Pop(&due).(dueClient)
			batch = append(batch, next)
			ids = append(ids, "crowd-"+strconv.Itoa(next.client))
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(conn, submitCommands(ids...)); err != nil {
			return fmt.Errorf("fleet: connection flood: %w", err)
		}
		accepted := 0
		for _, submitted := range batch {
			line, err := replies.ReadString('\n')
			if err != nil {
				return fmt.Errorf("fleet: connection flood: %w", err)
			}
			if strings.HasPrefix(line, "+OK") {
				accepted++
				continue
			}
			retryAfterMs, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
			wait := time.Duration(max(retryAfterMs, 10)) * time.Millisecond
			heap.Push(&due, dueClient{time.Since(run.start) + wait, submitted.client})
		}
		run.count(now, len(batch), accepted)
	}
	return nil
}

// dueClient is a client with the time of its next submit, counted from the start of the flood.
type dueClient struct {
	at     time.Duration
	client int
}

// dueQueue is a heap of clients, the earliest submit first.
type dueQueue []dueClient

func (d dueQueue) Len() int           { return len(d) }
func (d dueQueue) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dueQueue) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dueQueue) Push(x any) { y, _ := x.(dueClient); *d = append(*d, y) }

// Pop implements heap.Interface.
func (d *dueQueue) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}
