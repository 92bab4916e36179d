package sender

import (
	"cmp"
	"errors"
	"io"
	"slices"
	"time"

	"brackendale/scheduler"
)

// maxRecentAnswers is the number of final answers in State.RecentAnswers.
const maxRecentAnswers = 10

// State is the state of a running sender as the operator's console shows it.
type State struct {
	Name           string        `json:"Name"`
	Now            time.Time     `json:"Now"`
	Paused         bool          `json:"Paused"` // by the operator: all new messages are rejected
	Pending        int           `json:"Open"`   // messages without a final answer
	Unacknowledged int           `json:"Owed"`   // final answers that are not acknowledged yet
	Accepted       uint64        `json:"Taken"`
	Rejected       uint64        `json:"Refused"`
	Sent           uint64        `json:"Sent"` // attempts
	Delivered      uint64        `json:"Delivered"`
	Returned       uint64        `json:"Back"`
	Failed         uint64        `json:"Failed"`
	Routes         []RouteState  `json:"Routes"`
	RecentAnswers  []FinalAnswer `json:"Ends"` // the latest ones, oldest first
	// WithoutFront counts the final answers that wait for a front that the settings lack, by its name.
	WithoutFront map[string]int `json:"OwedTo,omitempty"`
}

// RouteState is a row of the route table as the operator's console shows it.
type RouteState struct {
	Name        string            `json:"Name"`
	Dial        string            `json:"Dial"`
	Protocol    string            `json:"Proto"`
	Health      string            `json:"Health"`
	Destination int64             `json:"Dest"`
	Excluded    bool              `json:"Held"` // by the operator
	InFlight    int               `json:"Out"`  // attempts
	Succeeded   uint64            `json:"Good"` // attempts
	Failed      uint64            `json:"Lost"` // attempts
	LastOutcome scheduler.Outcome `json:"LastReason"`
}

// FinalAnswer is a final answer as the operator's console shows it.
type FinalAnswer struct {
	ID           string    `json:"ID"`
	Class        string    `json:"Class"`
	Answer       string    `json:"End"` // Delivered, Returned or DeliveryFailed
	RetryAfterMs int64     `json:"WaitMs"`
	At           time.Time `json:"At"`
}

// State returns the current state for the operator's console. It is called on Run's goroutine.
func (s *Sender) State() State {
	state := s.stats
	state.Name = s.options.Name
	state.Now = time.Now()
	state.Pending = s.pending
	state.RecentAnswers = slices.Clone(state.RecentAnswers)
	state.Unacknowledged = s.journal.Unacknowledged()
	if len(s.withoutFront) > 0 {
		state.WithoutFront = map[string]int{}
	}
	for name, entries := range s.withoutFront {
		state.WithoutFront[name] = len(entries)
	}
	for name, route := range s.routes {
		row := *s.routeStats[name]
		row.Name = name
		row.Dial = route.Dial
		row.Protocol = route.Protocol
		row.Health = string(route.State)
		row.Destination = route.Destination
		row.Excluded = s.journal.Excluded(name)
		state.Routes = append(state.Routes, row)
	}
	slices.SortFunc(state.Routes, func(a, b RouteState) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Name, b.Name))
	})
	return state
}

// addRecentAnswer adds a final answer to State.RecentAnswers.
func (s *Sender) addRecentAnswer(answer FinalAnswer) {
	if len(s.stats.RecentAnswers) == maxRecentAnswers {
		s.stats.RecentAnswers = slices.Delete(s.stats.RecentAnswers, 0, 1)
	}
	s.stats.RecentAnswers = append(s.stats.RecentAnswers, answer)
}

// Pause turns the rejection of all new messages on or off. It is called on Run's goroutine.
func (s *Sender) Pause(on bool) { s.stats.Paused = on }

// ErrNoMetrics reports that the sender was created without metrics.
var ErrNoMetrics = errors.New("no figures are kept")

// WriteMetrics writes the metrics in their text format. The error is ErrNoMetrics if none are kept.
// Any goroutine may call it.
func (s *Sender) WriteMetrics(w io.Writer) error {
	if s.metrics == nil {
		return ErrNoMetrics
	}
	return s.metrics.Write(w)
}

// CountAttempts counts n attempts that were completely written to an endpoint. Any goroutine may call
// it.
func (s *Sender) CountAttempts(n int) { s.metrics.CountAttempts(n) }

// avoidedRoutesGauge is the number of routes that get no new attempts. Counting them iterates over
// all routes, so the number is cached.
type avoidedRoutesGauge struct {
	count     int
	countedAt time.Time // zero: count again after the next step
}

// maxAvoidedCountAge is the age at which a step counts the avoided routes again.
const maxAvoidedCountAge = 100 * time.Millisecond

// updateMetrics sets the gauges. It is called after each step.
func (s *Sender) updateMetrics() {
	if s.metrics == nil {
		return
	}
	gauge := &s.avoidedRoutes
	if time.Since(gauge.countedAt) > maxAvoidedCountAge {
		gauge.countedAt, gauge.count = time.Now(), 0
		for name, route := range s.routes {
			if route.State != scheduler.StatusLive || s.journal.Excluded(name) || s.scheduler.IsUnavailable(name) {
				gauge.count++
			}
		}
	}
	s.metrics.SetGauges(s.pending, len(s.routes), gauge.count)
}
