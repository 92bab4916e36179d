// Package correlation decides which request an answer belongs to.
//
// The place of an answer in a byte stream proves nothing: a peer may answer twice, late, or nobody. An answer belongs
// to a request only if
//   - the connection carries no other request (Single), or
//   - the answer names the request, by a number that is used once on the connection (Numbers).
//
// It does no I/O.
package correlation

// Verdict states what bytes from the peer of a connection with one request are.
type Verdict uint8

// The verdicts on received bytes.
const (
	Answer      Verdict = iota // a part of the answer to the request
	Unrequested                // they came before the request was begun
	Early                      // they came before the request was completely sent, so it cannot have run
	Surplus                    // they came behind the answer
)

// String returns the verdict in the form that logs and metrics have.
func (v Verdict) String() string {
	return [...]string{"answer", "unrequested", "early", "surplus"}[v]
}

// Single is the state of a connection that carries one request. The zero value is that of a new connection.
type Single struct {
	begun, answered bool
}

// Begin records that the request is about to be written. It returns false if the connection has carried a request: then
// no further one may be written to it.
func (s *Single) Begin() bool {
	if s.begun {
		return false
	}
	s.begun = true
	return true
}

// Begun reports whether any byte of the request may have been written.
func (s *Single) Begun() bool { return s.begun }

// End records that the request has its answer, or that none is awaited any more.
func (s *Single) End() { s.answered = true }

// Classify returns the verdict on received bytes. sent reports whether the request's last byte was sent.
func (s *Single) Classify(sent bool) Verdict {
	switch {
	case !s.begun:
		return Unrequested
	case s.answered:
		return Surplus
	case !sent:
		return Early
	}
	return Answer
}

// Numbers hands out the numbers 1 to a limit, each once. The zero value hands out none.
type Numbers struct {
	last, limit uint64
}

// NewNumbers returns the numbers 1 to limit.
func NewNumbers(limit uint64) Numbers { return Numbers{limit: limit} }

// Next returns the next number, or false if all were used.
func (n *Numbers) Next() (number uint64, ok bool) {
	if n.last >= n.limit {
		return 0, false
	}
	n.last++
	return n.last, true
}

// Used reports whether a number was handed out.
func (n *Numbers) Used(number uint64) bool { return number > 0 && number <= n.last }
