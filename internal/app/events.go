package app

import (
	"context"
	"slices"

	"brackendale/internal/clock"
	"brackendale/internal/config"
	"brackendale/internal/eventlog"
	"brackendale/internal/metrics"
	"brackendale/internal/net/amqpfront"
	"brackendale/internal/net/platform"

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

// eventMetrics returns the metrics of the record of events: each place and each reason, also those that have not
// occurred.
func eventMetrics(events *eventlog.Recorder) (all []metrics.Metric) {
	unexpected, closed := events.Counts()
	for _, place := range slices.Concat(platform.Places(), []string{amqpfront.BrokerPlace}) {
		all = append(all, metrics.Metric{
			Name: "lb_unexpected_answers_total", Counter: true, Label: []string{"place", place},
			Help:  "Answers that belong to no request, by the place at which they came.",
			Value: float64(unexpected[place]),
		})
	}
	for _, reason := range platform.CloseReasons() {
		all = append(all, metrics.Metric{
			Name: "lb_connections_closed_total", Counter: true, Label: []string{"reason", reason},
			Help:  "Connections to endpoints and to the agent that ended, by side and reason.",
			Value: float64(closed[reason]),
		})
	}
	return all
}
