package correlation

import "testing"

// A connection carries one request, and only what comes between its last byte and the end of the answer is an answer.
func TestConnectionCarriesASecondRequest(t *testing.T) {
	var s Single
	if got := s.Classify(false); got != Unrequested {
		t.Errorf("before the request: %v", got)
	}
	if !s.Begin() {
		t.Fatal("the first request was refused")
	}
	if got := s.Classify(false); got != Early {
		t.Errorf("before the request was sent: %v", got)
	}
	if got := s.Classify(true); got != Answer {
		t.Errorf("after the request was sent: %v", got)
	}
	if s.Begin() {
		t.Error("a second request was allowed beside the first")
	}
	if s.End(); s.Classify(true) != Surplus {
		t.Errorf("behind the answer: %v", s.Classify(true))
	}
	if s.Begin() {
		t.Error("a second request was allowed behind the first")
	}
}

// No number is used twice on a connection.
func TestNumberUsedTwice(t *testing.T) {
	numbers := NewNumbers(3)
	for want := uint64(1); want <= 3; want++ {
		if numbers.Used(want) {
			t.Errorf("%d counts as used before", want)
		}
		if got, ok := numbers.Next(); !ok || got != want || !numbers.Used(got) {
			t.Errorf("%d, %v, want %d", got, ok, want)
		}
	}
	if got, ok := numbers.Next(); ok {
		t.Errorf("%d was handed out beyond the limit", got)
	}
	if numbers.Used(0) || numbers.Used(4) {
		t.Error("a number that was never handed out counts as used")
	}
}
