package sender

import "testing"

// The final answers of a front that the settings lack wait for it: a virtual host may be put back by a reload.
func TestFinalAnswerWaitsForItsFront(t *testing.T) {
	dir := t.TempDir()
	core, front := newTestSender(t, dir, 1<<20)
	front.step(t, request(core, "m", 9e6))
	_ = core.journal.Close()
	core, front = newTestSender(t, dir, 1<<20)
	delete(core.ingresses, "f")
	core.restoreJournal()
	front.step(t)
	front.expect(t)
	if waiting := core.State().WithoutFront; len(waiting) != 1 || waiting["f"] != 1 {
		t.Fatal(waiting)
	}
	core.Post(func() { core.AddIngress("f", front) })
	front.step(t)
	if front.expect(t, "m failed"); core.State().WithoutFront != nil {
		t.Fatal(core.State().WithoutFront)
	}
}
