package simulator

import (
	"strings"
	"testing"

	"brackendale/scheduler"
)

func TestParseReportsMalformedFields(t *testing.T) {
	for line, want := range map[string]string{
		`nonsense`:                    "not a JSON object",
		`{}`:                          "want one message name",
		`{"Eob":{},"Batch":{}}`:       "want one message name",
		`{"Batch":3}`:                 "not an object",
		`{"Batch":{}}`:                `"timeUs" is missing`,
		`{"Batch":{"timeUs":"soon"}}`: "Batch",
		`{"Wake":{"mark":1}}`:         `"who" is missing`,
		`{"Up":{"who":1}}`:            `"setup" or "initSeed" is missing`,
		`{"Incoming":{"who":1,"opId":"x","class":"a","terminatesAt":1}}`: `"dropDeadUs" is missing`,
		`{"ReportBack":{"who":1,"opId":"x","n":0,"endpoint":"e"}}`:       `"reason" is missing`,
		`{"DirectoryUpdate":{"who":1,"how":"patch"}}`:                    `"sheet" is missing`,
		`{"Catalog":{"sheet":0,"elements":[{"endpoint":"e"}]}}`:          `"belongsTo" is missing`,
		`{"Teapot":{"who":1}}`: `unknown message "Teapot"`,
		`{"Incoming":{"who":1,"opId":7,"class":"a","terminatesAt":1}}`:     "Incoming",
		`{"CheckResult":{"who":1,"endpoint":"e","rttUs":1,"report":null}}`: `"reason" is missing`,
	} {
		if _, err := Parse([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one that contains %q", line, err, want)
		}
	}
}

func TestParseReadsEvents(t *testing.T) {
	parsed, err := Parse([]byte(`{"ReportBack":{"who":3,"opId":"x","n":2,"endpoint":"e:1","reason":"FULL","rttUs":18,` +
		`"finished":false,"holdMs":40,"report":null,"new":1}}`))
	want := scheduler.Event{
		Kind: scheduler.AttemptFinished, ID: "x", Attempt: 2, Endpoint: "e:1", Outcome: "FULL",
		RttUs: 18, RetryAfterMs: 40,
	}
	if err != nil || parsed.Instance != 3 || parsed.Event.ID != want.ID || parsed.Event.Attempt != want.Attempt ||
		parsed.Event.Endpoint != want.Endpoint || parsed.Event.Outcome != want.Outcome ||
		parsed.Event.RetryAfterMs != want.RetryAfterMs || parsed.Event.Kind != want.Kind {
		t.Errorf("got %+v, %v; want %+v", parsed.Event, err, want)
	}
	parsed, err = Parse([]byte(`{"Incoming":{"who":1,"opId":"y","class":"a","terminatesAt":5,"dropDeadUs":9,"team":0}}`))
	if err != nil || parsed.Event.Tenant != "" || parsed.Event.Destination != 5 || parsed.Event.HasKey {
		t.Errorf("a request without tenant and key: got %+v, %v", parsed.Event, err)
	}
}

func TestParseReadsLoadReports(t *testing.T) {
	const line = `{"ReportBack":{"who":3,"opId":"x","n":2,"endpoint":"e:1","reason":"GOOD","finished":true,"report":%}}`
	for text, want := range map[string]int{"null": 0, "[]": 0, "[0.5,null]": 2, "[1,2,3]": 3} {
		parsed, err := Parse([]byte(strings.Replace(line, "%", text, 1)))
		if err != nil || len(parsed.Event.LoadReport) != want ||
			want > 1 && text[1] == '0' && parsed.Event.LoadReport[0] != 0.5 {
			t.Errorf("load report %s: got %v, %v", text, parsed.Event.LoadReport, err)
		}
	}
	if _, err := Parse([]byte(strings.Replace(line, "%", `"much"`, 1))); err == nil ||
		!strings.Contains(err.Error(), "report") {
		t.Errorf("a load report that is not a list: %v", err)
	}
}

func TestAppendWritesEveryAction(t *testing.T) {
	for want, a := range map[string]scheduler.Action{
		`{"Issue":{"who":3,"opId":"x","endpoint":"e","limitUs":5}}`: {
			Kind: scheduler.StartAttempt, ID: "x",
			Endpoint: "e", TimeoutUs: 5,
		},
		`{"PushBack":{"who":3,"opId":"x","waitUs":7}}`:           {Kind: scheduler.Reject, ID: "x", RetryAfterUs: 7},
		`{"Abort":{"who":3,"opId":"x"}}`:                         {Kind: scheduler.Fail, ID: "x"},
		`{"Sleep":{"who":3,"delayUs":0,"mark":0}}`:               {Kind: scheduler.SetTimer},
		`{"Recall":{"who":3,"opId":"x","n":0}}`:                  {Kind: scheduler.CancelAttempt, ID: "x"},
		`{"FreeLinks":{"who":3,"endpoint":"e"}}`:                 {Kind: scheduler.CloseIdleConnections, Endpoint: "e"},
		`{"Tail":{"who":3,"on":false}}`:                          {Kind: scheduler.WatchEndpoints},
		`{"WriteLog":{"who":3,"reasonText":"he said \"full\""}}`: {Kind: scheduler.WriteLog, Text: `he said "full"`},
	} {
		if got := string(Append(nil, 3, a)); got != want+"\n" {
			t.Errorf("got %s want %s", got, want)
		}
	}
}
