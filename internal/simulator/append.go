package simulator

import (
	"encoding/json"

	"brackendale/scheduler"
)

// Append appends one action of an instance to out, as a line of JSON.
func Append(out []byte, instance int64, a scheduler.Action) []byte {
	r := reply{Instance: instance}
	var name MessageName
	switch a.Kind {
	case scheduler.StartAttempt:
		name, r.ID, r.Endpoint, r.TimeoutUs = startAttempt, a.ID, a.Endpoint, a.TimeoutUs
	case scheduler.Reject:
		name, r.ID, r.RetryAfterUs = reject, a.ID, a.RetryAfterUs
	case scheduler.Fail:
		name, r.ID = fail, a.ID
	case scheduler.SetTimer:
		name, r.DelayUs, r.TimerID = setTimer, &a.DelayUs, &a.TimerID
	case scheduler.WriteLog:
		name, r.Text = writeLog, a.Text
	case scheduler.CancelAttempt:
		name, r.ID, r.Attempt = cancelAttempt, a.ID, &a.Attempt
	case scheduler.CloseIdleConnections:
		name, r.Endpoint = closeIdleConnections, a.Endpoint
	case scheduler.WatchEndpoints:
		name, r.On = watchEndpoints, &a.On
	}
	return appendLine(out, name, r)
}

// AppendInstanceFailed appends the line that reports that an instance's scheduler could not be started or has panicked.
func AppendInstanceFailed(out []byte, instance int64, reason string) []byte {
	return appendLine(out, instanceFailed, reply{Instance: instance, Text: reason})
}

func appendLine(out []byte, name MessageName, r reply) []byte {
	inner, err := json.Marshal(r)
	if err != nil { // cannot happen: a reply holds only strings, numbers and booleans
		panic(err)
	}
	out = append(out, '{', '"')
	out = append(out, name...)
	out = append(out, '"', ':')
	out = append(out, inner...)
	return append(out, '}', '\n')
}
