package amqpfront

import (
	"slices"
	"strings"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
)

// closeTimeout is how long a client has to reply to connection.close.
const closeTimeout = time.Second

// sessionStage is the stage of a client's connection, from the handshake to the close.
type sessionStage uint8

const (
	stageHeader sessionStage = iota // the protocol header is expected
	stageStart                      // connection.start was sent
	stageAuth                       // the password is being checked
	stageTune                       // connection.tune was sent
	stageOpen                       // connection.open is expected
	stageReady
	stageClosing // connection.close was sent
)

// session is one client's connection. Only the loop's goroutine may use it.
type session struct {
	conntable.Entry
	amqpConn

	ingress *Ingress
	stage   sessionStage
	host    *host         // nil until it is opened
	grant   *access.Grant // the user's permissions in the host; before a host is open, only the user's identity

	assembly        amqp.Assembly     // of channel 0
	channels        []*channel        // ordered by ID
	exclusiveQueues []*queue          // the exclusive queues of this connection
	unsent          *unsentDeliveries // nil: there were none yet

	supportsCancelNotify bool // the client supports basic.cancel from the server
	supportsBlocked      bool // the client supports connection.blocked
	hasPartialFrame      bool // the last read ended with a partial frame
	chargedCapacity      int  // memory of the partial frame that is charged to the ingress, in bytes
	pending              int  // unconfirmed publishes, unacknowledged answers and commits of all channels
}

// searchChannel returns the index of a channel and the channel, or the index at which to insert it and nil.
func (s *session) searchChannel(id uint16) (int, *channel) {
	i, ok := slices.BinarySearchFunc(s.channels, id, func(c *channel, id uint16) int { return int(c.id) - int(id) })
	if !ok {
		return i, nil
	}
	return i, s.channels[i]
}

// channelByID returns the channel with this ID, or nil.
func (s *session) channelByID(id uint16) *channel { _, ch := s.searchChannel(id); return ch }

// removeChannel drops a channel, so that its ID can be used again.
func (s *session) removeChannel(id uint16) {
	if i, ch := s.searchChannel(id); ch != nil {
		s.channels = slices.Delete(s.channels, i, i+1)
	}
}

// updateClass reports to the connection table what the connection is doing now.
func (s *session) updateClass() {
	frameBegun := s.partialFrame.Len() > 0
	class := conntable.Persistent
	switch {
	case s.stage < stageReady:
		return // the time limit of the handshake applies to all of it
	case frameBegun && s.pending > 0:
		class = conntable.BusyPartial
	case frameBegun:
		class = conntable.Partial
	case s.pending > 0:
		class = conntable.Busy
	}
	if class != s.Class() || !frameBegun {
		s.ingress.table.Move(&s.Entry, class, s.loop.Now())
	}
}

// addPending changes the number of pending publishes, answers and commits.
func (s *session) addPending(change int) {
	before := s.pending
	if s.pending += change; (s.pending == 0) != (before == 0) {
		s.updateClass()
	}
}

// MarkArrived marks the end of the bytes that have arrived from the peer.
func (s *session) MarkArrived() (known bool) { return s.conn.MarkArrived() }

// MarkHandled reports whether all bytes before the mark were handled.
func (s *session) MarkHandled() bool { return s.conn.MarkHandled() }

// Drained settles the answers that were sent, and delivers those that were queued while the client read too slowly.
func (s *session) Drained(*reactor.Conn) {
	s.unsent.settleSent()
	for _, ch := range s.channels {
		for _, c := range slices.Clone(ch.consumers) {
			c.queue.dispatch()
		}
	}
}

// Evict closes the connection, which its table has removed, with the reply code for the reason.
func (s *session) Evict(reason conntable.Reason) {
	if s.stage < stageReady {
		s.conn.Close()
		return
	}
	code := uint16(amqp.ConnectionForced)
	if reason == conntable.SlowFrame {
		code = amqp.FrameError
	}
	s.closeWith(0, amqp.Errorf(code, "%s", reason))
}

// Due runs the heartbeats. It closes a connection whose client does not reply to connection.close in time.
func (s *session) Due(*timers.Timer) {
	if s.stage == stageClosing {
		s.conn.Close()
		return
	}
	s.checkHeartbeat(s)
}

// Up does nothing, because the client sends first.
func (s *session) Up(*reactor.Conn) {}

