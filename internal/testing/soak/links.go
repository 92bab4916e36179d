package soak

import (
	"io"
	"math/rand"
	"net"
	"net/http"
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

	Cuts bool // links are cut off for a while, and what was sent is delivered later

	Pause time.Duration // the process is stopped once for so long, a second after the start; 0: it is not

	SilentLog bool // nobody reads what the sender logs

	HalfClosePercent int           // of the requests behind which the client ends its sending and waits
	LargePercent     int           // of the messages that have a body of largeBody bytes
	Deadline         time.Duration // of all messages; 0: it is drawn
	ClientCount      int           // 0: clientCount
}

// silentLog is where a sender logs to if nobody reads its log.
type silentLog struct {
	once   sync.Once
	closed chan struct{}
}

// Write returns only when the log is closed.
func (l *silentLog) Write(data []byte) (int, error) {
	<-l.closed
	return len(data), nil
}

func (l *silentLog) close() { l.once.Do(func() { close(l.closed) }) }

// logWriter returns where the next process logs to.
func (s *simulation) logWriter() io.Writer {
	if s.links == nil || !s.links.options.SilentLog {
		return s.log
	}
	return s.links.silentLog
}

// largeBody is the size of a large body, in bytes: within the protocol's limit.
const largeBody = 60_000

// links are the relays of a simulation. A nil *links has none, and changes nothing.
type links struct {
	options LinkOptions
	judge   *Judge
	ports   *fleet.Ports
	seed    int64

	silentLog *silentLog

	mu     sync.Mutex
	relays []*fleet.Relay
	client *fleet.Relay
	agents []*fleet.Relay // the last one is that of the current agent
}

func newLinks(options LinkOptions, judge *Judge, seed int64, ports *fleet.Ports) *links {
	return &links{
		options: options, judge: judge, ports: ports, seed: seed, silentLog: &silentLog{closed: make(chan struct{})},
	}
}

