package logic

import "testing"

// A partner ends a share of its calls as an error, whatever comes. What it serves is a share and not a state: a pace as for a
// cold return, which went on for as long as calls failed, refused most of what it could have done.
func TestAHalfHealthyPartnerIsUsed(t *testing.T) {
	for bad, least := range map[float64]int{0.2: 9500, 0.4: 8000, 0.6: 6000} { // of 12,000 that come
		good, back := 0, 0
		for seed := range int64(5) {
			f := newFleet(t, 1, seed)
			f.bad = bad
			f.traffic(f.now, f.now+60_000*ms, 40, seed)
			f.run(70_000 * ms)
			good, back = good+f.sum(0, 70).good, back+f.nodes[0].back
		}
		if good < least {
			t.Errorf("a share of %v: %d were delivered, %d came back", bad, good, back)
		}
	}
}
