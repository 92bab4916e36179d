package platform

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	"brackendale/internal/net/reactor"
	"brackendale/internal/net/resp"
	"brackendale/sender"
)

// Front is the name of this front in the spool.
const Front = "platform"

// maxWaiting bounds the commands of one connection that wait for their answers. Clients that behave have
// one; what sends more than this at once is turned away whole.
const maxWaiting = 16

// patience is how long a connection may say nothing, or stay in the middle of a command, and after which
// one with no request open may be closed.
const patience = 2 * time.Second

// grace is how long a newcomer has to speak before it counts as one of a silent crowd.
const grace = 100 * time.Millisecond

// sweepGap is how often connections are looked through for such.
const sweepGap = 250 * time.Millisecond

var errSlow = errors.New("ERR no whole command in time")

// Ingress serves RESP2 clients.
type Ingress struct {
	core    *sender.Sender
	notices *notices
	clients map[*client]bool
	most    int // clients' connections, so that descriptors are left for the targets
	sweeps  bool
}

// NewIngress makes the clients' side for that many connections; ends are told to the registry's agent.
func NewIngress(core *sender.Sender, r *reactor.Reactor, discovery string, most int) *Ingress {
	return &Ingress{core: core, most: most, clients: map[*client]bool{}, notices: newNotices(core, r, discovery)}
}

// Move tells ends to another agent from here on.
func (in *Ingress) Move(discovery string) { in.notices.move(discovery) }

// Accept takes a client's connection. When there is no room, one with no request open goes for it.
func (in *Ingress) Accept(c *reactor.Conn) reactor.Handler {
	if len(in.clients) >= in.most && !in.makeRoom() {
		return nil
	}
	cl := &client{in: in, conn: c, since: time.Now()}
	in.clients[cl] = true
	if !in.sweeps {
		in.sweeps = true
		in.sweepLater()
	}
	return cl
}

// makeRoom closes a connection with no request open, if there is one.
func (in *Ingress) makeRoom() bool {
	cl := in.spare()
	if cl != nil {
		cl.drop()
	}
	return cl != nil
}

// spare finds a connection with no request open, the oldest of the first kind that there is: one idle for
// long enough, or that never said anything though usual clients speak at once; one whose client will come again
// with what crosses its close; and at last a newcomer, which would have failed.
func (in *Ingress) spare() *client {
	var kinds [3]*client
	now := time.Now()
	for cl := range in.clients {
		if len(cl.waiting) > 0 || cl.closing {
			continue
		}
		age, k := now.Sub(cl.since), 0
		switch {
		case cl.spoke && age < patience:
			k = 1
		case !cl.spoke && age < grace:
			k = 2
		}
		if kinds[k] == nil || cl.since.Before(kinds[k].since) {
			kinds[k] = cl
		}
	}
	return cmp.Or(kinds[:]...)
}

// sweepLater ends what says nothing, or no whole command, and keeps a quarter of the room for newcomers.
func (in *Ingress) sweepLater() {
	time.AfterFunc(sweepGap, func() {
		in.core.Post(func() {
			in.sweep(time.Now())
			in.sweepLater()
		})
	})
}

func (in *Ingress) sweep(now time.Time) {
	var idle []*client
	for cl := range in.clients {
		switch {
		case len(cl.waiting) > 0 || cl.closing || now.Sub(cl.since) < patience:
		case len(cl.buf) > 0:
			cl.refuse(errSlow)
		case !cl.spoke:
			cl.drop()
		default:
			idle = append(idle, cl)
		}
	}
	over := min(len(idle), len(in.clients)-in.most*3/4)
	if over <= 0 {
		return
	}
	slices.SortFunc(idle, func(a, b *client) int { return a.since.Compare(b.since) })
	for _, cl := range idle[:over] {
		cl.drop()
	}
}

// client is one connection. Answers leave in the order of the commands.
type client struct {
	in      *Ingress
	conn    *reactor.Conn
	buf     []byte
	words   [][]byte
	waiting []*reply
	closing bool
	spoke   bool      // a whole command has come
	since   time.Time // it was accepted, was last answered, or began a command
}

type reply struct {
	text []byte // nil: not known yet
	x    *sender.Exchange
}

// Up is not used: clients dial.
func (cl *client) Up(*reactor.Conn) {}

// Data handles the commands that are whole.
func (cl *client) Data(c *reactor.Conn, b []byte) {
	if cl.closing {
		return
	}
	if len(cl.buf) > 0 {
		b = append(cl.buf, b...)
	} else if len(cl.waiting) == 0 {
		cl.since = time.Now()
	}
	for len(b) > 0 && !cl.closing {
		words, n, err := resp.Parse(b, cl.words)
		if err == nil && len(cl.waiting) >= maxWaiting {
			err = resp.ErrTooLong
		}
		if err != nil {
			cl.refuse(err)
			return
		}
		if n == 0 {
			break
		}
		cl.words, cl.spoke = words, true
		cl.command(words)
		b = b[n:]
	}
	if cl.buf = nil; !cl.closing {
		cl.buf = b
	}
	cl.flush()
}

// Down forgets the client; what it waits for in this round was not taken on.
func (cl *client) Down(*reactor.Conn, error) {
	delete(cl.in.clients, cl)
	for _, r := range cl.waiting {
		if r.text == nil {
			cl.in.core.Withdraw(r.x)
		}
	}
	cl.waiting = nil
}

