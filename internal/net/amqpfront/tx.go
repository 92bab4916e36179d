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
	maxTxTotalBytes   = 4 << 20   // bytes of all channels of the front
	txMessageOverhead = 512       // bytes counted for a message besides its body
)

// txState is a channel's open transaction, since its last commit or rollback (section 1.9 of the
// specification): publishes that are not submitted yet and acknowledgements that have no effect yet.
type txState struct {
	requests []*sender.Request
	returns  []*amqp.Message // mandatory messages without a destination, to be returned at the commit
	acks     []txAck
	bytes    int // size of requests and returns, counted by reserveTx
}

// txAck is an acknowledgement in a transaction or, with requeue, a rejection.
type txAck struct {
	delivery
	requeue bool
}

// txCommit is a commit that waits for the core's verdict, also after its channel has ended. The verdict decides whether
// the acknowledgements take effect or the answers are delivered again.
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

// reserveTx counts a publish of the given size in the transaction. It returns false, and counts nothing,
// if that would exceed a limit.
func (ch *channel) reserveTx(bytes int) bool {
	in, tx := ch.session.ingress, ch.tx
	if len(tx.requests)+len(tx.returns) >= maxTxMessages ||
		tx.bytes+bytes > maxTxBytes || in.uncommittedBytes+bytes > maxTxTotalBytes {
		return false
	}
	tx.bytes += bytes
	in.uncommittedBytes += bytes
	return true
}

// rollback discards the publishes and the acknowledgements, so that the answers are unacknowledged again.
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
	pendingCommit := &txCommit{ch, *ch.tx}
	*ch.tx = txState{}
	transaction := &sender.Transaction{
		Front:       ch.session.host.front,
		Requests:    pendingCommit.requests,
		IngressData: pendingCommit,
	}
	for _, a := range pendingCommit.acks {
		if superseded := ch.session.host.unsettled[a.answer.id] != a.answer; !a.requeue && !superseded {
			transaction.Acknowledged = append(transaction.Acknowledged, a.answer.id)
		}
	}
	ch.pendingCommits += int32(1 + len(pendingCommit.acks)) // each acknowledgement stays pending until the verdict
	ch.session.addPending(1)
	ch.session.ingress.core.SubmitTransaction(transaction)
}

// AnswerTransaction ends a commit with the core's verdict. A rejected commit closes its channel, because the
// specification has no other reply for it, and because the client's next methods may depend on the commit.
func (h *host) AnswerTransaction(tx *sender.Transaction, verdict sender.Verdict, waitMs int64) {
	commit, ok := tx.IngressData.(*txCommit)
	if !ok {
		return
	}
	ch := commit.channel
	h.ingress.uncommittedBytes -= commit.bytes
	var redeliver []delivery
	for _, a := range commit.acks {
		if verdict != sender.Accepted || a.requeue {
			redeliver = append(redeliver, a.delivery)
		} else {
			h.release(a.answer)
		}
	}
	if !ch.closed {
		ch.pendingCommits -= int32(1 + len(commit.acks))
		ch.session.addPending(-1 - len(commit.acks))
		if verdict == sender.Accepted {
			for _, r := range commit.returns {
				ch.session.returnMessage(ch, r)
			}
			ch.session.writeMethod(ch.id, amqp.TxCommitOk)
		} else {
			fault := amqp.Errorf(amqp.PreconditionFailed,
				"the transaction was refused, nothing of it was taken on; it may come again in %d ms", waitMs)
			if verdict == sender.Failed {
				fault = amqp.Errorf(amqp.PreconditionFailed, "the transaction has failed, nothing of it was taken on")
			}
			fault.Method = amqp.TxCommit
			ch.session.closeWith(ch.id, fault)
		}
	}
	h.requeue(redeliver)
	for _, consumer := range slices.Clone(ch.consumers) { // there may be room for more unacknowledged answers now
		consumer.queue.dispatch()
	}
}
