package scheduler_test

import (
	"fmt"

	"brackendale/scheduler"
)

// Example delivers one message to the only endpoint of its destination.
func Example() {
	var settings scheduler.Settings
	settings.Classes = []scheduler.Class{{
		Name: "note", Idempotency: scheduler.Idempotent, LatencyObjectiveUs: 1e6,
		DeadlineUs: 5e6, PriorityWeight: 1,
	}}
	settings.Calls.ConcurrentCalls = 4
	sched, err := scheduler.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := sched.Step(0, []scheduler.Event{
		{
			Kind: scheduler.EndpointsUpdated, Update: scheduler.UpdateFull,
			Endpoints: []scheduler.Endpoint{{Addr: "a:1", Destination: 7, State: scheduler.StatusLive}},
		},
		{Kind: scheduler.RequestAccepted, ID: "m1", Class: "note", Destination: 7, Deadline: 5e6},
	})
	for _, action := range actions {
		if action.Kind == scheduler.StartAttempt {
			fmt.Println("send", action.ID, "to", action.Endpoint)
		}
	}
	actions = sched.Step(2e5, []scheduler.Event{
		{Kind: scheduler.AttemptFinished, ID: "m1", Endpoint: "a:1", Outcome: scheduler.OutcomeSuccess, Final: true},
	})
	fmt.Println(len(actions), "actions left")
	// Output:
	// send m1 to a:1
	// 0 actions left
}
