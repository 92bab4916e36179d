package hotrestart

import (
	"brackendale/internal/clock"
	"brackendale/sender"
)

// Version is the version of the protocol. Between two processes of different versions only the journal is handed over.
const Version = 2

// Kind is the type of a message. Its values are sent over the wire.
type Kind string

// The kinds of message, in the order in which they are sent in a hot restart.
const (
	// From the successor: a request to take over, with its version of the protocol.
	KindHello Kind = "hello"
	// From the predecessor: it accepts the request.
	KindWelcome Kind = "welcome"
	// From the predecessor: it refuses the request; Reason has the reason.
	KindRefused Kind = "refused"
	// From the successor: it has started all that it can start without the state.
	KindPrepared Kind = "prepared"
	// From the predecessor: its checkpoint, taken while its core is paused.
	KindState Kind = "state"
	// From the successor: it has read the state and can continue from it.
	KindStateAccepted Kind = "taken"
	// From the predecessor: it has released the journal, which the successor may open now.
	KindJournalReleased Kind = "yours"
	// From the successor, if both sides confirm: its start is complete. Before this message it writes nothing to the
	// journal, sends nothing to anyone and accepts no client.
	KindServing Kind = "serving"
	// From the predecessor: a request that one of its clients submitted.
	KindOffer Kind = "offer"
	// From the predecessor: the client of an offer has disconnected.
	KindWithdraw Kind = "withdraw"
	// From the successor: its verdict on an offer (accepted, rejected or failed).
	KindAnswer Kind = "answer"
	// From the predecessor: results of its attempts that were in flight when it released the journal.
	KindReport Kind = "report"
	// From the successor: a request to cancel an attempt that is in flight at the predecessor.
	KindCancel Kind = "recall"
	// From either side: a Retry-After that it has received, which applies to the attempts of both. Earlier releases
	// ignore it.
	KindRetryAfter Kind = "wait"
)

// Message is one message of the protocol. Its kind determines which of the other fields are set.
type Message struct {
	Kind Kind `json:"Kind"`

	Version int    `json:"Version,omitempty"` // of hello, welcome and refused
	Reason  string `json:"Why,omitempty"`     // of refused
	State   *State `json:"State,omitempty"`   // of state

	// Of hello and welcome: this side knows Listeners and KindServing. Earlier releases with the same Version do not.
	Confirms bool `json:"Confirms,omitempty"`
	// Of welcome: the listening sockets of the predecessor. Their descriptors, in the same order, accompany the bytes
	// of the message.
	Listeners   []ListenerName `json:"Listeners,omitempty"`
	Descriptors []int          `json:"-"` // the sender and the receiver of the message each own theirs

	Offer        *Offer `json:"Offer,omitempty"`   // of offer
	OfferID      uint64 `json:"N,omitempty"`       // of offer, withdraw and answer: the number of the offer
	Verdict      int    `json:"Verdict,omitempty"` // of answer: a sender.Verdict
	RetryAfterMs int64  `json:"WaitMs,omitempty"`  // of answer and wait
	Route        string `json:"Route,omitempty"`   // of wait: the name of the route

	Results []sender.AttemptResult `json:"Report"`        // of report
	ID      string                 `json:"ID,omitempty"`  // of recall: the ID of the message
	Attempt int                    `json:"Try,omitempty"` // of recall: the number of its attempt
}

// valid reports whether the message has the contents that its kind requires.
func (m *Message) valid() bool {
	switch m.Kind {
	case "":
		return false
	case KindState:
		return m.State != nil
	case KindOffer:
		return m.Offer != nil
	}
	return true
}

// ListenerName names a listening socket.
type ListenerName struct {
	Network string `json:"Network"` // as in package net
	Address string `json:"Address"` // host and port, or the path of a Unix socket
}

// State is the state of the predecessor from which the successor continues.
type State struct {
	Core        sender.Checkpoint `json:"Core"`
	Discovery   string            `json:"Discovery"` // address of the registry; empty if the routes are configured
	ListVersion int64             `json:"Seq"`       // version of the registry's endpoint list; negative if there is none
}

// Offer is a request of a client of the predecessor, forwarded to the successor.
type Offer struct {
	ID          string        `json:"ID"`
	Class       string        `json:"Class"`
	Tenant      string        `json:"Tenant"`
	Key         string        `json:"Key"`
	Destination int64         `json:"Dest"`
	Deadline    clock.Instant `json:"Deadline"`
	Body        []byte        `json:"Body"`
	Front       string        `json:"Front"`
	Correlation string        `json:"Note"`
}

// NewOffer returns the offer of a request.
func NewOffer(req *sender.Request) *Offer {
	return &Offer{
		ID:          req.ID,
		Class:       req.Class,
		Tenant:      req.Tenant,
		Key:         req.Key,
		Destination: req.Destination,
		Deadline:    req.Deadline,
		Body:        req.Body,
		Front:       req.Front,
		Correlation: req.Correlation,
	}
}

// Request returns the offered request, without a function that sends the reply.
func (o *Offer) Request() *sender.Request {
	return &sender.Request{
		ID:          o.ID,
		Class:       o.Class,
		Tenant:      o.Tenant,
		Key:         o.Key,
		Destination: o.Destination,
		Deadline:    o.Deadline,
		Body:        o.Body,
		Front:       o.Front,
		Correlation: o.Correlation,
	}
}
