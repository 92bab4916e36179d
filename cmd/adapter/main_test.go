package main

import (
	"bytes"
	"strings"
	"testing"

	"brackendale/scheduler"
)

// Messages from the simulator; % stands for the number of the instance.
const instanceStarted = `{"Up":{"who":%,"initSeed":9,"setup":{"unknownKey":[1],"tickUs":5000,"replicasOfMe":2,` +
	`"machineTypes":["k"],` +
	`"familyInfo":{"workers":4,"ownLimits":[false],"perCall":[1],"decay":"line"},"caps":{"maxAttempts":4,"openCap":9},` +
	`"rules":{"coldFrom":0.2,"fallMultiple":2,"fallUs":2000000,"warmAfterUs":9000000},"zones":["z"],"customers":null,` +
	`"lanes":[{"name":"c","effect":"repeatable","aimUs":1000000,"hardLimitUs":5000000,"worth":1,"lateValue":0.5}]}}}`

const (
	endpointList = `{"Catalog":{"sheet":0,"elements":[{"endpoint":"a:1","site":"z","shape":"k","belongsTo":7,` +
		`"stageState":"live","powerHint":1,"readyAtUs":null}]}}`
	endpointUpdate = `{"DirectoryUpdate":{"who":%,"sheet":0,"how":"stale_copy","revision":1}}`
	request        = `{"Incoming":{"who":%,"opId":"x","partitionKey":null,"class":"c","workHintUs":null,"retry":null,` +
		`"terminatesAt":7,"dropDeadUs":6000000,"team":0,"news":1}}`
	outcome = `{"ReportBack":{"who":%,"opId":"x","n":0,"endpoint":"a:1","reason":"GOOD","rttUs":9,"finished":true,` +
		`"holdMs":null,"report":null}}`
)

// batchLines returns the lines of one batch, with the instance's number put in for %.
func batchLines(timeUs, instance string, lines ...string) string {
	text := strings.Join(lines, "\n") + "\n"
	return `{"Batch":{"timeUs":` + timeUs + "}}\n" + strings.ReplaceAll(text, "%", instance) + `{"Eob":{}}` + "\n"
}

// runSession returns what the adapter writes for a whole input, and the error that ended the session.
func runSession(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatchesAreAnsweredDeterministically(t *testing.T) {
	in := "\n" + batchLines("1", "3", instanceStarted, endpointList, endpointUpdate) +
		batchLines("1000000", "3", request) + batchLines("1200000", "3", outcome)
	out, err := runSession(t, in)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, `{"Ok":{}}`+"\n"); n != 3 {
		t.Fatalf("%d replies, want 3:\n%s", n, out)
	}
	if !strings.Contains(out, `{"Issue":{"who":3,"opId":"x","endpoint":"a:1","limitUs":`) {
		t.Fatalf("no attempt was started:\n%s", out)
	}
	if secondOut, _ := runSession(t, in); secondOut != out {
		t.Fatal("the same input produced different output")
	}
}

func TestPowerOffRemovesInstance(t *testing.T) {
	in := batchLines("1", "3", instanceStarted, endpointList, endpointUpdate) +
		batchLines("5", "3", `{"PowerOff":{"who":%}}`) + batchLines("9", "3", request)
	if _, err := runSession(t, in); err == nil || !strings.Contains(err.Error(), "instance 3 is unknown") {
		t.Fatalf("want an error about an unknown instance, got %v", err)
	}
	in = batchLines("1", "3", instanceStarted, endpointList, endpointUpdate) +
		batchLines("5", "3", `{"PowerOff":{"who":%}}`, instanceStarted, endpointList, endpointUpdate, request)
	if out, err := runSession(t, in); err != nil || !strings.Contains(out, "Issue") {
		t.Fatalf("an instance restarted within a batch: %v\n%s", err, out)
	}
}

func TestInvalidSettingsFailOnlyTheirInstance(t *testing.T) {
	invalid := strings.Replace(instanceStarted, `"workers":4`, `"workers":0`, 1)
	out, err := runSession(t, batchLines("1", "3", invalid, endpointList, endpointUpdate)+
		batchLines("2", "4", instanceStarted, endpointUpdate))
	if err != nil || strings.Count(out, `{"GiveIn":{"who":3,`) != 1 || strings.Contains(out, `"who":4,"reason`) {
		t.Fatalf("want a failure of instance 3 only, got %v\n%s", err, out)
	}
}

func TestMalformedInputEndsSession(t *testing.T) {
	valid := batchLines("1", "3", instanceStarted, endpointList, endpointUpdate)
	for name, c := range map[string]struct{ in, want string }{
		"not json":     {"{]\n", "line 1"},
		"two names":    {`{"Eob":{},"Batch":{}}` + "\n", "line 1"},
		"no clock":     {`{"Batch":{}}` + "\n", "timeUs"},
		"unknown name": {valid + batchLines("2", "3", `{"Surprise":{"who":3}}`), "Surprise"},
		"unknown who":  {valid + batchLines("2", "8", request), "instance 8"},
		"missing field": {
			valid + batchLines("2", "3", `{"Incoming":{"who":3,"class":"c","terminatesAt":7,"dropDeadUs":5}}`), "opId",
		},
		"null field": {valid + batchLines("2", "3", strings.Replace(outcome, `"GOOD"`, "null", 1)), "reason"},
		"wrong type": {valid + batchLines("2", "3", strings.Replace(outcome, `"n":0`, `"n":"0"`, 1)), "line 7"},
		"no list":    {batchLines("1", "3", instanceStarted, endpointUpdate), "list 0"},
		"cut off":    {`{"Batch":{"timeUs":1}}` + "\n", "inside a batch"},
		"outside":    {`{"Wake":{"who":3}}` + "\n", "out of place"},
	} {
		if _, err := runSession(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", name, err, c.want)
		}
	}
}

func TestPanicFailsOnlyItsInstance(t *testing.T) {
	broken := &scheduler.Scheduler{} // not made by New, so that its maps are nil
	events := []scheduler.Event{{
		Kind: scheduler.EndpointsUpdated, Update: "whole",
		Endpoints: []scheduler.Endpoint{{Addr: "a", Destination: 1, State: "live"}},
	}}
	out := string(stepInstance([]byte("kept\n"), 3, broken, 1, events))
	if !strings.HasPrefix(out, "kept\n{\"GiveIn\":{\"who\":3,\"reasonText\":") {
		t.Fatalf("want the earlier lines followed by the instance's failure, got %q", out)
	}
}
