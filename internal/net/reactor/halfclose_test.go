package reactor

import (
	"io"
	"net"
	"testing"
	"time"
)

// replier replies to what it receives after a delay, and closes the connection once its peer's stream has ended and
// everything has its reply.
type replier struct {
	delay   time.Duration
	pending int
	ended   bool
	down    chan error
}

func (r *replier) Up(*Conn) {}

func (r *replier) Data(c *Conn, _ []byte) {
	r.pending++
	c.SetAwaitsOutput(true)
	reply := func() {
		r.pending--
		_ = c.Write([]byte("reply"))
		c.SetAwaitsOutput(r.pending > 0)
		r.closeIfDone(c)
	}
	if r.delay == 0 {
		c.reactor.Post(reply)
		return
	}
	c.reactor.After(r.delay, reply)
}

func (r *replier) InputEnded(c *Conn) {
	r.ended = true
	r.closeIfDone(c)
}

func (r *replier) closeIfDone(c *Conn) {
	if r.ended && r.pending == 0 {
		c.CloseGracefully()
	}
}

func (r *replier) Down(_ *Conn, err error) { r.down <- err }

// A peer that closes its sending side behind its request reads no reply: whether the reply comes at once, in the moment
// of the close or later, and whether the system's descriptors are reused meanwhile or not.
func TestHalfClosedPeerWithoutReply(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"at once": 0, "soon": time.Millisecond, "later": 20 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := start(t)
			down := make(chan error, 300)
			ln, err := r.Listen("tcp", "127.0.0.1:0", nil, func(*Conn) Handler { return &replier{delay: delay, down: down} })
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			for range 300 {
				go func() {
					got, err := halfCloseBehindRequest(ln.Addr().String())
					if got != "reply" || err != nil {
						t.Errorf("%q, %v", got, err)
					}
				}()
			}
			for range 300 {
				<-down
			}
		})
	}
}

// halfCloseBehindRequest returns what the peer reads until the end of the stream.
func halfCloseBehindRequest(addr string) (got string, err error) {
	peer, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer peer.Close()
	_ = peer.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(peer, "request"); err != nil {
		return "", err
	}
	if err := peer.(*net.TCPConn).CloseWrite(); err != nil {
		return "", err
	}
	all, err := io.ReadAll(peer)
	return string(all), err
}

// A peer that resets its connection while a reply is awaited ends it.
func TestResetWhileAReplyIsAwaited(t *testing.T) {
	r, _ := start(t)
	down := make(chan error, 1)
	ln, err := r.Listen("tcp", "127.0.0.1:0", nil, func(*Conn) Handler { return &replier{delay: time.Hour, down: down} })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, "request")
	_ = peer.(*net.TCPConn).SetLinger(0)
	_ = peer.Close()
	<-down
}