func (cl *client) say(text string) { cl.waiting = append(cl.waiting, &reply{text: []byte(text)}) }

// refuse answers all that waits, and what has come last, with an error, and closes. What came together with
// a command that cannot be read is not taken on.
func (cl *client) refuse(err error) {
	text := "-" + err.Error() + "\r\n"
	for _, r := range cl.waiting {
		if r.text == nil {
			cl.in.core.Withdraw(r.x)
			r.text = []byte(text)
		}
	}
	cl.say(text)
	cl.buf, cl.closing = nil, true
	cl.flush()
}

// drop closes a connection with no request open. It no longer counts against the room.
func (cl *client) drop() {
	cl.closing = true
	delete(cl.in.clients, cl)
	cl.conn.Close()
}

func (cl *client) command(words [][]byte) {
	switch {
	case bytes.EqualFold(words[0], []byte("PING")) && len(words) == 1:
		cl.say("+PONG\r\n")
	case bytes.EqualFold(words[0], []byte("PING")) && len(words) == 2:
		cl.say("$" + strconv.Itoa(len(words[1])) + "\r\n" + string(words[1]) + "\r\n")
	case bytes.EqualFold(words[0], []byte("SUBMIT")):
		x, fault := cl.in.exchange(words[1:])
		if fault != "" {
			cl.say("-ERR " + fault + "\r\n")
			return
		}
		r := &reply{x: x}
		x.Ref = func(text []byte) { r.text = text; cl.flush() }
		cl.waiting = append(cl.waiting, r)
		cl.in.core.Offer(x)
	default:
		cl.say("-ERR unknown command\r\n")
	}
}

// flush writes the answers that are due, in one gathered write.
func (cl *client) flush() {
	var out [][]byte
	for len(cl.waiting) > 0 && cl.waiting[0].text != nil {
		out = append(out, cl.waiting[0].text)
		cl.waiting = cl.waiting[1:]
	}
	if len(out) > 0 {
		cl.since = time.Now()
	}
	if len(out) > 0 && cl.conn.Write(out...) != nil || cl.closing && len(cl.waiting) == 0 {
		cl.conn.Close()
	}
}

// exchange reads the words behind SUBMIT: the key (zeros), the id, names and values, and the body.
func (in *Ingress) exchange(words [][]byte) (*sender.Exchange, string) {
	if len(words) != 4 {
		return nil, "wrong number of arguments for SUBMIT"
	}
	id := string(words[1])
	if id == "" || len(id) > 64 || bytes.ContainsAny(words[1], " \r\n\"\\") {
		return nil, "bad id"
	}
	x := &sender.Exchange{ID: id, Front: Front, Body: bytes.Clone(words[3])}
	limit, dest := int64(-1), false
	for rest := words[2]; len(rest) > 0; {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, _ := bytes.Cut(pair, []byte{'='})
		v := string(value)
		switch string(name) {
		case "c":
			x.Class = v
		case "t":
			x.Tenant = v
		case "k":
			x.Key = v
		case "d":
			if n, err := strconv.ParseInt(v, 10, 64); err == nil && n >= 0 && n < 1<<40 {
				limit = n
			}
		case "dest":
			n, err := strconv.ParseInt(v, 10, 64)
			x.Dest, dest = n, err == nil
		}
	}
	switch {
	case !in.core.Knows(x.Class):
		return nil, "unknown class c"
	case limit < 0:
		return nil, "bad or missing d"
	case !dest || !in.core.Serves(x.Dest):
		return nil, "unknown destination dest"
	case in.core.Lane(x.Class).Effect == "by_key" && x.Key == "":
		return nil, "missing key k"
	case len(x.Key) > 64 || len(x.Tenant) > 64 || bytes.ContainsAny([]byte(x.Key), " \r\n"):
		return nil, "bad key k or tenant t"
	}
	x.Deadline = in.core.Now() + min(limit*1000, in.core.Lane(x.Class).HardLimitUs)
	return x, ""
}

// Answer tells the client whether its exchange was taken on.
func (in *Ingress) Answer(x *sender.Exchange, v sender.Verdict, waitMs int64) {
	text := []byte("+OK\r\n")
	switch {
	case v == sender.Busy && waitMs > 0:
		text = []byte("-BUSY " + strconv.FormatInt(waitMs, 10) + "\r\n")
	case v == sender.Busy:
		text = []byte("-BUSY\r\n")
	case v == sender.Failed:
		text = []byte("-ERR failed\r\n")
	}
	if f, ok := x.Ref.(func([]byte)); ok {
		f(text)
	}
}

// Owes tells that all ends but delivery are told.
func (in *Ingress) Owes(end string) bool { return end != sender.Delivered }

// Remembers is false: every time a message is handed in here its id is new.
func (in *Ingress) Remembers() bool { return false }

// Tell queues a notice.
func (in *Ingress) Tell(id, _, end string, waitMs int64) { in.notices.add(id, end, waitMs) }

// CloseIdle ends the connections on which nothing waits, and those of the others once it is answered.
func (in *Ingress) CloseIdle() {
	for cl := range in.clients {
		cl.closing = true
		cl.flush()
	}
}
