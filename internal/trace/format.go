// Package trace writes the events and actions of a sender's scheduler, one line for each step, and adds up such lines
// of any number of senders by destination and time interval. Behavior that looks harmless at each sender may show as
// a problem only in the sums.
//
// A line is
//
//	trace TIME_US SENDER RECORD ...
//
// TIME_US is the monotonic clock in microseconds. The fields of a record are separated by colons. They are escaped as
// in the query of a URL, since ids and endpoints may contain any character:
//
//	a:ID:CLASS:TENANT:DEST:LEFT_MS[:held]      a request was accepted; held: restored at startup
//	r:ID:N:ENDPOINT:OUTCOME:WAIT_MS:LOAD       an attempt ended; LOAD: the load report's values, separated by commas
//	l:KIND:ENTRIES                             the endpoint list changed
//	i:ID:ENDPOINT:DEST:TIMEOUT_MS              an attempt is started
//	p:ID:WAIT_MS                               a request is rejected
//	f:ID                                       a request fails
//	x:ID:N                                     an attempt is canceled
//	t:ENDPOINT                                 idle connections are closed
package trace

// linePrefix is the beginning of each line.
const linePrefix = "trace "

// The kinds of records, which are their first fields.
const (
	recordAccepted        = "a"
	recordAttemptFinished = "r"
	recordEndpoints       = "l"
	recordAttemptStarted  = "i"
	recordRejected        = "p"
	recordFailed          = "f"
	recordCanceled        = "x"
	recordIdleClosed      = "t"
)

// restoredField is the last field of the record of a request that was restored at startup.
const restoredField = "held"
