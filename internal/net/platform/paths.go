package platform

// maxPathFailures is the number of consecutive connects without a network path from which on the
// endpoint counts as failed. A short failure is attributed to this machine; a lasting one has the same
// effect as an endpoint that is unavailable.
const maxPathFailures = 3

// pathFailures counts, by endpoint address, the consecutive connects that found no network path.
type pathFailures map[string]int

// record counts a failure and reports whether it is still attributed to this machine.
func (p pathFailures) record(addr string) bool {
	p[addr]++
	return p[addr] < maxPathFailures
}

// reset removes the count of an endpoint that was reached, or that accepts no new attempts.
func (p pathFailures) reset(addr string) { delete(p, addr) }
