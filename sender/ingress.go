package sender

// Ingress is the part of a front that receives requests from clients and replies to them. Its methods
// are called on the fronts' goroutine, except for MustNotify and Deduplicates: their results never
// change, and any goroutine may call them.
type Ingress interface {
	// Answer sends the verdict on a request to its client.
	Answer(request *Request, verdict Verdict, retryAfterMs int64)
	Notifier
}

// BackpressureListener is an Ingress that can ask its clients to hold back. Messages that arrive while
// backpressure is on are admitted or rejected as usual.
type BackpressureListener interface {
	// SetBackpressure is called when backpressure turns on, with the reason, or off.
	SetBackpressure(on bool, reason string)
}

// TransactionIngress is an Ingress that submits transactions.
type TransactionIngress interface {
	// AnswerTransaction sends the verdict on a transaction to its client, once the transaction is
	// recorded. Its requests get no verdicts of their own.
	AnswerTransaction(transaction *Transaction, verdict Verdict, retryAfterMs int64)
}

// Notifier sends the final answers of accepted messages to their clients.
type Notifier interface {
	// MustNotify reports whether clients must get this final answer. If not, the message is removed
	// from the journal as soon as it has the answer.
	MustNotify(answer string) bool
	// Deduplicates reports whether a request that is submitted again after its final answer was
	// acknowledged must not run again. If so, its id is kept after its deadline for as long as its
	// class allows a message to be pending, and the final answer is repeated.
	Deduplicates() bool
	// Notify sends a final answer to the client of a message. It is called once in each incarnation
	// of the sender until Sender.Acknowledge reports that the client has received the answer, and
	// each time that the message is submitted again. repeated reports whether the client may have
	// received it before.
	Notify(id, correlation, answer string, retryAfterMs int64, repeated bool)
}
