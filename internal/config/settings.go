package config

import (
	"fmt"
	"slices"

	"brackendale/scheduler"
)

// maxTimeUs is the maximum of every duration in the settings, in microseconds.
const maxTimeUs = 1_000_000_000_000

var idempotencies = []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NotIdempotent}

// bound is the value of one key of the settings and its valid range.
type bound struct {
	key              string
	value            float64
	minimum, maximum float64
}

// checkSettings returns an error for the first key of the scheduler's settings that is out of its range. A missing key
// has the value 0, which means that there is no such limit or, for a duration, the scheduler's default.
func checkSettings(settings *scheduler.Settings) error {
	list := senderBounds(settings)
	seen := map[string]bool{}
	for i, class := range settings.Classes {
		key := fmt.Sprintf("lanes[%d].", i)
		switch {
		case class.Name == "" || seen[class.Name]:
			return keyErrorf("settings."+key+"name", "%q is missing or a duplicate", class.Name)
		case !slices.Contains(idempotencies, class.Idempotency):
			return keyErrorf("settings."+key+"effect", "%q is not one of repeatable, by_key, once", class.Idempotency)
		}
		seen[class.Name] = true
		list = append(list, classBounds(key, class)...)
	}
	for _, b := range list {
		if !(b.value >= b.minimum && b.value <= b.maximum) {
			return keyErrorf("settings."+b.key, "%v is not from %v to %v", b.value, b.minimum, b.maximum)
		}
	}
	if len(settings.Classes) == 0 {
		return keyErrorf("settings.lanes", "is missing: at least one class is required")
	}
	return nil
}

// senderBounds returns the bounds of the settings other than those of classes.
func senderBounds(settings *scheduler.Settings) []bound {
	limits, rules := &settings.Limits, &settings.Rules
	list := []bound{
		{"replicasOfMe", float64(settings.Senders), 0, 1e9},
		{"tickUs", float64(settings.TickUs), 0, 1e6},
		{"overShareWorth", settings.OverQuotaWeight, 0, 1e9},
		{"caps.connectTimeoutUs", float64(limits.ConnectTimeoutUs), 0, maxTimeUs},
		{"caps.keepaliveUs", float64(limits.KeepAliveUs), 0, maxTimeUs},
		{"caps.maxAttempts", float64(limits.MaxAttempts), 0, 1e9},
		{"caps.maxRetryAfterUs", float64(limits.MaxRetryAfterUs), 0, maxTimeUs},
		{"caps.openCap", float64(limits.MaxMessages), 0, 1e9},
		{"caps.streamsPerConn", float64(limits.StreamsPerConnection), 0, 1e9},
		{"familyInfo.workers", float64(settings.Calls.ConcurrentCalls), 1, 1e6},
		{"rules.answerSlackUs", float64(rules.AnswerMarginUs), 0, maxTimeUs},
		{"rules.askWithinUs", float64(rules.MaxPollIntervalUs), 0, maxTimeUs},
		{"rules.coldFrom", rules.SlowStartInitialShare, 0, 1},
		{"rules.fallMultiple", rules.OverloadMultiple, 0, 1e9},
		{"rules.fallUs", float64(rules.OverloadWindowUs), 0, maxTimeUs},
		{"rules.warmAfterUs", float64(rules.SlowStartUs), 0, maxTimeUs},
		{"rules.stopSendingWithinUs", float64(rules.DrainWithinUs), 0, maxTimeUs},
		{"rules.keyRestUs", float64(rules.KeyQuarantineUs), 0, maxTimeUs},
	}
	for i, count := range settings.Calls.MessagesPerCall {
		list = append(list, bound{fmt.Sprintf("familyInfo.perCall[%d]", i), float64(count), 0, 1e6})
	}
	for i, tenant := range settings.Tenants {
		list = append(list, bound{fmt.Sprintf("customers[%d].quotaPerS", i), tenant.QuotaPerSecond, 0, 1e12})
	}
	return list
}

// classBounds returns the bounds of one class. prefix is the part of its keys before their names.
func classBounds(prefix string, class scheduler.Class) []bound {
	return []bound{
		{prefix + "hardLimitUs", float64(class.DeadlineUs), 1, maxTimeUs},
		{prefix + "aimUs", float64(class.LatencyObjectiveUs), 0, maxTimeUs},
		{prefix + "aimStretch", class.ObjectivePerWork, 0, 1e9},
		{prefix + "windowUs", float64(class.KeyWindowUs), 0, maxTimeUs},
		{prefix + "worth", class.PriorityWeight, 0, 1e12},
		{prefix + "lateValue", class.LateValue, 0, 1},
	}
}
