package sender

// Ingress is the part of a front that receives requests from clients and replies to them. Its methods
// are called on the fronts' goroutine, except for MustNotify, Deduplicates and IsTransient: their
// results never change, and any goroutine may call them.
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
	// IsTransient reports whether a correlation names a reply address that ends with the process, or
	// earlier with its client's connection.
	IsTransient(correlation string) bool
	// Notify sends a final answer to the client of a message. It is called once in each incarnation
	// of the sender until Sender.Acknowledge reports that the client has received the answer, each
	// time that the message is submitted again, and after Sender.ReportUnheard.
	Notify(notice Notice)
}

// Notice is the final answer of a message. It is for the client that submitted the message last, among those whose
// reply address still exists.
type Notice struct {
	ID           string
	Correlation  string   // of the latest submission
	Earlier      []string // correlations of earlier submissions, the latest first
	Answer       string
	RetryAfterMs int64
	Repeated     bool // a client may have received it before
}
