package scheduler

import "testing"

// Where each call opens its connection, a refusal without a report is one of the connection also after earlier calls,
// and no idle connection is believed in.
func TestRefusedConnectionTakenForARefusedCall(t *testing.T) {
	settings := settingsForSenders(1)
	settings.LoadReport.Mode = ReportInAnswers
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	rig.sched.UseConnectionsOnce()
	rig.warmUp(1, 5)
	ep := rig.sched.destination(1).endpoints[0]
	if ep.connections.open != 0 {
		t.Fatalf("%d connections count as open without a call", ep.connections.open)
	}
	event := rig.request("safe", 1)
	rig.step(event)
	rig.advance(10*ms, rig.outcome(event.ID, OutcomeRejected))
	if rt := ep.route; rt.health.consecutiveRejections != 0 || ep.connections.limitedUntil <= rig.sched.now {
		t.Errorf("%d rejections of the route, connections limited until %d at %d", rt.health.consecutiveRejections,
			ep.connections.limitedUntil, rig.sched.now)
	}
}
