package amqpfront

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/eventlog"
	"brackendale/internal/failpoint"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/correlation"
	"brackendale/internal/net/failure"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// maxBrokerHeartbeat is the heartbeat interval that is negotiated with a broker that proposes none or a longer one.
const maxBrokerHeartbeat = 10 * time.Second

// handshakeStep is the method of the broker that the handshake awaits.
type handshakeStep uint8

const (
	awaitStart handshakeStep = iota
	awaitTune
	awaitOpenOk
	handshakeComplete
)

// brokerLink is one connection to a broker.
//
// What a broker writes belongs to a request of ours only if it names it: a confirm by the delivery tag, a reply to a
// channel's method by the number of the channel. Each number is therefore used for one channel of the connection, and a
// reply counts once, in the state that awaits it. Any other is ignored.
type brokerLink struct {
	conntable.Entry
	amqpConn

	egress *Egress
	key    linkKey // key in Egress.links
	target amqp.Target

	connected bool // the transport is connected
	handshake handshakeStep
	blocked   bool // by connection.blocked
	closing   bool // connection.close was sent, or the connection has ended

	maxChannels    int
	channelNumbers correlation.Numbers // the numbers for further channels
	replaced       bool                // all numbers were used: new attempts go to another connection
	channels       []*brokerChannel
	waiting        []*publishAttempt // attempts that wait for a channel, in order
	assembly       amqp.Assembly     // of channel 0
}

// Due closes a connection whose handshake takes too long. After the handshake it runs the heartbeats.
func (l *brokerLink) Due(*timers.Timer) {
	if !l.ready() {
		l.conn.Close()
		return
	}
	l.checkHeartbeat(l)
}

// ready reports whether the AMQP handshake is complete.
func (l *brokerLink) ready() bool { return l.handshake == handshakeComplete }

// idle reports whether no attempt is in flight on the connection or waits for it.
func (l *brokerLink) idle() bool {
	return len(l.waiting) == 0 && !slices.ContainsFunc(l.channels, (*brokerChannel).busy)
}

// Evict closes a connection that no attempt uses.
func (l *brokerLink) Evict(conntable.Reason) { l.closeIdle() }

// MarkArrived marks the end of the bytes that have arrived from the peer.
func (l *brokerLink) MarkArrived() (known bool) { return l.conn.MarkArrived() }

// MarkHandled reports whether all bytes before the mark were handled.
func (l *brokerLink) MarkHandled() bool { return l.conn.MarkHandled() }

// Up sends the protocol header once the transport is connected.
func (l *brokerLink) Up(*reactor.Conn) {
	l.connected = true
	l.write([]byte(amqp.ProtocolHeader))
}

// Data handles the complete frames among the received bytes.
func (l *brokerLink) Data(conn *reactor.Conn, received []byte) {
	if !l.ready() {
		beginning := append(l.partialFrame.Bytes(), received...)
		if bytes.HasPrefix(beginning, []byte("AMQP")) { // the broker replies with the version that it supports
			conn.Close()
			return
		}
	}
	if err := l.eachFrame(received, l.handleFrame); err != nil && !l.closing {
		l.closeWith(asFault(err))
	}
}

func (l *brokerLink) closeIdle() {
	l.conn.SendUnsentOnClose()
	l.closeWith(&amqp.Fault{Code: amqp.ReplySuccess, Text: "idle"})
}

// closeWith closes the connection from this side. The outcome of publishes in flight is ambiguous.
func (l *brokerLink) closeWith(f *amqp.Fault) {
	l.closing = true
	l.writeMethod(0, amqp.ConnClose, closeArgs(f)...)
	l.conn.Close()
}

// Down ends all attempts of a connection that has ended or could not be opened.
func (l *brokerLink) Down(_ *reactor.Conn, err error) {
	// An error that isn't the broker's must not count against the broker.
	if !l.connected && failure.Classify(failure.Connect, err).Origin != failure.Peer {
		for _, p := range l.waiting {
			p.report(sender.OutcomeNotSent)
		}
	}
	l.end(sender.OutcomeReset)
}

