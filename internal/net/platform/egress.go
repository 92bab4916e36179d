package platform

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/logic"
	"brackendale/sender"
)

// Proto is the protocol of routes that this egress serves.
const Proto = "http"

// Egress carries hops to HTTP/1.1 endpoints.
type Egress struct {
	core    *sender.Sender
	r       *reactor.Reactor
	connect time.Duration
	idle    time.Duration // idle connections are closed before the endpoint does it
	fields  []string
	pools   map[string][]*link // idle links by target, the latest used last
	out     map[string]*hopCall
}

// NewEgress makes the endpoints' side.
func NewEgress(core *sender.Sender, r *reactor.Reactor, set logic.Settings) *Egress {
	e := &Egress{core: core, r: r, fields: set.Report.Fields, pools: map[string][]*link{}, out: map[string]*hopCall{},
		connect: time.Duration(set.Caps.ConnectTimeoutUs) * time.Microsecond,
		idle:    time.Duration(set.Caps.KeepaliveUs) * time.Microsecond * 9 / 10}
	if e.connect <= 0 {
		e.connect = 1500 * time.Millisecond
	}
	if e.idle <= 0 {
		e.idle = 4 * time.Second
	}
	return e
}

// hopCall is one call that is out.
type hopCall struct {
	e     *Egress
	to    sender.Route
	hops  []sender.Hop
	link  *link
	timer *time.Timer
	why   string // the reason to report if it is given up

	recalled []string // the ids of hops that were
}

// Send writes a call to an idle connection, or to a new one.
func (e *Egress) Send(to sender.Route, hops []sender.Hop) {
	c := &hopCall{e: e, to: to, hops: hops, why: sender.Late}
	limit := int64(0)
	for _, h := range hops { // they share one call: the most patient one keeps it open
		limit = max(limit, h.LimitUs)
		e.out[h.ID] = c
	}
	c.timer = time.AfterFunc(time.Duration(limit)*time.Microsecond, func() { e.core.Post(func() { c.giveUp(sender.Late) }) })
	c.link = e.take(to, limit)
	c.link.do(c.answer, c.request(limit)...)
}

func (e *Egress) take(to sender.Route, limitUs int64) *link {
	for pool := e.pools[to.Addr]; len(pool) > 0; {
		l := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		e.pools[to.Addr] = pool
		if !l.conn.Dead() {
			l.idle.Stop()
			l.gone, l.free = nil, nil
			return l
		}
	}
	return dial(e.r, to.Dial, min(e.connect, time.Duration(limitUs)*time.Microsecond), endpointMost)
}

// keep puts a link among the idle ones and closes it before the endpoint would.
func (e *Egress) keep(to string, l *link) {
	e.pools[to] = append(e.pools[to], l)
	l.idle = time.AfterFunc(e.idle, func() {
		e.core.Post(func() {
			if l.want == nil && l.gone != nil {
				l.conn.Close()
			}
		})
	})
	l.gone = func() {
		l.idle.Stop()
		e.forget(to, l)
	}
}

func (e *Egress) forget(to string, l *link) {
	pool := e.pools[to]
	for i, x := range pool {
		if x == l {
			e.pools[to] = append(pool[:i:i], pool[i+1:]...)
			return
		}
	}
}

// Recall gives up a hop. Hops that travel together share their connection: the call ends once all of
// them were recalled, since a charge among them that was not must not be cut off.
func (e *Egress) Recall(id string, n int) {
	c := e.out[id]
	if c == nil {
		return
	}
	i := slices.IndexFunc(c.hops, func(h sender.Hop) bool { return h.ID == id && h.N == n })
	if i < 0 || slices.Contains(c.recalled, id) {
		return
	}
	if c.recalled = append(c.recalled, id); len(c.recalled) == len(c.hops) {
		c.giveUp(sender.Called)
	}
}

// Trim closes the idle connections to a target.
func (e *Egress) Trim(to sender.Route) {
	for _, l := range e.pools[to.Addr] {
		l.conn.Close()
	}
	delete(e.pools, to.Addr)
}

// Routes closes the idle connections to targets that want nothing new.
func (e *Egress) Routes(changed []sender.Route) {
	for _, r := range changed {
		if r.State != "live" {
			e.Trim(r)
		}
	}
}

