package settings

import (
	"reflect"
	"testing"

	"brackendale/internal/testing/golden"
)

// Every field of the wire form is converted to the scheduler's settings and back. A field that is missing in either
// conversion would be lost without an error.
func TestRoundTrip(t *testing.T) {
	var wire Settings
	golden.Fill(&wire)
	converted := wire.Scheduler()
	if back := Wire(&converted); !reflect.DeepEqual(back, wire) {
		t.Errorf("got  %+v\nwant %+v", back, wire)
	}
	for _, field := range reflect.VisibleFields(reflect.TypeOf(converted)) {
		if reflect.ValueOf(converted).FieldByIndex(field.Index).IsZero() {
			t.Errorf("%s is not set", field.Name)
		}
	}
}