// Data handles received bytes.
func (s *session) Data(_ *reactor.Conn, received []byte) {
	s.handleReceived(received)
	s.chargePartialMemory()
	s.ingress.freePartialMemory(s)
}

// handleReceived handles the complete frames among the received bytes and submits the messages among them as one
// batch.
func (s *session) handleReceived(received []byte) {
	if s.stage == stageHeader {
		var ok bool
		if received, ok = s.readHeader(received); !ok {
			return
		}
	}
	unhandled := s.partialFrame.Len() + len(received)
	if err := s.eachFrame(received, s.handleFrame); err != nil {
		s.closeWith(0, err)
	}
	s.ingress.core.Submit(s.ingress.submissions...)
	s.ingress.submissions = nil
	partial := s.partialFrame.Len()
	// The earlier partial frame is complete, and another one has begun, whose time limit starts now.
	if partial > 0 && partial < unhandled && s.hasPartialFrame {
		s.ingress.table.Move(&s.Entry, s.Class(), s.loop.Now())
	}
	if partial > 0 || s.hasPartialFrame {
		s.hasPartialFrame = partial > 0
		s.updateClass()
	}
}

// readHeader reads the protocol header, replies with connection.start and returns the bytes that follow the header.
// ok is false while the header is incomplete, and for the header of another protocol or version, to which the
// specification requires the header of the supported version as the reply.
func (s *session) readHeader(received []byte) (following []byte, ok bool) {
	stored := s.partialFrame.Len()
	beginning := s.partialFrame.Append(received[:min(len(received), len(amqp.ProtocolHeader)-stored)])
	if len(beginning) < len(amqp.ProtocolHeader) && strings.HasPrefix(amqp.ProtocolHeader, string(beginning)) {
		s.partialFrame.Store(beginning)
		return nil, false
	}
	if string(beginning) != amqp.ProtocolHeader {
		s.write([]byte(amqp.ProtocolHeader))
		s.conn.Close()
		return nil, false
	}
	s.stage = stageStart
	following = received[len(amqp.ProtocolHeader)-stored:]
	s.partialFrame.Reset()
	caps := amqp.Table{
		"publisher_confirms":           true,
		"basic.nack":                   true,
		"consumer_cancel_notify":       true,
		"connection.blocked":           true,
		"authentication_failure_close": true,
	}
	s.writeMethod(0, amqp.ConnStart, 0, 9, amqp.Table{"product": "brackendale", "capabilities": caps},
		s.mechanisms(), "en_US")
	return following, true
}

// Down ends all channels and releases the exclusive queues of a connection that has ended.
func (s *session) Down(*reactor.Conn, error) {
	s.stopTimer()
	s.partialFrame.Reset()
	s.chargePartialMemory()
	s.ingress.table.Remove(&s.Entry)
	s.ingress.partialBytes -= s.assembly.Pending()
	s.assembly = amqp.Assembly{}
	s.endChannels()
	s.unsent.end()
	for _, ch := range s.channels {
		s.ingress.partialBytes -= ch.assembly.Pending() // of a content that began while the channel was being closed
		ch.assembly = amqp.Assembly{}
	}
	for _, q := range s.exclusiveQueues { // the answers stay, for any consumer of a queue with this name
		q.owner, q.declared = nil, false
		s.host.removeIfUnused(q)
	}
	s.exclusiveQueues = nil
}

// endChannels ends all channels at once: none gets the answers that another one gives back.
func (s *session) endChannels() {
	for _, ch := range s.channels {
		ch.detachConsumers()
	}
	for _, ch := range s.channels {
		ch.end()
	}
}

// closeWith closes the channel if the fault is soft, otherwise the connection.
func (s *session) closeWith(id uint16, err error) {
	f := asFault(err)
	if s.stage == stageClosing || s.conn.IsClosing() {
		return
	}
	if ch := s.channelByID(id); ch != nil && f.Soft() {
		ch.end()
		ch.closing = true
		s.writeMethod(id, amqp.ChanClose, closeArgs(f)...)
		return
	}
	s.stage = stageClosing
	s.endChannels()
	s.writeMethod(0, amqp.ConnClose, closeArgs(f)...)
	s.ingress.table.Remove(&s.Entry)
	s.loop.Arm(&s.timer, closeTimeout, timers.CoarseSlack, s)
}

