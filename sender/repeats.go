package sender

import (
	"slices"

	"brackendale/internal/journal"
)

// maxLaterCorrelations limits the transient reply addresses that are kept for one message. Beyond it the oldest is
// dropped, whose client can submit the message once more.
const maxLaterCorrelations = 8

// acceptRepeat accepts a request whose message is known already. Its client may not have received the verdict,
// and gets the final answer. The verdict waits until what it promises is durable.
func (s *Sender) acceptRepeat(request *Request, verdict reply) {
	s.recordRepeat(request)
	if !s.redirected[request.ID] && !s.diskStall.unrecorded()[request.ID] {
		s.answer(request, verdict)
		return
	}
	s.onFlushed = append(s.onFlushed, func(error) { s.answer(request, verdict) })
}

// recordRepeat makes the client of a repeated request the one that gets the final answer of the message, and
// sends the answer if there is one.
func (s *Sender) recordRepeat(request *Request) {
	entry := s.journal.Get(request.ID)
	in := s.ingresses[request.Front]
	if entry == nil || in == nil {
		return
	}
	switch {
	case in.IsTransient(request.Correlation):
		addLaterCorrelation(entry, request.Correlation)
	case entry.Correlation != request.Correlation || entry.Acknowledged:
		s.journal.Redirect(entry.ID, request.Correlation)
		s.redirected[entry.ID] = true
		fallthrough
	default:
		entry.LaterCorrelations = nil // none is needed while the recorded one exists
	}
	if entry.FinalAnswer != "" {
		s.unsentAnswers = append(s.unsentAnswers, entry)
	}
}

// addLaterCorrelation makes a transient correlation the latest of an entry.
func addLaterCorrelation(entry *journal.Entry, correlation string) {
	if len(entry.LaterCorrelations) == 0 && entry.Correlation == correlation {
		return
	}
	later := slices.DeleteFunc(entry.LaterCorrelations, func(known string) bool { return known == correlation })
	if len(later) >= maxLaterCorrelations {
		later = slices.Delete(later, 0, 1)
	}
	entry.LaterCorrelations = append(later, correlation)
}

// endedReply returns the reply to a request whose id belongs to a message that has ended and is no longer in the
// journal. Such ids are those of ingresses that do not deduplicate; another ingress promises a final answer, which
// is not known any more.
func (s *Sender) endedReply(request *Request) reply {
	if in := s.ingresses[request.Front]; in != nil && in.Deduplicates() {
		return reply{verdict: Failed, reason: "the id belongs to a message of another front"}
	}
	return reply{verdict: Accepted, reason: "ended already"}
}
