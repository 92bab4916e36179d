package scheduler

import "testing"

// The values of the enumerations are keywords of the protocol and of stored data: they must not change.
func TestEnumerationValues(t *testing.T) {
	for _, tc := range []struct{ name, got, want string }{
		{"OutcomeSuccess", string(OutcomeSuccess), "GOOD"},
		{"OutcomeFailed", string(OutcomeFailed), "BAD"},
		{"OutcomeRejected", string(OutcomeRejected), "FULL"},
		{"OutcomeTimedOut", string(OutcomeTimedOut), "LATE"},
		{"OutcomeConnectFailed", string(OutcomeConnectFailed), "NOCONN"},
		{"OutcomeReset", string(OutcomeReset), "RST"},
		{"OutcomeCanceled", string(OutcomeCanceled), "CXL"},
		{"OutcomeNotSent", string(OutcomeNotSent), "NOP"},
		{"UpdatePatch", string(UpdatePatch), "patch"},
		{"UpdateFull", string(UpdateFull), "whole"},
		{"UpdateStale", string(UpdateStale), "stale_copy"},
		{"UpdateBroken", string(UpdateBroken), "broken"},
		{"StatusLive", string(StatusLive), "live"},
		{"StatusDraining", string(StatusDraining), "quiescing"},
		{"StatusDead", string(StatusDead), "dead"},
		{"Idempotent", string(Idempotent), "repeatable"},
		{"IdempotentByKey", string(IdempotentByKey), "by_key"},
		{"NotIdempotent", string(NotIdempotent), "once"},
		{"KeyScopeAll", string(KeyScopeAll), "all"},
		{"KeyScopeZone", string(KeyScopeZone), "zone"},
		{"DiscoveryPushed", string(DiscoveryPushed), "pushed"},
		{"DiscoveryOnRequest", string(DiscoveryOnRequest), "on_request"},
		{"HintsNone", string(HintsNone), "silent"},
		{"HintsExact", string(HintsExact), "nominal"},
		{"HintsRough", string(HintsRough), "rough"},
		{"DecayLinear", string(DecayLinear), "line"},
		{"DecayHalving", string(DecayHalving), "halves"},
		{"ReportInAnswers", string(ReportInAnswers), "piggyback"},
		{"ReportOnRequest", string(ReportOnRequest), "pull"},
		{"ReportNone", string(ReportNone), "silent"},
	} {
		if tc.got != tc.want {
			t.Errorf("%s is %q, want %q", tc.name, tc.got, tc.want)
		}
	}
}