// end removes the connection from the egress and reports its attempts; outcome is that of the publishes that were sent.
func (l *brokerLink) end(outcome sender.Outcome) {
	l.stopTimer()
	l.partialFrame.Reset()
	l.Remove()
	l.closing = true
	if l.egress.links[l.key] == l {
		delete(l.egress.links, l.key)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, p := range waiting {
		p.report(sender.OutcomeConnectFailed)
	}
	for _, ch := range l.channels {
		l.loop.Disarm(&ch.closeTimer)
		ch.endAll(func(p *publishAttempt) { p.connectionLost(outcome) })
	}
}

// handleFrame handles a frame other than a heartbeat. A fault that it returns closes the connection.
func (l *brokerLink) handleFrame(frame amqp.Frame) error {
	ch := l.channelByID(frame.Channel)
	assembly := &l.assembly
	if ch != nil {
		assembly = &ch.assembly
	} else if frame.Channel != 0 {
		if l.channelNumbers.Used(uint64(frame.Channel)) {
			l.recordUnexpected("late for a closed channel")
			return nil
		}
		assembly = &amqp.Assembly{}
	}
	msg, err := assembly.Add(frame)
	switch {
	case err != nil || msg == nil || l.closing:
		return err
	case frame.Channel == 0:
		return l.handleConnection(msg)
	case ch != nil:
		return l.handleChannel(ch, msg)
	}
	return amqp.Errorf(amqp.ChannelError, "channel %d is not open", frame.Channel)
}

// handleConnection handles a method on channel 0.
func (l *brokerLink) handleConnection(msg *amqp.Message) error {
	switch msg.Key {
	case amqp.ConnStart, amqp.ConnTune, amqp.ConnOpenOk:
		return l.handleHandshake(msg)
	case amqp.ConnBlocked:
		l.blocked = true
	case amqp.ConnUnblocked:
		l.blocked = false
		l.dispatch()
	case amqp.ConnClose:
		l.handleClose(msg.Int(0))
	default:
		return &amqp.Fault{Code: amqp.CommandInvalid, Text: "out of place", Method: msg.Key}
	}
	return nil
}

// handleHandshake handles a method of the handshake, and ignores one that is not awaited.
func (l *brokerLink) handleHandshake(msg *amqp.Message) error {
	switch {
	case msg.Key == amqp.ConnStart && l.handshake == awaitStart:
		l.handshake = awaitTune
		return l.authenticate(msg.Str(3))
	case msg.Key == amqp.ConnTune && l.handshake == awaitTune:
		l.handshake = awaitOpenOk
		l.tune(int(msg.Int(0)), uint32(msg.Int(1)), time.Duration(msg.Int(2))*time.Second)
	case msg.Key == amqp.ConnOpenOk && l.handshake == awaitOpenOk:
		l.handshake = handshakeComplete
		l.stopTimer()
		l.startHeartbeats(l.heartbeat, l)
		l.dispatch()
	default:
		l.recordUnexpected("a method of the handshake that is not awaited")
	}
	return nil
}

// BrokerPlace is the place of unexpected replies of brokers, in the record of events.
const BrokerPlace = "broker"

// recordUnexpected records what the broker wrote and what belongs to no request.
func (l *brokerLink) recordUnexpected(what string) {
	l.egress.core.Events().RecordUnexpected(BrokerPlace, eventlog.Event{Endpoint: l.target.Addr, Reason: what})
}

// authenticate replies to connection.start. The mechanisms that the broker offers are separated by spaces.
func (l *brokerLink) authenticate(mechanisms string) error {
	if !slices.Contains(strings.Fields(mechanisms), "PLAIN") {
		return amqp.Errorf(amqp.NotAllowed, "no PLAIN among %q", mechanisms)
	}
	caps := amqp.Table{"publisher_confirms": true, "basic.nack": true, "connection.blocked": true}
	l.writeMethod(0, amqp.ConnStartOk, amqp.Table{"product": "brackendale", "capabilities": caps}, "PLAIN",
		"\x00"+l.target.User+"\x00"+l.target.Password, "en_US")
	return nil
}

// tune replies to connection.tune and opens the virtual host. A limit of 0 means no limit, a heartbeat of 0
// that the broker proposes none.
func (l *brokerLink) tune(maxChannels int, maxFrame uint32, heartbeat time.Duration) {
	l.maxChannels = maxTargetChannels
	if maxChannels > 0 {
		l.maxChannels = min(l.maxChannels, maxChannels)
	}
	l.channelNumbers = correlation.NewNumbers(uint64(l.maxChannels))
	if maxFrame > 0 {
		l.maxFrame = max(amqp.FrameMin, min(l.maxFrame, maxFrame))
	}
	if heartbeat == 0 || heartbeat > maxBrokerHeartbeat {
		heartbeat = maxBrokerHeartbeat
	}
	l.writeMethod(0, amqp.ConnTuneOk, l.maxChannels, l.maxFrame, int(heartbeat/time.Second))
	l.writeMethod(0, amqp.ConnOpen, l.target.VHost, "", false)
	l.heartbeat = heartbeat
}

// handleClose replies to a broker's connection.close, whose reply code is code.
func (l *brokerLink) handleClose(code uint64) {
	l.writeMethod(0, amqp.ConnCloseOk)
	for _, p := range l.waiting {
		p.report(outcomeOfRefusal(code))
	}
	l.waiting = nil
	l.end(outcomeOfClose(code))
	l.conn.SendUnsentOnClose()
	l.conn.Close()
}

// dispatch publishes waiting attempts on channels that accept them, and opens as many further channels as the
// remaining attempts need.
func (l *brokerLink) dispatch() {
	if !l.ready() || l.blocked || l.closing {
		return
	}
	remaining, notAdmitted := l.publishWaiting()
	l.waiting = remaining
	missing := channelsFor(remaining) // before the reports below, which may change l.waiting
	for _, p := range notAdmitted {
		p.report(sender.OutcomeNotSent)
	}
	if l.conn.Flush() != nil { // now, not at the end of the loop's turn: the timeouts of the attempts are running
		l.conn.Close()
	}
	for _, ch := range l.channels {
		if ch.isOpening() {
			missing--
		}
	}
	for ; missing > 0 && len(l.channels) < l.maxChannels; missing-- {
		if !l.openChannel() {
			l.replace()
			return
		}
	}
}

// replace moves the waiting attempts to another connection, as this one can open no further channel. It is closed once
// its last attempt has ended.
func (l *brokerLink) replace() {
	l.replaced = true
	if l.egress.links[l.key] == l {
		delete(l.egress.links, l.key)
	}
	waiting := l.waiting
	l.waiting = nil
	for _, p := range waiting {
		p.enqueue()
	}
	l.closeIfReplaced()
}

// closeIfReplaced closes a connection that was replaced and that no attempt uses.
func (l *brokerLink) closeIfReplaced() {
	if l.replaced && !l.closing && l.idle() {
		l.closeIdle()
	}
}

// publishWaiting publishes the attempts that find a channel. It returns those that found none, and those that
// the gate no longer admits.
func (l *brokerLink) publishWaiting() (remaining, notAdmitted []*publishAttempt) {
	now := l.egress.core.Now()
	for _, p := range l.waiting {
		failpoint.Reach(failpoint.BeforeAdmission)
		if l.egress.Gate.Admit(p.admission, now) != admission.Admitted || !p.attempt.MayLeave() {
			notAdmitted = append(notAdmitted, p)
			continue
		}
		i := slices.IndexFunc(l.channels, func(c *brokerChannel) bool { return c.accepts(p) })
		if i < 0 {
			remaining = append(remaining, p)
			continue
		}
		failpoint.Reach(failpoint.AttemptAdmitted)
		l.publish(l.channels[i], p)
		p.attempt.Left()
	}
	return remaining, notAdmitted
}

// channelsFor returns the number of channels that attempts need: one for each that can't share a channel, and one
// for every maxSharedPublishes of the others.
func channelsFor(attempts []*publishAttempt) int {
	shareable := 0
	for _, p := range attempts {
		if p.shareable {
			shareable++
		}
	}
	return len(attempts) - shareable + (shareable+maxSharedPublishes-1)/maxSharedPublishes
}

// removeWaiting removes an attempt from those that wait for a channel.
func (l *brokerLink) removeWaiting(p *publishAttempt) {
	l.waiting = slices.DeleteFunc(l.waiting, func(other *publishAttempt) bool { return other == p })
}
