package scheduler

import (
	"testing"
)

// A destination always fails a certain share of its calls. It still has the capacity for the others: a slow start for
// as long as calls failed rejected most of the messages that it could have run.
func TestPartlyFailingDestinationIsUsed(t *testing.T) {
	for failedShare, minDelivered := range map[float64]int{0.2: 9500, 0.4: 8000, 0.6: 6000} { // of 12,000 messages
		deliveredSum, undeliveredSum := 0, 0
		for seed := range int64(5) {
			fleet := newFleet(t, 1, seed)
			fleet.errorShare = failedShare
			fleet.addRequests(fleet.now, fleet.now+60_000*ms, 40, seed)
			fleet.run(70_000 * ms)
			deliveredSum, undeliveredSum = deliveredSum+fleet.total(0, 70).delivered, undeliveredSum+fleet.senders[0].undelivered
		}
		if deliveredSum < minDelivered {
			t.Errorf("failed share %v: %d messages delivered, %d rejected or failed", failedShare, deliveredSum, undeliveredSum)
		}
	}
}

// If the queue is full, a new message is shed before an accepted one that has not run, unless the accepted one has
// much less value or is close to its deadline. A message that has no more value than a recently shed one is rejected
// at once.
func TestAcceptedMessagesAreShedLast(t *testing.T) {
	settings := testSettings()
	settings.Limits.MaxMessages = 20
	settings.Classes[2].PriorityWeight = 10
	settings.Senders = 80
	rig := newRig(t, settings)
	accepted := map[string]bool{}
	// accept submits a message and returns its id and that of the message that was shed for it; empty: none.
	accept := func(class string) (id, shed string) {
		event := rig.request(class, 1)
		for _, action := range rig.advance(ms, event) {
			if action.Kind == Reject {
				shed = action.ID
			}
		}
		accepted[event.ID] = shed != event.ID
		return event.ID, shed
	}
	for range 40 {
		if id, shed := accept("safe"); shed != "" && shed != id {
			t.Fatalf("accepted message %s was shed for a new one of the same weight", shed)
		}
	}
	if id, shed := accept("once"); shed == "" || shed == id || !accepted[shed] {
		t.Fatalf("shed message %q, want an accepted one to be shed for one of ten times the weight", shed)
	}
	withdrawn := 0
	for id, isAccepted := range accepted {
		if msg := rig.sched.messages[id]; isAccepted && msg != nil && withdrawn < 6 {
			withdrawn++
			rig.step(Event{Kind: RequestWithdrawn, ID: id})
		}
	}
	if id, shed := accept("safe"); shed != id {
		t.Errorf("shed message %q, want the new one with the value of those shed before", shed)
	}
	for id, msg := range rig.sched.messages {
		if withdrawn < 12 && msg != nil {
			withdrawn++
			rig.step(Event{Kind: RequestWithdrawn, ID: id})
		}
	}
	if _, shed := accept("safe"); shed != "" {
		t.Errorf("message %q was shed though the queue is not full", shed)
	}
	rig.now += 8_000 * ms
	for range 8 {
		accept("safe")
	}
	shedOld := false
	for range 8 {
		_, shed := accept("once")
		shedOld = shedOld || accepted[shed]
	}
	if !shedOld {
		t.Error("no accepted message close to its deadline was shed")
	}
}

// A full queue sheds the messages with the lowest value, and each of them gets one rejection with a valid Retry-After.
func TestFullQueueShedsTheLeastValuable(t *testing.T) {
	settings := testSettings()
	settings.Limits.MaxMessages = 20
	settings.Classes[0].PriorityWeight = 0.1
	rig := newRig(t, settings)
	var actions []Action
	for i := range 30 {
		actions = append(actions, rig.step(rig.request([]string{"safe", "once"}[i%2], 1))...)
	}
	if rig.sched.acceptedCount >= 20 || countActions(actions, Reject) < 11 {
		t.Fatalf("%d messages accepted and %d rejected, want at most 19 and at least 11", rig.sched.acceptedCount,
			countActions(actions, Reject))
	}
	for _, action := range actions {
		if action.Kind == Reject && action.RetryAfterUs > 2000*ms {
			t.Fatalf("Retry-After of %d us, above the maximum", action.RetryAfterUs)
		}
		if msg := rig.sched.messages[action.ID]; action.Kind == Reject && msg != nil {
			t.Fatal("a rejected message is still pending")
		}
	}
	safe := 0
	for _, msg := range rig.sched.destination(1).pending {
		if msg.class.Name == "safe" {
			safe++
		}
	}
	if safe > 6 {
		t.Fatalf("%d messages of low weight were kept, want at most 6", safe)
	}
}

// Messages that exceed their tenant's quota get a lower priority weight, so that the others are sent first.
func TestMessagesOverTheTenantQuotaHaveLessWeight(t *testing.T) {
	settings := testSettings()
	settings.OverQuotaWeight = 0.1
	settings.Tenants = append(settings.Tenants, Tenant{"loud", 1}, Tenant{"calm", 1})
	rig := newRig(t, settings)
	var events []Event
	for range 10 {
		event := rig.request("safe", 1)
		event.Tenant = "loud"
		events = append(events, event)
	}
	calm := rig.request("safe", 1)
	calm.Tenant = "calm"
	rig.step(append(events, calm)...)
	withinQuota, overQuota := 0, 0
	for _, msg := range rig.sched.destination(1).pending {
		if msg.priorityWeight == 1 {
			withinQuota++
		} else {
			overQuota++
		}
	}
	if withinQuota != 3 || overQuota != 8 {
		t.Fatalf("%d messages with full weight and %d with less, want 3 and 8", withinQuota, overQuota)
	}
}

// If a Retry-After ends too late for a message, the message is rejected at once and not at its deadline.
func TestRetryAfterBeyondTheDeadline(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	first, pending := rig.request("safe", 1), rig.request("once", 1)
	rig.step(first, pending) // the concurrency limit is one
	rejection := rig.outcome(first.ID, OutcomeRejected)
	rejection.RetryAfterMs = 9_950
	if actions := rig.advance(100*ms, rejection); countActions(actions, Reject) != 2 {
		t.Fatal("want a rejection of both accepted messages, got", actions)
	}
	early, later := rig.request("safe", 1), rig.request("safe", 1)
	early.Deadline -= 9000 * ms
	if actions := rig.step(early, later); countActions(actions, Reject) != 1 || actions[0].ID != early.ID ||
		actions[0].RetryAfterUs == 0 {
		t.Fatal("want a rejection with a Retry-After of the message with the earlier deadline, got", actions)
	}
}

// A message that can no longer get a response in time is rejected then, and not at its deadline.
func TestUnanswerableMessageEndsBeforeItsDeadline(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 5)
	rig.sched.destinationByID[1].route.retryAfterUntil = rig.now + 9000*ms
	event := rig.request("safe", 1)
	rig.step(event)
	sentOrRejected := func(action Action) bool { return action.Kind == StartAttempt || action.Kind == Reject }
	if _, ok := rig.runUntil(9700*ms, sentOrRejected); !ok {
		t.Fatal("the message was neither sent nor rejected before its deadline")
	}
	event = rig.request("safe", 1)
	rig.sched.destinationByID[1].endpoints[0].live = false
	rig.step(event)
	if _, ok := rig.runUntil(9920*ms, func(action Action) bool { return action.Kind == Reject }); !ok {
		t.Fatal("a message without a live endpoint was kept until its deadline")
	}
}
