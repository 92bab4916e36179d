package metrics

import "github.com/prometheus/client_golang/prometheus"

// The descriptions of the metrics.
var (
	finalsDesc = prometheus.NewDesc("lb_handled_total", "Messages ended since the process began: passed (delivered), "+
		"dropped (refused or handed back), bad_gateway (failed).", []string{"category", "outcome"}, nil)
	attemptsDesc = prometheus.NewDesc("lb_upstream_tries_total",
		"Messages written whole to endpoints since the process began, each attempt of each message.", nil, nil)
	inProgressDesc     = prometheus.NewDesc("lb_in_progress", "Messages taken on and not ended.", nil, nil)
	knownEndpointsDesc = prometheus.NewDesc("lb_known_endpoints", "Endpoints in the list.", nil, nil)
	skippedDesc        = prometheus.NewDesc("lb_skipped_endpoints",
		"Endpoints in the list that get no ordinary traffic now: taken out "+
			"by hand, leaving, or held to be out.", nil, nil)
)

// Describe implements prometheus.Collector.
func (r *Registry) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{finalsDesc, attemptsDesc, inProgressDesc, knownEndpointsDesc, skippedDesc} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector. It reads the current value of each metric.
func (r *Registry) Collect(ch chan<- prometheus.Metric) {
	counter, gauge := prometheus.CounterValue, prometheus.GaugeValue
	for i, class := range r.classes {
		for result, label := range resultLabels {
			count := r.finals[finalIndex(i, Result(result))].Load()
			ch <- prometheus.MustNewConstMetric(finalsDesc, counter, float64(count), class, label)
		}
	}
	ch <- prometheus.MustNewConstMetric(attemptsDesc, counter, float64(r.attempts.Load()))
	ch <- prometheus.MustNewConstMetric(inProgressDesc, gauge, float64(r.inProgress.Load()))
	ch <- prometheus.MustNewConstMetric(knownEndpointsDesc, gauge, float64(r.knownEndpoints.Load()))
	ch <- prometheus.MustNewConstMetric(skippedDesc, gauge, float64(r.skipped.Load()))
}

// Metric is one metric of a component that not every sender has, such as the group.
type Metric struct {
	Name    string
	Help    string
	Counter bool     // a counter, otherwise a gauge
	Label   []string // the name and value of its label; nil: none
	Value   float64
}

// metricsCollector collects the metrics of a component. It describes none in advance, since they may change.
type metricsCollector func() []Metric

// Describe implements prometheus.Collector.
func (metricsCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. A metric with an invalid name or label is omitted.
func (c metricsCollector) Collect(ch chan<- prometheus.Metric) {
	for _, m := range c() {
		kind := prometheus.GaugeValue
		if m.Counter {
			kind = prometheus.CounterValue
		}
		var names, values []string
		if len(m.Label) == 2 {
			names, values = m.Label[:1], m.Label[1:]
		}
		desc := prometheus.NewDesc(m.Name, m.Help, names, nil)
		if metric, err := prometheus.NewConstMetric(desc, kind, m.Value, values...); err == nil {
			ch <- metric
		}
	}
}
