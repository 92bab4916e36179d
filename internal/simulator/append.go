package simulator

import (
	"encoding/json"

	"brackendale/scheduler"
)

// Append appends one action of an instance to out, as a line of JSON.
func Append(out []byte, instance int64, action scheduler.Action) []byte {
	line := reply{Instance: instance}
	var name MessageName
	switch action.Kind {
	case scheduler.StartAttempt:
		name, line.ID, line.Endpoint, line.TimeoutUs = startAttempt, action.ID, action.Endpoint, action.TimeoutUs
	case scheduler.Reject:
		name, line.ID, line.RetryAfterUs = reject, action.ID, action.RetryAfterUs
	case scheduler.Fail:
		name, line.ID = fail, action.ID
	case scheduler.SetTimer:
		name, line.DelayUs, line.TimerID = setTimer, &action.DelayUs, &action.TimerID
	case scheduler.WriteLog:
		name, line.Text = writeLog, action.Text
	case scheduler.CancelAttempt:
		name, line.ID, line.Attempt = cancelAttempt, action.ID, &action.Attempt
	case scheduler.CloseIdleConnections:
		name, line.Endpoint = closeIdleConnections, action.Endpoint
	case scheduler.WatchEndpoints:
		name, line.On = watchEndpoints, &action.On
	}
	return appendLine(out, name, line)
}

// AppendInstanceFailed appends the line that reports that an instance's scheduler could not be started or has panicked.
func AppendInstanceFailed(out []byte, instance int64, reason string) []byte {
	return appendLine(out, instanceFailed, reply{Instance: instance, Text: reason})
}

func appendLine(out []byte, name MessageName, line reply) []byte {
	inner, err := json.Marshal(line)
	if err != nil { // cannot happen: a reply holds only strings, numbers and booleans
		panic(err)
	}
	out = append(out, '{', '"')
	out = append(out, name...)
	out = append(out, '"', ':')
	out = append(out, inner...)
	return append(out, '}', '\n')
}
