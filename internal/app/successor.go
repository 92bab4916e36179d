package app

import (
	"sync"

	"brackendale/internal/hotrestart"
	"brackendale/internal/net/loop"
	"brackendale/sender"
)

// successor is the successor's side of a hot restart while the predecessor still has clients or attempts in flight. It
// is the sender.Predecessor of the core.
type successor struct {
	core             *sender.Sender
	loop             *loop.Loop
	transport        *transport
	link             *restartLink
	predecessorEnded func() // called once, after the predecessor has disconnected

	mu     sync.Mutex
	offers map[uint64]*sender.Request // not answered yet, by the number of the offer
}

// Cancel requests the predecessor to cancel an attempt.
func (s *successor) Cancel(id string, attempt int) {
	s.link.send(hotrestart.Message{Kind: hotrestart.KindCancel, ID: id, Attempt: attempt})
}

// handlePredecessorMessages handles the predecessor's messages until it disconnects.
func (s *successor) handlePredecessorMessages() {
	for {
		msg, err := s.link.receive(0)
		if err != nil {
			break
		}
		switch msg.Kind {
		case hotrestart.KindOffer:
			s.submit(msg.OfferID, msg.Offer)
		case hotrestart.KindWithdraw:
			s.mu.Lock()
			req := s.offers[msg.OfferID]
			s.mu.Unlock()
			if req != nil {
				s.core.Withdraw(req)
			}
		case hotrestart.KindReport:
			s.core.ReportAttempts(msg.Results...)
		case hotrestart.KindRetryAfter:
			s.loop.Post(func() { s.transport.platformEgress.StartRetryAfter(msg.Route, msg.RetryAfterMs) })
		}
	}
	s.link.close()
	s.core.PredecessorEnded()
	s.predecessorEnded()
}

// submit submits an offered request to the core; the verdict is sent to the predecessor.
func (s *successor) submit(offerID uint64, offer *hotrestart.Offer) {
	req := offer.Request()
	req.Reply = func(verdict sender.Verdict, retryAfterMs int64) {
		s.mu.Lock()
		delete(s.offers, offerID)
		s.mu.Unlock()
		s.link.send(hotrestart.Message{
			Kind: hotrestart.KindAnswer, OfferID: offerID, Verdict: int(verdict), RetryAfterMs: retryAfterMs,
		})
	}
	s.mu.Lock()
	s.offers[offerID] = req
	s.mu.Unlock()
	s.core.Submit(req)
}
