package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The descriptor of the clients' listening socket in the sender, as the page on days of operation has it.
const acceptFD = 5

// launcher holds the clients' listening socket, which every process of the sender inherits.
type launcher struct {
	bench  *bench
	addr   string
	file   *os.File
	null   *os.File
	agent  *agent
	state  string
	set    map[string]any
	extras []string // further environment
}

func (b *bench) newLauncher(a *agent, set map[string]any) *launcher {
	socket := b.listen()
	file, err := socket.File()
	if err == nil {
		err = syscall.SetNonblock(int(file.Fd()), true) // File returns the socket to blocking mode
	}
	null, nullErr := os.Open(os.DevNull)
	if err != nil || nullErr != nil {
		b.unable("%v %v", err, nullErr)
	}
	return &launcher{
		bench: b, addr: socket.Addr().String(), file: file, null: null, agent: a, state: b.folder("state"), set: set,
	}
}

// instance is one process of the sender with its second address.
type instance struct {
	*proc
	control string
}

// start starts a process of the sender. All but the second address is the same for each.
func (l *launcher) start(name string) *instance {
	control := l.bench.freePort()
	env := append(l.bench.platformEnv("n1", l.addr, l.state, l.agent, l.set), l.extras...)
	env = append(env, fmt.Sprint("LB_ACCEPT_FD=", acceptFD), "LB_CONTROL="+control)
	p := l.bench.start(name, env, l.null, l.null, l.file) // descriptors 3, 4 and 5
	_ = syscall.SetNonblock(int(l.file.Fd()), true)
	return &instance{p, control}
}

// ready reports whether the process says that it is ready to serve.
func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.control + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReadyFor waits until the process says that it is ready, or has ended, and reports which.
func (i *instance) waitReadyFor(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && i.running(); time.Sleep(10 * time.Millisecond) {
		if i.ready() {
			return true
		}
	}
	return false
}

// traffic is a stream of messages from clients that keep their connections.
type traffic struct {
	bench *bench
	addr  string
	stop  chan struct{}
	group sync.WaitGroup

	mu   sync.Mutex
	sent []*sentMessage
}

// clump is a number of messages that come beside the others within a time.
type clump struct {
	begin, length time.Duration
	size          int
}

// handIn hands in messages at a rate, and those of a clump, until end is called. fields returns the fields of message n.
func (b *bench) handIn(addr string, perSecond, conns int, extra clump, fields func(n int) string) *traffic {
	t := &traffic{bench: b, addr: addr, stop: make(chan struct{})}
	ticks := make(chan int, conns)
	for range conns {
		t.group.Add(1)
		go t.client(ticks, fields)
	}
	t.group.Add(1)
	go func() {
		defer t.group.Done()
		defer close(ticks)
		began, more := time.Now(), 0
		for n := 0; ; n++ {
			select {
			case <-t.stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(n-more) * time.Second / time.Duration(perSecond)))):
			}
			ticks <- n
			for passed := time.Since(began) - extra.begin; more < extra.size &&
				passed > extra.length*time.Duration(more)/time.Duration(extra.size); more++ {
				n++
				ticks <- n
			}
		}
	}()
	return t
}

func (t *traffic) client(ticks chan int, fields func(n int) string) {
	defer t.group.Done()
	var conn *respConn
	for n := range ticks {
		msg := &sentMessage{id: fmt.Sprintf("%016x", n+1), at: time.Now(), answer: "no connection"}
		for try := 0; try < 2; try++ { // once more on a new connection, if the sender has closed a resting one
			fresh := conn == nil
			if fresh {
				conn, _ = dialSender(t.addr)
			}
			if conn == nil {
				continue
			}
			line, err := conn.command("SUBMIT", "0000000000000000", msg.id, fields(n), "body")
			if msg.answer = line; err == nil {
				break
			}
			msg.answer = "no answer: " + err.Error()
			_ = conn.conn.Close()
			conn = nil
			if fresh || strings.Contains(err.Error(), "timeout") {
				break
			}
		}
		t.mu.Lock()
		t.sent = append(t.sent, msg)
		t.mu.Unlock()
	}
}

// count returns how many messages were handed in.
func (t *traffic) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sent)
}

// end ends the traffic and returns what was sent.
func (t *traffic) end() []*sentMessage {
	close(t.stop)
	t.group.Wait()
	return t.sent
}

// seenCall is one call at an endpoint.
type seenCall struct {
	id     string
	at     time.Time
	status int
}

// callAnswer is an endpoint's answer to a call.
type callAnswer struct {
	after  time.Duration
	status int
	waitMs int64 // told with a refusal; 0: none
}

// endpoint is a partner's endpoint.
type endpoint struct {
	addr string

	mu    sync.Mutex
	calls []seenCall
}

func (b *bench) newEndpoint(answer func() callAnswer) *endpoint {
	l := b.listen()
	e := &endpoint{addr: l.Addr().String()}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		given := answer()
		e.calls = append(e.calls, seenCall{r.Header.Get("Req-Id"), time.Now(), given.status})
		e.mu.Unlock()
		time.Sleep(given.after)
		if given.waitMs > 0 {
			w.Header().Set("X-Backoff-Ms", strconv.FormatInt(given.waitMs, 10))
		}
		w.WriteHeader(given.status)
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return e
}

// always returns the answer 200 after a time, to any call.
func always(after time.Duration) func() callAnswer {
	return func() callAnswer { return callAnswer{after: after, status: http.StatusOK} }
}

func (e *endpoint) seen() []seenCall {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]seenCall(nil), e.calls...)
}

// takesConnections reports whether an address takes connections.
func takesConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}
