package sender

import "brackendale/internal/lifecycle"

// outboxItem is one queued call to a front: a verdict, a final answer, or any other call. A struct for
// the first two avoids a closure for each, of which a busy step would allocate thousands.
type outboxItem struct {
	call func() // any other call; the other fields are unused if it is set

	ingress Ingress

	// Of a verdict.
	request      *Request // nil: a final answer
	verdict      Verdict
	retryAfterMs int64

	// Of a final answer.
	guard  *lifecycle.Guard
	notice Notice
}

// deliver makes the call. It runs on the fronts' goroutine.
func (item *outboxItem) deliver() {
	switch {
	case item.call != nil:
		item.call()
	case item.request != nil:
		item.ingress.Answer(item.request, item.verdict, item.retryAfterMs)
	default:
		item.guard.Notify(item.notice.ID)
		item.ingress.Notify(item.notice)
	}
}

// enqueueCall queues a call to a front for the end of the step.
func (s *Sender) enqueueCall(call func()) { s.outbox = append(s.outbox, outboxItem{call: call}) }