func (c *hopCall) request(limitUs int64) [][]byte {
	head := make([]byte, 0, 256)
	if len(c.hops) == 1 {
		h := c.hops[0]
		head = append(head, "POST /events HTTP/1.1\r\nHost: "...)
		head = append(head, c.to.Dial...)
		head = append(head, "\r\nReq-Id: "...)
		head = append(head, h.ID...)
		if h.Key != "" {
			head = append(head, "\r\nIdempotency-Key: "...)
			head = append(head, h.Key...)
		}
		return [][]byte{tail(head, limitUs, len(h.Body)), h.Body}
	}
	head = append(head, "POST /events/bundle HTTP/1.1\r\nHost: "...)
	head = append(head, c.to.Dial...)
	pieces, size := [][]byte{nil}, 0
	for _, h := range c.hops {
		key := h.Key
		if key == "" {
			key = "-"
		}
		line := []byte(h.ID + " " + key + " " + strconv.Itoa(len(h.Body)) + "\r\n")
		pieces = append(pieces, line, h.Body, crlf)
		size += len(line) + len(h.Body) + 2
	}
	pieces[0] = tail(head, limitUs, size)
	return pieces
}

var crlf = []byte("\r\n")

func tail(head []byte, limitUs int64, size int) []byte {
	head = append(head, "\r\nReq-Deadline-Ms: "...)
	head = strconv.AppendInt(head, max(1, limitUs/1000), 10)
	head = append(head, "\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(size), 10)
	return append(head, "\r\n\r\n"...)
}

func (c *hopCall) giveUp(why string) {
	if c.e.out[c.hops[0].ID] == c {
		c.why = why
		c.link.drop()
	}
}

// answer turns what came back into outcomes.
func (c *hopCall) answer(a *http1.Response, err error) {
	c.timer.Stop()
	for _, h := range c.hops {
		delete(c.e.out, h.ID)
	}
	o := sender.Outcome{Target: c.to.Addr}
	switch {
	case err != nil && !c.link.written():
		o.Reason = sender.NoConn // its last byte has not left: proof that nothing ran
	case err == errGivenUp:
		o.Reason = c.why
	case err != nil:
		o.Reason = sender.Reset
	default:
		o = c.read(a)
	}
	var ends map[string]string
	if a != nil && a.Status == 200 && len(c.hops) > 1 {
		ends = bundleEnds(a.Body)
	}
	for _, h := range c.hops {
		p := o
		if p.ID, p.N = h.ID, h.N; ends != nil {
			p.Reason, p.Over = bundleEnd(ends[h.ID])
		}
		c.e.core.Report(p)
	}
	if a != nil && !a.Close {
		l, to := c.link, c.to.Addr
		l.free = func() { c.e.keep(to, l) }
	}
}

func (c *hopCall) read(a *http1.Response) sender.Outcome {
	o := sender.Outcome{Target: c.to.Addr, Reason: sender.Bad, HoldMs: a.Int("X-Backoff-Ms"), Load: c.e.load(a)}
	switch a.Status {
	case 200:
		o.Reason = sender.Good
	case 429:
		o.Reason = sender.Full
	case 503:
		o.Reason = sender.Full
		if a.Int("X-Egress-Full") == 1 {
			o.Reason, o.HoldMs = sender.Moot, 1
		}
	case 504:
		o.Reason = sender.Moot
	case 410:
		o.Reason, o.Over = sender.Moot, true
	}
	return o
}

// bundleEnds reads the lines of a bundle's answer.
func bundleEnds(body []byte) map[string]string {
	ends := map[string]string{}
	for line := range bytes.Lines(body) {
		if id, end, ok := bytes.Cut(bytes.TrimSpace(line), []byte{' '}); ok {
			ends[string(id)] = string(bytes.TrimSpace(end))
		}
	}
	return ends
}

// bundleEnd words the end of one message of a bundle. The wait of the answer binds whatever the end is.
func bundleEnd(end string) (reason string, over bool) {
	switch end {
	case "done":
		return sender.Good, false
	case "busy":
		return sender.Full, false
	case "void":
		return sender.Moot, true
	case "used_up":
		return sender.Moot, false
	}
	return sender.Bad, false // failed, or not named: it may have run
}

// load reads a report into the order of the settings.
func (e *Egress) load(a *http1.Response) []float64 {
	raw := a.Get("Srv-Load")
	if raw == nil || len(e.fields) == 0 {
		return nil
	}
	list := make([]float64, len(e.fields))
	for pair := range bytes.SplitSeq(raw, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		for i, f := range e.fields {
			if f == string(name) {
				list[i], _ = strconv.ParseFloat(string(value), 64)
			}
		}
	}
	return list
}
