package reactor

// maxRejecting bounds the connections that are being rejected with a reply.
const maxRejecting = 256

// rejection is the handler of a connection that is rejected: it is sent a reply and closed gracefully.
type rejection struct {
	reactor *Reactor
	reply   []byte
}

// RejectWith returns a handler that rejects a new connection with a reply, or nil if too many rejections are in
// progress. It must be called on the loop's goroutine.
func (r *Reactor) RejectWith(reply []byte) Handler {
	if r.rejecting >= maxRejecting {
		return nil
	}
	r.rejecting++
	return &rejection{reactor: r, reply: reply}
}

// Up sends the reply. maxGracefulCloses does not apply to the graceful close, because maxRejecting bounds its number.
func (rej *rejection) Up(c *Conn) {
	if c.Write(rej.reply) != nil {
		c.Close()
		return
	}
	c.startFinish()
}

// Data ignores the input.
func (rej *rejection) Data(*Conn, []byte) {}

// Down ends the rejection, so that another one may start.
func (rej *rejection) Down(*Conn, error) {
	rej.reactor.rejecting--
}
