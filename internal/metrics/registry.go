// Package metrics has the sender's metrics: counters and gauges that the core writes and any goroutine may read.
package metrics

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Result is the result of a message: its final answer, or that it was rejected.
type Result int

// The results.
const (
	ResultDelivered Result = iota
	ResultRejected         // rejected, or returned to its client
	ResultFailed
	resultCount
)

// resultLabels are the values of the label "outcome".
var resultLabels = [resultCount]string{
	ResultDelivered: "passed",
	ResultRejected:  "dropped",
	ResultFailed:    "bad_gateway",
}

// Registry holds the metrics, which count from the start of the process. A nil Registry counts nothing. It is safe for
// concurrent use.
type Registry struct {
	classes    []string
	classIndex map[string]int
	finals     []atomic.Int64 // by class, then by result
	attempts   atomic.Int64

	inProgress     atomic.Int64
	knownEndpoints atomic.Int64
	skipped        atomic.Int64 // endpoints that are excluded, draining or unavailable

	registry *prometheus.Registry
}

// New returns a registry with a counter for each class and result, all 0.
func New(classes []string) *Registry {
	r := &Registry{
		classes:    classes,
		classIndex: map[string]int{},
		finals:     make([]atomic.Int64, len(classes)*int(resultCount)),
		registry:   prometheus.NewRegistry(),
	}
	for i, class := range classes {
		r.classIndex[class] = i
	}
	r.registry.MustRegister(r)
	return r
}

// CountFinal counts the final answer of a message. A class that the settings do not name is not counted.
func (r *Registry) CountFinal(class string, result Result) {
	if r == nil {
		return
	}
	if i, ok := r.classIndex[class]; ok {
		r.finals[finalIndex(i, result)].Add(1)
	}
}

func finalIndex(class int, result Result) int { return class*int(resultCount) + int(result) }

// CountAttempts counts n messages that were written completely to an endpoint.
func (r *Registry) CountAttempts(n int) {
	if r != nil {
		r.attempts.Add(int64(n))
	}
}

// SetGauges sets the gauges: accepted messages without a final answer, endpoints in the list, and endpoints that are
// excluded, draining or unavailable.
func (r *Registry) SetGauges(inProgress, known, skipped int) {
	if r != nil {
		r.inProgress.Store(int64(inProgress))
		r.knownEndpoints.Store(int64(known))
		r.skipped.Store(int64(skipped))
	}
}

// AddMetrics adds the metrics of a component that not every sender has. metrics is called at each Write, on any
// goroutine.
func (r *Registry) AddMetrics(metrics func() []Metric) {
	if r != nil {
		r.registry.MustRegister(metricsCollector(metrics))
	}
}

// Format is the media type of what Write writes.
var Format = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Write writes all metrics in the Prometheus text format.
func (r *Registry) Write(writer io.Writer) error {
	families, err := r.registry.Gather()
	if err != nil {
		return fmt.Errorf("gathering the metrics: %w", err)
	}
	for _, family := range families {
		if _, err := expfmt.MetricFamilyToText(writer, family); err != nil {
			return fmt.Errorf("writing the metrics: %w", err)
		}
	}
	return nil
}
