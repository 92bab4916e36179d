package soak

import (
	"bufio"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"brackendale/internal/testing/fleet"
)

// behavior is how an endpoint responds to calls.
type behavior uint8

const (
	normal    behavior = iota
	refusing           // refuses, mostly with a Retry-After
	failing            // 500
	hanging            // accepts calls and never responds
	resetting          // resets connections under calls
	malformed          // sends malformed responses
	slow
	mixed // one of the above, drawn for each call
	behaviorCount

	// busy answers after a while, mostly with success. It is not drawn as a fault.
	busy behavior = behaviorCount + 1
	// flaky hangs or refuses some calls, and answers the others after a while. It is not drawn as a fault.
	flaky behavior = behaviorCount + 2
)

// endpoint is a stand-in endpoint of a destination. It is safe for concurrent use.
type endpoint struct {
	name  string
	dest  int64
	grace time.Duration
	judge *Judge
	ln    net.Listener

	relay *fleet.Relay // between the sender and the endpoint; nil: connections are direct

	mu        sync.Mutex
	rng       *rand.Rand
	behavior  behavior
	drainFrom time.Time // time from which the sender must have the draining state; zero: it is active
	conns     map[net.Conn]bool
}

// newEndpoint starts an endpoint. With a plan, its connections carry stray answers.
func newEndpoint(
	name string, dest int64, grace time.Duration, judge *Judge, rng *rand.Rand, strays *strayPlan, ports *fleet.Ports,
) (*endpoint, error) {
	stamped, err := fleet.NewStampedListener(ports)
	if err != nil {
		return nil, err
	}
	ln := strays.listen(stamped)
	e := &endpoint{name: name, dest: dest, grace: grace, judge: judge, ln: ln, rng: rng, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			judge.count("connections", 1)
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, nil
}

// dial returns the address at which the sender reaches the endpoint.
func (e *endpoint) dial() string {
	if e.relay != nil {
		return e.relay.Addr()
	}
	return e.ln.Addr().String()
}

func (e *endpoint) setBehavior(mode behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = mode
}

func (e *endpoint) drainStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainFrom
}

// draw returns the behavior for one call, and a random number for its details.
func (e *endpoint) draw() (behavior, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	mode := e.behavior
	if mode == mixed {
		mode = behavior(e.rng.Intn(int(mixed)))
	}
	return mode, e.rng.Intn(1 << 20)
}

// close stops the endpoint as a crash does: its connections are reset.
func (e *endpoint) close() {
	_ = e.ln.Close()
	if e.relay != nil {
		e.relay.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
}

// resetConnections resets all connections, including those with calls in flight.
func (e *endpoint) resetConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if stamped := stampedConn(conn); stamped != nil {
		_ = stamped.SetLinger(0)
	}
	_ = conn.Close()
}

// stampedConn returns the stand-in's side of a connection with the times of its bytes, or nil if it has none.
func stampedConn(conn net.Conn) *fleet.StampedConn {
	if stray, ok := conn.(*strayConn); ok {
		conn = stray.Conn
	}
	stamped, _ := conn.(*fleet.StampedConn)
	return stamped
}

// lastArrival returns when the bytes that were last read from a connection had arrived, by the kernel.
func lastArrival(conn net.Conn) time.Time {
	if stamped := stampedConn(conn); stamped != nil {
		return stamped.Arrival()
	}
	return time.Now()
}

// item is one message of a call. expired: the endpoint does not execute it, see recordCall.
type item struct {
	id      string
	attempt *attempt
	expired bool
}

func (e *endpoint) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	for reader := bufio.NewReader(conn); ; {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := lastArrival(conn)
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return // the connection ended before the last byte, so there was no call
		}
		items, ok := e.items(conn, request, string(body), first)
		if !ok {
			e.judge.Violate("misrouted: %s %s cannot be read", request.Method, request.URL.Path)
			return
		}
		call := &call{endpoint: e, conn: conn, reader: reader, items: items, relayed: items[0].attempt.relayed}
		if !call.respond() {
			return
		}
	}
}

// connectionName names a connection in reports.
func connectionName(conn net.Conn, endpoint string) string {
	if stray, ok := conn.(*strayConn); ok {
		return stray.name()
	}
	return endpoint + " from " + conn.RemoteAddr().String()
}

// items parses the messages of a call and records them with the judge.
func (e *endpoint) items(
	conn net.Conn, request *http.Request, body string, first time.Time,
) (parsed []item, ok bool) {
	if request.URL.Path == "/events" {
		e.judge.awaitOpenCalls(request.Header.Get("Req-Id"))
		id := request.Header.Get("Req-Id")
		recorded, expired := e.judge.recordCall(e, id, request.Header.Get("Idempotency-Key"), body, e.arrivalOf(conn, first))
		recorded.connection = connectionName(conn, e.name)
		return []item{{id, recorded, expired}}, true
	}
	for body != "" {
		line, rest, found := strings.Cut(body, "\r\n")
		fields := strings.Fields(line)
		if !found || len(fields) != 3 {
			return nil, false
		}
		length, err := strconv.Atoi(fields[2])
		if err != nil || length+2 > len(rest) {
			return nil, false
		}
		key := fields[1]
		if key == "-" {
			key = ""
		}
		e.judge.awaitOpenCalls(fields[0])
		recorded, expired := e.judge.recordCall(e, fields[0], key, rest[:length], e.arrivalOf(conn, first))
		recorded.connection = connectionName(conn, e.name)
		parsed = append(parsed, item{fields[0], recorded, expired})
		body = rest[length+2:]
	}
	return parsed, len(parsed) > 0
}
