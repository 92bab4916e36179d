package reactor

import (
	"syscall"
	"time"

	"brackendale/internal/timers"
)

// The bounds of turning newcomers away with a word: how many are told at once, and how long each has to hear it.
const (
	maxFarewells  = 256
	farewellLimit = 500 * time.Millisecond
)

// farewell says one word to a newcomer and closes once the peer has. A close with unread bytes would be a reset,
// which can overtake the word.
type farewell struct {
	r     *Reactor
	word  []byte
	timer timers.Timer
}

// Farewell returns a handler that turns a newcomer away with a word, or nil where too many are being told.
func (r *Reactor) Farewell(word []byte) Handler {
	if r.farewells >= maxFarewells {
		return nil
	}
	r.farewells++
	return &farewell{r: r, word: word}
}

// Up says it.
func (f *farewell) Up(c *Conn) {
	f.r.Arm(&f.timer, farewellLimit, timers.Coarse, timers.Func(c.Close))
	if c.Write(f.word) != nil {
		c.Close()
		return
	}
	if nc := c.nc.Load(); nc != nil && c.Sent(c.Mark()) {
		_ = syscall.Shutdown(nc.Hash(), syscall.SHUT_WR) // else the timer closes it
	}
}

// Data passes over what the newcomer says.
func (f *farewell) Data(*Conn, []byte) {}

// Down makes room for the next.
func (f *farewell) Down(*Conn, error) {
	f.r.Disarm(&f.timer)
	f.r.farewells--
}
