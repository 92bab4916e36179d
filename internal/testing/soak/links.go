package soak

import (
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"brackendale/internal/testing/fleet"
)

// LinkOptions are the faults of the connections between the sender and its peers. Each connection of a link goes
// through a relay, and Percent of them have one of the link's faults.
type LinkOptions struct {
	Percent   int
	Endpoints []fleet.RelayFault
	Agent     []fleet.RelayFault // of the watch and of the notices
	Clients   []fleet.RelayFault

	HalfClosePercent int           // of the requests behind which the client ends its sending and waits
	LargePercent     int           // of the messages that have a body of largeBody bytes
	Deadline         time.Duration // of all messages; 0: it is drawn
	ClientCount      int           // 0: clientCount
}

// largeBody is the size of a large body, in bytes: within the protocol's limit.
const largeBody = 60_000

// links are the relays of a simulation. A nil *links has none, and changes nothing.
type links struct {
	options LinkOptions
	judge   *Judge
	seed    int64

	mu     sync.Mutex
	relays []*fleet.Relay
	client *fleet.Relay
}

func newLinks(options LinkOptions, judge *Judge, seed int64) *links {
	return &links{options: options, judge: judge, seed: seed}
}

func (l *links) start(target string, faults []fleet.RelayFault, seed int64, small bool) (*fleet.Relay, error) {
	relay, err := fleet.NewRelay(fleet.RelayOptions{
		Target: target, Seed: seed, Percent: l.options.Percent, Faults: faults, SmallBuffers: small,
	})
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays = append(l.relays, relay)
	return relay, nil
}

// relayEndpoint puts a relay in front of an endpoint.
func (l *links) relayEndpoint(e *endpoint, seed int64) (err error) {
	if l == nil {
		return nil
	}
	e.relay, err = l.start(e.ln.Addr().String(), l.options.Endpoints, seed, true)
	return err
}

// relayAgent puts a relay in front of an agent and returns the address at which the sender reaches it.
func (l *links) relayAgent(addr string) (string, error) {
	if l == nil {
		return addr, nil
	}
	l.mu.Lock()
	seed := l.seed + int64(len(l.relays))
	l.mu.Unlock()
	relay, err := l.start(addr, l.options.Agent, seed, false)
	if err != nil {
		return "", err
	}
	return relay.Addr(), nil
}

// relayClients puts a relay between the clients and the sender.
func (l *links) relayClients(listen string) (err error) {
	if l == nil {
		return nil
	}
	l.client, err = l.start(listen, l.options.Clients, l.seed+1, false)
	return err
}

// clientAddr returns the address at which clients reach the sender.
func (s *simulation) clientAddr() string {
	if s.links == nil {
		return s.listen
	}
	return s.links.client.Addr()
}

// clients returns the number of clients that submit messages.
func (l *links) clients() int {
	if l == nil || l.options.ClientCount == 0 {
		return clientCount
	}
	return l.options.ClientCount
}

func (l *links) deadline() time.Duration {
	if l == nil {
		return 0
	}
	return l.options.Deadline
}

// filling returns what makes a body a large one, or nothing.
func (l *links) filling(rng *rand.Rand) string {
	if l == nil || l.options.LargePercent == 0 || rng.Intn(100) >= l.options.LargePercent {
		return ""
	}
	return strings.Repeat("x", largeBody)
}

// knownFrom returns when a change of the list counts as told: if links have faults, when it does whether or not it
// arrived.
func (l *links) knownFrom(now time.Time) time.Time {
	if l == nil || len(l.options.Agent) == 0 {
		return now
	}
	return now.Add(unresponsiveWatchDelay)
}

// halfClose ends the client's sending behind a request, for a share of them, and reports whether it did.
func (l *links) halfClose(conn net.Conn, rng *rand.Rand) bool {
	if l == nil || l.options.HalfClosePercent == 0 || rng.Intn(100) >= l.options.HalfClosePercent {
		return false
	}
	tcp, ok := conn.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}

// clientFaulty reports whether the connection of a client may have a fault, which can take its answer away.
func (l *links) clientFaulty(net.Conn) bool {
	return l != nil && l.options.Percent > 0 && len(l.options.Clients) > 0
}

func (l *links) stopFaults() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, relay := range l.relays {
		relay.StopFaults()
	}
}

func (l *links) close() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, relay := range l.relays {
		relay.Close()
	}
}

// arrivalOf returns when the bytes of the call on a connection arrived from the sender. first is when the endpoint has
// seen its first byte.
func (e *endpoint) arrivalOf(conn net.Conn, first time.Time) arrival {
	came := arrival{first: first, last: time.Now()}
	if e.relay == nil {
		return came
	}
	if came.relayed = e.relay.Lookup(conn.RemoteAddr()); came.relayed != nil {
		came.first, came.last = came.relayed.Arrival()
	}
	return came
}

// relayed returns the connection of the call at its relay, or nil.
func (c *call) relayed() *fleet.RelayedConn {
	if c.endpoint.relay == nil {
		return nil
	}
	return c.endpoint.relay.Lookup(c.conn.RemoteAddr())
}

// mayLoseAnswer reports whether the connection of the call has a fault, so that its answer may not arrive.
func (c *call) mayLoseAnswer() bool {
	relayed := c.relayed()
	return relayed != nil && relayed.Fault() != fleet.RelayFaultNone
}

// whenForwarded calls f once size bytes of the answer were written to the sender.
func (c *call) whenForwarded(size int, f func()) {
	if relayed := c.relayed(); relayed != nil {
		relayed.WhenForwarded(size, f)
		return
	}
	f()
}