func (l *links) start(target string, faults []fleet.RelayFault, seed int64, small bool) (*fleet.Relay, error) {
	relay, err := fleet.NewRelay(fleet.RelayOptions{
		Target: target, Seed: seed, Percent: l.options.Percent, Faults: faults, Ports: l.ports, SmallBuffers: small,
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

// relayAgent puts a relay in front of an agent, or returns nil if there are none.
func (l *links) relayAgent(addr string) (*fleet.Relay, error) {
	if l == nil {
		return nil, nil
	}
	l.mu.Lock()
	seed := l.seed + int64(len(l.relays))
	l.mu.Unlock()
	relay, err := l.start(addr, l.options.Agent, seed, false)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.agents = append(l.agents, relay)
	return relay, nil
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

// knownFrom returns when a change of the list counts as told. If links have faults, that is 6 s after discovery had it
// and could be reached, whether or not it arrived.
func (l *links) knownFrom(now time.Time) time.Time {
	if l == nil || len(l.options.Agent) == 0 {
		return now
	}
	if l.options.Cuts {
		now = now.Add(maxCut)
	}
	return now.Add(unresponsiveWatchDelay)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// noticeArrival returns when the notices of a request arrived from the sender: by the kernel, unless their connection
// has a fault, otherwise now. relay is that of the agent; nil: connections are direct.
func noticeArrival(relay *fleet.Relay, request *http.Request) time.Time {
	if relay == nil {
		if conn, ok := request.Context().Value(connKey{}).(net.Conn); ok {
			return lastArrival(conn)
		}
		return time.Now()
	}
	relayed := relay.ByTargetPeer(request.RemoteAddr)
	if relayed == nil || relayed.Fault() != fleet.RelayFaultNone {
		return time.Now()
	}
	_, last := relayed.Arrival()
	return last
}

// The duration of a cut.
const (
	minCut = 200 * time.Millisecond
	maxCut = 2 * time.Second
)

// The duration of a pause of the process, and the interval between two in a series: the sender may be held up for up to
// 0.15 s.
const (
	pauseDuration = 120 * time.Millisecond
	pauseInterval = 400 * time.Millisecond
)

// injectLinkFault cuts a link off for a while, or pauses the process in a series.
func (s *simulation) injectLinkFault() {
	duration := minCut + time.Duration(s.rng.Int63n(int64(maxCut-minCut)))
	switch s.rng.Intn(4) {
	case 0:
		chosen := s.endpoints[s.rng.Intn(len(s.endpoints))]
		s.recordAction("%s is cut off for %v", chosen.name, duration)
		s.judge.forgetRetryAfter(chosen.dest)
		s.cutRelay(chosen.relay, duration, func() {})
	case 1:
		s.recordAction("the agent is cut off for %v", duration)
		s.links.mu.Lock()
		agent := s.links.agents[len(s.links.agents)-1]
		s.links.mu.Unlock()
		outageEnded, cutEnded := s.judge.recordOutage(), s.discovery.recordCut()
		s.cutRelay(agent, duration, func() {
			outageEnded()
			cutEnded()
		})
	case 2:
		s.recordAction("the clients are cut off for %v", duration)
		s.cutRelay(s.links.client, duration, func() {})
	default:
		s.recordAction("the process is stopped in a series")
		for range 1 + s.rng.Intn(3) {
			_ = s.proc.Stop()
			time.Sleep(pauseDuration)
			_ = s.proc.Continue()
			time.Sleep(pauseInterval)
		}
	}
}

// pauseOnce stops the process for the time of the options. It cannot tell ends meanwhile.
func (s *simulation) pauseOnce() {
	if s.links == nil || s.links.options.Pause == 0 {
		return
	}
	time.Sleep(time.Second)
	s.recordAction("the process is stopped for %v", s.links.options.Pause)
	ended := s.judge.recordOutage()
	_ = s.proc.Stop()
	time.Sleep(s.links.options.Pause)
	_ = s.proc.Continue()
	ended()
}

// cutRelay cuts a relay off for a while.
func (s *simulation) cutRelay(relay *fleet.Relay, duration time.Duration, ended func()) {
	relay.Cut(true)
	time.AfterFunc(duration, func() {
		relay.Cut(false)
		ended()
	})
}

// halfClose ends the client's sending behind a request, for a share of them, and reports whether it did.
func (l *links) halfClose(conn net.Conn, rng *rand.Rand) bool {
	if l == nil || l.options.HalfClosePercent == 0 || rng.Intn(100) >= l.options.HalfClosePercent {
		return false
	}
	tcp, ok := conn.(*net.TCPConn)
	return ok && tcp.CloseWrite() == nil
}

// clientFaulty reports whether the connection of a client has a fault, which can take its answer away.
func (l *links) clientFaulty(conn net.Conn) bool {
	if l == nil {
		return false
	}
	relayed := l.client.ByCaller(conn.LocalAddr().String())
	return l.options.Cuts || relayed == nil || relayed.Fault() != fleet.RelayFaultNone
}

// transit returns how long a request may have been on its way that was submitted at a time and has its reply now. The
// sender is told how long a message may be delivered from when its client sent it, and not when that was.
func (l *links) transit(conn net.Conn, submittedAt time.Time) time.Duration {
	if !l.clientFaulty(conn) {
		return 0
	}
	return time.Since(submittedAt)
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
	l.silentLog.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, relay := range l.relays {
		relay.Close()
	}
}

// arrivalOf returns when the bytes of the call on a connection arrived from the sender. first is when its first byte
// has arrived at the endpoint.
func (e *endpoint) arrivalOf(conn net.Conn, first time.Time) arrival {
	came := arrival{first: first, last: lastArrival(conn)}
	if e.relay == nil {
		return came
	}
	if came.relayed = e.relay.ByTargetPeer(conn.RemoteAddr().String()); came.relayed != nil {
		came.first, came.last = came.relayed.Arrival()
	}
	return came
}

// mayLoseAnswer reports whether the answer of the call may not arrive: its connection has a fault, or the sender has
// ended it.
func (c *call) mayLoseAnswer() bool {
	relayed := c.relayed
	return relayed != nil &&
		(relayed.Fault() != fleet.RelayFaultNone || c.endpoint.relay.IsCut() || relayed.CallerEnded())
}

// whenForwarded calls f once size bytes of the answer were written to the sender.
func (c *call) whenForwarded(size int, f func()) {
	if c.relayed != nil {
		c.relayed.WhenForwarded(size, f)
		return
	}
	f()
}
