package amqpfront

// unsentDeliveries are the deliveries of one connection that need no acknowledgement and that the system has not
// taken over yet. Their answers are owed until then: what waits in this process's buffers is lost with it.
type unsentDeliveries struct {
	session *session
	batched []delivery       // written in the loop's present batch
	waiting []unsentDelivery // ordered by offset
}

// unsentDelivery is a delivery that has been sent once the connection's output has reached an offset.
type unsentDelivery struct {
	delivery
	offset int64
}

// trackUnsent makes the session settle a delivery that is being written once it has been sent.
func (s *session) trackUnsent(d delivery) {
	if s.unsent == nil {
		s.unsent = &unsentDeliveries{session: s}
	}
	if s.unsent.batched = append(s.unsent.batched, d); len(s.unsent.batched) == 1 {
		s.loop.Defer(s.unsent)
	}
}

// Do runs at the end of the loop's batch in which deliveries were written.
func (u *unsentDeliveries) Do() {
	conn := u.session.conn
	if len(u.batched) == 0 { // the connection has ended
		return
	}
	if !conn.IsClosing() && conn.Flush() != nil { // under TLS, the offset of batched bytes is not known
		conn.Close()
	}
	offset := conn.StreamOffset()
	for _, d := range u.batched {
		u.waiting = append(u.waiting, unsentDelivery{d, offset})
	}
	clear(u.batched)
	u.batched = u.batched[:0]
	u.settleSent()
}

// settleSent settles the deliveries that have been sent. The connection reports when there may be more of them.
func (u *unsentDeliveries) settleSent() {
	if u == nil {
		return
	}
	var sent []*answer
	for len(u.waiting) > len(sent) && u.session.conn.SentOrNotify(u.waiting[len(sent)].offset) {
		sent = append(sent, u.waiting[len(sent)].answer)
	}
	if len(sent) == 0 {
		return
	}
	if u.waiting = u.waiting[len(sent):]; len(u.waiting) == 0 {
		u.waiting = nil
	}
	u.session.host.settle(sent...)
}

// end settles the deliveries of a connection that has ended as far as they were sent, and requeues the others.
func (u *unsentDeliveries) end() {
	if u == nil {
		return
	}
	u.settleSent()
	var unsent []delivery
	for _, d := range u.waiting {
		unsent = append(unsent, d.delivery)
	}
	unsent = append(unsent, u.batched...)
	u.waiting, u.batched = nil, nil
	var direct []*answer // nobody else may consume their queue
	var queued []delivery
	for _, d := range unsent {
		if d.queue.directReply {
			direct = append(direct, d.answer)
		} else {
			queued = append(queued, d)
		}
	}
	u.session.host.giveBack(direct)
	u.session.host.requeue(queued)
}