// handleFrame handles a frame other than a heartbeat. A soft fault closes the frame's channel; any other
// is returned and closes the connection.
func (s *session) handleFrame(frame amqp.Frame) error {
	ch := s.channelByID(frame.Channel)
	if frame.Channel != 0 && ch == nil && s.stage == stageReady && frame.Kind != amqp.FrameMethod {
		return amqp.Errorf(amqp.ChannelError, "channel %d is not open", frame.Channel)
	}
	msg, err := s.assemble(ch, frame)
	if s.stage == stageClosing || ch != nil && ch.closing {
		s.handleWhileClosing(ch, frame.Channel, msg)
		return nil
	}
	if err == nil && msg != nil {
		if frame.Channel == 0 {
			err = s.handleConnection(msg)
		} else {
			err = s.handleChannel(frame.Channel, ch, msg)
		}
	}
	if err != nil && asFault(err).Soft() && ch != nil {
		s.closeWith(frame.Channel, err)
		return nil
	}
	return err
}

// assemblyOf returns the assembly of a channel. It returns nil for an unknown channel, on which only a method without
// content is valid.
func (s *session) assemblyOf(ch *channel, id uint16) *amqp.Assembly {
	switch {
	case ch != nil:
		return &ch.assembly
	case id == 0:
		return &s.assembly
	}
	return nil
}

// assemble adds a frame to the message of its channel and returns the message once it is complete.
func (s *session) assemble(ch *channel, frame amqp.Frame) (*amqp.Message, error) {
	assembly := s.assemblyOf(ch, frame.Channel)
	if assembly == nil {
		return new(amqp.Assembly).Add(frame)
	}
	before := assembly.Pending()
	msg, err := assembly.Add(frame)
	s.ingress.partialBytes += assembly.Pending() - before
	if s.ingress.partialBytes > maxPartialBytes && err == nil {
		err = amqp.Errorf(amqp.ResourceError, "too many contents are half sent")
	}
	return msg, err
}

// handleWhileClosing discards everything that arrives after a close was sent, except for the reply to it.
func (s *session) handleWhileClosing(ch *channel, id uint16, msg *amqp.Message) {
	if assembly := s.assemblyOf(ch, id); assembly != nil {
		s.ingress.partialBytes -= assembly.Pending()
		*assembly = amqp.Assembly{}
	}
	switch {
	case msg == nil:
	case msg.Key == amqp.ConnCloseOk && s.stage == stageClosing && id == 0:
		s.conn.Close()
	case msg.Key == amqp.ChanCloseOk && ch != nil:
		s.removeChannel(id)
	}
}

// handleConnection handles a method on channel 0.
func (s *session) handleConnection(msg *amqp.Message) error {
	switch {
	case msg.Key == amqp.ConnStartOk && s.stage == stageStart:
		caps, _ := msg.Table(0)["capabilities"].(amqp.Table)
		s.supportsCancelNotify, _ = caps["consumer_cancel_notify"].(bool)
		s.supportsBlocked, _ = caps["connection.blocked"].(bool)
		return s.login(msg.Str(1), msg.Str(2))
	case msg.Key == amqp.ConnTuneOk && s.stage == stageTune:
		return s.acceptTuning(msg)
	case msg.Key == amqp.ConnOpen && s.stage == stageOpen:
		return s.openHost(msg.Str(0))
	case msg.Key == amqp.ConnUpdateSecret && s.stage == stageReady:
		return s.updateSecret(msg.Str(0))
	case msg.Key == amqp.ConnClose:
		s.writeMethod(0, amqp.ConnCloseOk)
		s.stage = stageClosing
		s.conn.Close()
	case msg.Key == amqp.ConnCloseOk: // no close is pending: ignored
	default:
		return &amqp.Fault{Code: amqp.CommandInvalid, Text: "out of place", Method: msg.Key}
	}
	return nil
}

// acceptTuning applies the client's limits from connection.tune-ok, which may not exceed those proposed.
func (s *session) acceptTuning(msg *amqp.Message) error {
	maxChannels, maxFrame := int(msg.Int(0)), msg.Int(1)
	heartbeat := time.Duration(msg.Int(2)) * time.Second
	if maxFrame == 0 {
		maxFrame = amqp.FrameMax
	}
	if maxChannels > s.ingress.options.Channels || maxFrame > amqp.FrameMax || maxFrame < amqp.FrameMin {
		return &amqp.Fault{Code: amqp.NotAllowed, Text: "limits outside of what was offered", Method: msg.Key}
	}
	s.stage, s.maxFrame = stageOpen, uint32(maxFrame)
	s.startHeartbeats(heartbeat, s)
	return nil
}
