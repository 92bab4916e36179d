package sender

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is what the sender shows of itself just now.
func (s *Sender) State() State {
	st := s.stats
	st.Name, st.Now, st.Open, st.Ends = s.opt.Name, time.Now(), s.open, slices.Clone(st.Ends)
	st.Owed = s.spool.Owed()
	for name, r := range s.routes {
		v := *s.seen[name]
		v.Name, v.Dial, v.Proto, v.Health, v.Dest, v.Held = name, r.Dial, r.Proto, r.State, r.Dest, s.held[name]
		st.Routes = append(st.Routes, v)
	}
	slices.SortFunc(st.Routes, func(a, b RouteState) int {
		return cmp.Or(cmp.Compare(a.Dest, b.Dest), cmp.Compare(a.Name, b.Name))
	})
	return st
}

// Hold keeps new hops from a target, or lets them go there again.
func (s *Sender) Hold(target string, on bool) error {
	r, ok := s.routes[target]
	if !ok {
		return fmt.Errorf("no target %q in the route table", target)
	}
	s.held[target] = on
	s.list("patch", []Route{r})
	return nil
}

// Pause refuses whatever is handed in, or takes it on again.
func (s *Sender) Pause(on bool) { s.stats.Paused = on }
