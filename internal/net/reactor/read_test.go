package reactor

import "testing"

// The engine reads a bounded number of bytes for one event, and drops what follows if the event reports the end of the
// stream too.
func TestInputDroppedAtTheEndOfTheStream(t *testing.T) {
	const size = 400 << 10
	r, onLoop := start(t)
	for range 20 {
		peer, _, h := accepted(t, r)
		onLoop(func() { // the loop does not take input meanwhile
			_, _ = peer.Write(make([]byte, size))
			peer.Close()
		})
		<-h.down
		received := 0
		for len(h.data) > 0 {
			received += len(<-h.data)
		}
		if received != size {
			t.Fatalf("%d of %d bytes were received", received, size)
		}
	}
}
