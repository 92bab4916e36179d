package amqpfront

import (
	"cmp"
	"slices"

	"brackendale/internal/net/amqp"
	"brackendale/sender"
)

// The limits of uncommitted transactions.
const (
	maxTxMessages     = 256       // messages of one channel
	maxTxBytes        = 256 << 10 // bytes of one channel
	maxTxTotal        = 4 << 20   // bytes of all channels of the front
	txMessageOverhead = 512       // bytes counted for a message besides its body
)

// txState is a channel's open transaction, since its last commit or rollback (section 1.9 of the
// specification): publishes that were not submitted and acknowledgements that have no effect yet.
type txState struct {
	requests []*sender.Request
	returns  []*amqp.Message // mandatory ones without a destination, returned at the commit
	acks     []txAck
	bytes    int
}

// txAck is an acknowledgement, or with requeue a rejection, in a transaction.
type txAck struct {
	delivery
	requeue bool
}

// txCommit is a commit without its answer. It outlasts its channel: the core's verdict decides whether
// its acknowledgements take effect or the answers are delivered again.
type txCommit struct {
	channel *channel
	txState
}

// handleTx handles the methods of the tx class.
func (s *session) handleTx(ch *channel, msg *amqp.Message, fault faultFunc) error {
	switch {
	case msg.Key == amqp.TxSelect && ch.confirms:
		return fault(amqp.PreconditionFailed, "the channel has publisher confirms, and cannot have transactions too")
	case msg.Key == amqp.TxSelect:
		if ch.tx == nil {
			ch.tx = &txState{}
		}
		s.writeMethod(ch.id, amqp.TxSelectOk)
	case ch.tx == nil:
		return fault(amqp.PreconditionFailed, "%s without tx.select", msg.Key)
	case msg.Key == amqp.TxRollback:
		ch.rollback()
		s.writeMethod(ch.id, amqp.TxRollbackOk)
	default:
		ch.commit()
	}
	return nil
}

// reserveTx counts a publish of so many bytes in the transaction. It returns false, and counts nothing,
// if that would exceed a limit.
func (ch *channel) reserveTx(bytes int) bool {
	in, tx := ch.session.ingress, ch.tx
	if len(tx.requests)+len(tx.returns) >= maxTxMessages ||
		tx.bytes+bytes > maxTxBytes || in.uncommittedBytes+bytes > maxTxTotal {
		return false
	}
	tx.bytes += bytes
	in.uncommittedBytes += bytes
	return true
}

// rollback discards the publishes and the acknowledgements: their answers are unacknowledged as before.
func (ch *channel) rollback() {
	tx := ch.tx
	ch.session.ingress.uncommittedBytes -= tx.bytes
	for _, a := range tx.acks {
		ch.unacked = append(ch.unacked, a.delivery)
	}
	slices.SortFunc(ch.unacked, func(a, b delivery) int { return cmp.Compare(a.tag, b.tag) })
	*tx = txState{}
}

// commit submits the transaction to the core.
func (ch *channel) commit() {
	c := &txCommit{ch, *ch.tx}
	*ch.tx = txState{}
	g := &sender.Transaction{Front: ch.session.host.front, Requests: c.requests, IngressData: c}
	for _, a := range c.acks {
		if !a.requeue {
			g.Acknowledged = append(g.Acknowledged, a.answer.id)
		}
	}
	ch.pendingCommits += int32(1 + len(c.acks)) // each acknowledgement stays pending until the verdict
	ch.session.addPending(1)
	ch.session.ingress.core.SubmitTransaction(g)
}

// AnswerTransaction ends a commit. A rejected one closes its channel: the specification has no other
// answer, and what the client does next on the channel may depend on it.
func (h *host) AnswerTransaction(tx *sender.Transaction, verdict sender.Verdict, waitMs int64) {
	c, ok := tx.IngressData.(*txCommit)
	if !ok {
		return
	}
	ch := c.channel
	h.ingress.uncommittedBytes -= c.bytes
	var again []delivery
	for _, a := range c.acks {
		if verdict != sender.Accepted || a.requeue {
			again = append(again, a.delivery)
		} else {
			h.release(a.answer.id)
		}
	}
	if !ch.closed {
		ch.pendingCommits -= int32(1 + len(c.acks))
		ch.session.addPending(-1 - len(c.acks))
		if verdict == sender.Accepted {
			for _, r := range c.returns {
				ch.session.returnMessage(ch, r)
			}
			ch.session.writeMethod(ch.id, amqp.TxCommitOk)
		} else {
			why := amqp.Errorf(amqp.PreconditionFailed,
				"the transaction was refused, nothing of it was taken on; it may come again in %d ms", waitMs)
			if verdict == sender.Failed {
				why = amqp.Errorf(amqp.PreconditionFailed, "the transaction has failed, nothing of it was taken on")
			}
			why.Method = amqp.TxCommit
			ch.session.closeWith(ch.id, why)
		}
	}
	h.requeue(again)
	for _, k := range slices.Clone(ch.consumers) { // they may have more now
		k.queue.dispatch()
	}
}
