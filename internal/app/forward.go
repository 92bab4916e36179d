package app

import (
	"brackendale/internal/hotrestart"
	"brackendale/sender"
)

// Submit forwards a request of one of this process's clients to the successor.
func (p *predecessor) Submit(req *sender.Request) {
	p.mu.Lock()
	p.offerID++
	id := p.offerID
	p.offers[id] = req
	p.mu.Unlock()
	p.link.send(hotrestart.Message{Kind: hotrestart.KindOffer, OfferID: id, Offer: hotrestart.NewOffer(req)})
}

// Withdraw withdraws a forwarded request that is not answered yet.
func (p *predecessor) Withdraw(req *sender.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, offered := range p.offers {
		if offered == req {
			p.link.send(hotrestart.Message{Kind: hotrestart.KindWithdraw, OfferID: id})
			return
		}
	}
}

// Report forwards the results of attempts that were in flight here.
func (p *predecessor) Report(results []sender.AttemptResult) {
	p.link.send(hotrestart.Message{Kind: hotrestart.KindReport, Results: results})
}

// removeOffer removes an offer and returns its request, or nil if the offer was answered before.
func (p *predecessor) removeOffer(id uint64) *sender.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.offers[id]
	delete(p.offers, id)
	return req
}

// dropOffers removes all offers. Their clients get no reply: nobody knows what became of their requests.
func (p *predecessor) dropOffers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.offers)
}
