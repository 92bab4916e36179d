package soak

import (
	"fmt"
	"time"
)

// seconds returns the time since the begin of the run, for reports; -1 stands for the zero time.
func (j *Judge) seconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(j.start).Seconds()
}

// linkState describes for a report the connection of a call.
func (j *Judge) linkState(call *attempt) string {
	if call.relayed == nil {
		return "direct"
	}
	return fmt.Sprintf("link fault: %v, given up %.3f", call.relayed.Fault(), j.seconds(call.relayed.CallerEndedAt()))
}

// history describes for a report when a message was accepted, due and sent to endpoints.
func (j *Judge) history(msg *message) string {
	text := fmt.Sprintf("accepted %.3f, due %.3f", j.seconds(msg.repliedAt), j.seconds(msg.deadline))
	for _, call := range msg.calls {
		text += fmt.Sprintf("; called %.3f to %.3f on %s (%s, may have run: %v, ended: %.3f)", j.seconds(call.firstAt),
			j.seconds(call.receivedAt), call.connection, j.linkState(call), call.mayRun, j.seconds(call.endedAt))
		if call.answer != "" {
			text += fmt.Sprintf(", answered %.3f %q", j.seconds(call.answeredAt), call.answer)
		}
		for _, stray := range j.strays[call.connection] {
			text += fmt.Sprintf(", stray %.3f %q", j.seconds(stray.at), stray.answer)
		}
	}
	if msg.finalAnswer != "" {
		text += fmt.Sprintf("; ended %.3f as %s", j.seconds(msg.finalAnswerAt), msg.finalAnswer)
	}
	return text
}
