package journal

import "testing"

// The space of a message that was removed with its body is free again after a restart, as it was before.
func TestRemovedBodyTakesNoSpace(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	before := j.liveBytes
	j.Accept(&Entry{ID: "a", Body: make([]byte, 1000)})
	flush(t, j)
	j.Remove("a")
	flush(t, j)
	_ = j.Close()
	if reopened := openTest(t, dir, budget); j.liveBytes != before || reopened.liveBytes != before {
		t.Fatal(before, j.liveBytes, reopened.liveBytes)
	}
}
