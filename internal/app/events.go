package app

import (
	"context"
	"slices"

	"brackendale/internal/clock"
	"brackendale/internal/config"
	"brackendale/internal/eventlog"
	"brackendale/internal/lifecycle"
	"brackendale/internal/metrics"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/platform"
	"brackendale/internal/slowstart"

	"github.com/rs/zerolog"
)

// newEvents returns the recorder of events at the configured level.
func newEvents(cfg config.Config, log zerolog.Logger) *eventlog.Recorder {
	events := eventlog.New(log, clock.Steady)
	events.SetLevel(cfg.Events)
	return events
}

// setEventLevel changes the level of the record of events in the running process.
func (inc *incarnation) setEventLevel(_ context.Context, name string) error {
	level, err := eventlog.ParseLevel(name)
	if err != nil {
		return err
	}
	inc.options.Events.SetLevel(level)
	inc.log.Info().Stringer("events", level).Msg("the level of the record of events is changed")
	return nil
}

// eventMetrics returns the metrics of the record of events and of the log: each place and each reason, also those that
// have not occurred.
func eventMetrics(events *eventlog.Recorder, droppedLines uint64) []metrics.Metric {
	places := slices.Concat(platform.Places(), []string{amqpfront.BrokerPlace})
	return slices.Concat(
		labeledCounters(events.Counts(eventlog.Unexpected), places, "lb_unexpected_answers_total", "place",
			"Answers that belong to no request, by the place at which they came."),
		labeledCounters(events.Counts(eventlog.Closed), platform.CloseReasons(), "lb_connections_closed_total", "reason",
			"Connections to endpoints and to the agent that ended, by side and reason."),
		labeledCounters(events.Counts(eventlog.ClientClosed), platform.ClientCloseReasons(), "lb_clients_closed_total",
			"reason", "Connections of clients that ended, by side and what was unanswered."),
		labeledCounters(events.Counts(eventlog.Abandoned), platform.AbandonReasons(), "lb_attempts_abandoned_total",
			"reason", "Attempts that were given up after their first byte, by whether bytes of them were unsent."),
		labeledCounters(events.Counts(eventlog.Violated), violationKinds(), "lb_violations_total", "kind",
			"What must not happen to a message and was refused or found, by kind: programming errors."),
		labeledCounters(events.Counts(eventlog.Unacknowledged), platform.UnacknowledgedReasons(),
			"lb_notices_unacknowledged_total", "reason", "Requests with notices that ended without an acknowledgement."),
		labeledCounters(events.Counts(eventlog.Recovery), phases(), "lb_recovery_phases_total", "phase",
			"Begins of the phases of destinations' recoveries, as this sender knows them."),
		labeledCounters(events.Counts(eventlog.Stalled), stallKinds(), "lb_stalls_total", "kind",
			"Delays of the event loop of 50 ms and more, by kind: a pause of the process, or one long task."),
		[]metrics.Metric{{
			Name: "lb_log_lines_dropped_total", Counter: true, Value: float64(droppedLines),
			Help: "Lines of the log that were dropped, since nobody read it in time.",
		}},
	)
}

// phases returns the names of the phases of a recovery.
func phases() (names []string) {
	for _, phase := range slowstart.Phases() {
		names = append(names, phase.String())
	}
	return names
}

// stallKinds returns the kinds of stalls of the event loop.
func stallKinds() (kinds []string) {
	for _, kind := range loop.Stalls() {
		kinds = append(kinds, string(kind))
	}
	return kinds
}

// violationKinds returns the kinds of violations of the guard.
func violationKinds() (kinds []string) {
	for _, kind := range lifecycle.Violations() {
		kinds = append(kinds, string(kind))
	}
	return kinds
}

// labeledCounters returns a counter for each value of its label.
func labeledCounters(counts map[string]int, values []string, name, label, help string) (all []metrics.Metric) {
	for _, value := range values {
		all = append(all, metrics.Metric{
			Name: name, Counter: true, Label: []string{label, value}, Help: help, Value: float64(counts[value]),
		})
	}
	return all
}
