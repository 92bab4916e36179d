package sender

import "brackendale/internal/lifecycle"

// outboxItem is one queued call to a front: a verdict, a final answer, or any other call. A struct for
// the first two avoids a closure for each, of which a busy step would allocate thousands.
type outboxItem struct {
	call func() // any other call; the other fields are unused if it is set

	ingress      Ingress
	retryAfterMs int64

	request *Request // of a verdict; nil: a final answer
	verdict Verdict

	// Of a final answer.
	guard       *lifecycle.Guard
	id          string
	correlation string
	answer      string
	repeated    bool // the client may have received it before
}

// deliver makes the call. It runs on the fronts' goroutine.
func (item *outboxItem) deliver() {
	switch {
	case item.call != nil:
		item.call()
	case item.request != nil:
		item.ingress.Answer(item.request, item.verdict, item.retryAfterMs)
	default:
		item.guard.Notify(item.id)
		item.ingress.Notify(item.id, item.correlation, item.answer, item.retryAfterMs, item.repeated)
	}
}

// enqueueCall queues a call to a front for the end of the step.
func (s *Sender) enqueueCall(call func()) { s.outbox = append(s.outbox, outboxItem{call: call}) }
