package scheduler

import (
	"reflect"
	"testing"
	"unsafe"
)

// owner says to what a stored variable belongs. docs/design.md has the same table.
type owner int

const (
	ofService owner = iota + 1 // it passes to the next process
	ofProcess                  // the next process starts with its own
)

// storedVariables has the owner of each variable in a stored state. A new variable has to be added here and in
// docs/design.md.
var storedVariables = map[string]owner{
	"Scheduler.slowdown": ofService, "Scheduler.startedAt": ofService, "Scheduler.maxIdleUs": ofService,
	"Scheduler.maxIdleLearnedAt": ofService, "Scheduler.shutdownAt": ofProcess,

	"destination.arrivalRate": ofService, "destination.arrivalRateAt": ofService,

	"route.bucket.rate": ofService, "route.bucket.rateMark": ofService, "route.bucket.tokens": ofService,
	"route.bucket.refilledAt": ofService, "route.bucket.decreasedAt": ofService, "route.bucket.limited": ofService,
	"route.throughput.sendRate": ofService, "route.throughput.sendRateAt": ofService,
	"route.throughput.successRate": ofService, "route.throughput.successRateAt": ofService,
	"route.throughput.peakSuccessRate": ofService, "route.capacityHint": ofService,
	"route.latency.smoothedUs": ofService, "route.latency.deviationUs": ofService,
	"route.latency.baselineUs": ofService, "route.latency.samples": ofService,
	"route.health.failureShare": ofService, "route.health.lastingFailureShare": ofService,
	"route.health.failureShareAt": ofService, "route.health.failingSince": ofService,
	"route.health.lastFailureAt": ofService, "route.health.lastFailureAmbiguous": ofService,
	"route.health.unavailable": ofService, "route.health.consecutiveFailures": ofService,
	"route.health.consecutiveRejections": ofService, "route.health.consecutiveTimeouts": ofService,
	"route.retryAfterUntil": ofService, "route.lastSuccessAt": ofService, "route.lastSendAt": ofService,
	"route.lastOutcomeAt": ofService, "route.probe.nextAt": ofService, "route.probe.intervalUs": ofService,
	"route.gate.State.Until": ofService, "route.gate.State.NextCallAt": ofService, "route.overtakenUntil": ofService,
	"route.maxInFlight": ofService,

	"endpoint.randomPreference": ofService, "endpoint.lastSuccessAt": ofService, "endpoint.listed": ofService,
	"endpoint.connections.lastUsedAt": ofService, "endpoint.connections.limitedUntil": ofService,
	"endpoint.connections.maxIdleUs": ofService, "endpoint.connections.limit": ofService,

	"message.objectiveAt": ofService, "message.deadline": ofService, "message.notBefore": ofService,
	"message.backoffUntil": ofService, "message.firstRunAt": ofService,

	"call.sentAt": ofService, "call.idleUs": ofService, "call.recorded": ofService, "call.canceled": ofService,
	"call.openedConnection": ofService, "call.afterRejections": ofService,
}

// variableNames adds the names of the variables in a struct, by address.
func variableNames(prefix string, value reflect.Value, names map[unsafe.Pointer]string) {
	for i := range value.NumField() {
		field, name := value.Field(i), prefix+"."+value.Type().Field(i).Name
		if field.Kind() == reflect.Struct {
			variableNames(name, field, names)
			continue
		}
		names[field.Addr().UnsafePointer()] = name
	}
}

// storedNames returns the names of the stored variables.
func storedNames(t *testing.T) map[string]bool {
	t.Helper()
	sched, dest, rt := &Scheduler{}, &destination{}, &route{}
	ep, msg, inFlight := &endpoint{}, &message{}, &call{}
	names := map[unsafe.Pointer]string{}
	for prefix, value := range map[string]any{
		"Scheduler": sched, "destination": dest, "route": rt, "endpoint": ep, "message": msg, "call": inFlight,
	} {
		variableNames(prefix, reflect.ValueOf(value).Elem(), names)
	}
	stored := map[string]bool{}
	for _, list := range []any{
		sched.floats(), sched.integers(), dest.floats(), dest.integers(), rt.floats(), rt.integers(), rt.counts(), rt.flags(),
		ep.floats(), ep.integers(), ep.counts(), ep.flags(), msg.integers(), inFlight.integers(), inFlight.flags(),
	} {
		variables := reflect.ValueOf(list)
		for i := range variables.Len() {
			name, ok := names[variables.Index(i).UnsafePointer()]
			if !ok {
				t.Fatalf("stored variable %d of %T is in no struct", i, list)
			}
			stored[name] = true
		}
	}
	return stored
}

// Each stored variable is known to belong to the service or to the process. The failure: the time at which a process
// had to end passed to its successor, which then made no call.
func TestStoredVariablesHaveOwners(t *testing.T) {
	stored := storedNames(t)
	for name := range stored {
		if storedVariables[name] == 0 {
			t.Errorf("%s is stored, and it is not known whether it belongs to the service or to the process", name)
		}
	}
	for name := range storedVariables {
		if !stored[name] {
			t.Errorf("%s is not stored", name)
		}
	}
}

// A scheduler that continues from the state of one that is shutting down is not shutting down.
func TestShutdownIsNotInherited(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	rig.step(Event{Kind: ShutdownStarted, Deadline: rig.now + 500*ms})
	state := rig.sched.State()
	successor, err := New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := successor.RestoreState(state, rig.now); err != nil {
		t.Fatal(err)
	}
	actions := successor.Step(rig.now+1000*ms, []Event{rig.request("safe", 1)})
	if countActions(actions, StartAttempt) != 1 {
		t.Errorf("no call after the end of the process before: %+v", actions)
	}
}
