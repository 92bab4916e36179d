package config

import (
	"fmt"
	"slices"

	"brackendale/scheduler"
)

// maxTimeUs bounds every time in the settings, in microseconds.
const maxTimeUs = 1_000_000_000_000

var idempotencies = []scheduler.Idempotency{scheduler.Idempotent, scheduler.IdempotentByKey, scheduler.NotIdempotent}

// bound is the range of one key of the settings.
type bound struct {
	key         string
	value       float64
	least, most float64
}

// checkSettings returns the first key of the scheduler's settings that is out of its range. A missing key counts as 0,
// which means no such limit or, for a time, the scheduler's own default.
func checkSettings(settings *scheduler.Settings) error {
	list := senderBounds(settings)
	seen := map[string]bool{}
	for i, class := range settings.Classes {
		key := fmt.Sprintf("lanes[%d].", i)
		switch {
		case class.Name == "" || seen[class.Name]:
			return fault("settings."+key+"name", "%q is missing, or there twice", class.Name)
		case !slices.Contains(idempotencies, class.Idempotency):
			return fault("settings."+key+"effect", "%q is none of repeatable, by_key, once", class.Idempotency)
		}
		seen[class.Name] = true
		list = append(list, classBounds(key, class)...)
	}
	for _, b := range list {
		if !(b.value >= b.least && b.value <= b.most) {
			return fault("settings."+b.key, "%v is not from %v to %v", b.value, b.least, b.most)
		}
	}
	if len(settings.Classes) == 0 {
		return fault("settings.lanes", "there is no class")
	}
	return nil
}

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

func classBounds(key string, class scheduler.Class) []bound {
	return []bound{
		{key + "hardLimitUs", float64(class.DeadlineUs), 1, maxTimeUs},
		{key + "aimUs", float64(class.LatencyObjectiveUs), 0, maxTimeUs},
		{key + "aimStretch", class.ObjectivePerWork, 0, 1e9},
		{key + "windowUs", float64(class.KeyWindowUs), 0, maxTimeUs},
		{key + "worth", class.PriorityWeight, 0, 1e12},
		{key + "lateValue", class.LateValue, 0, 1},
	}
}
