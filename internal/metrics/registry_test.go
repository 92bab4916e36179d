package metrics

import (
	"strings"
	"testing"
)

// Every class and outcome has a line from the start, under the names that operators use.
func TestWrite(t *testing.T) {
	registry := New([]string{"notice", "charge"})
	registry.CountFinal("notice", ResultDelivered)
	registry.CountFinal("notice", ResultDelivered)
	registry.CountFinal("charge", ResultRejected)
	registry.CountFinal("nobody's", ResultRejected)
	registry.CountAttempts(3)
	registry.SetGauges(14, 9, 2)
	var out strings.Builder
	if err := registry.Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`lb_handled_total{category="notice",outcome="passed"} 2`,
		`lb_handled_total{category="notice",outcome="bad_gateway"} 0`,
		`lb_handled_total{category="charge",outcome="dropped"} 1`,
		`lb_handled_total{category="charge",outcome="passed"} 0`,
		"lb_upstream_tries_total 3", "lb_in_progress 14", "lb_known_endpoints 9", "lb_skipped_endpoints 2",
		"# TYPE lb_handled_total counter", "# TYPE lb_in_progress gauge", "# HELP lb_skipped_endpoints ",
	} {
		if !strings.Contains(out.String(), line+"\n") && !strings.HasPrefix(line, "# HELP") ||
			!strings.Contains(out.String(), line) {
			t.Errorf("no line %q in\n%s", line, out.String())
		}
	}
	var nilRegistry *Registry // must not panic
	nilRegistry.CountFinal("notice", ResultDelivered)
	nilRegistry.CountAttempts(1)
	nilRegistry.SetGauges(1, 1, 1)
}

// The metrics of a component are written with the others, with and without a label. A nil registry ignores them.
func TestAddMetrics(t *testing.T) {
	(*Registry)(nil).AddMetrics(nil)
	registry := New([]string{"a"})
	registry.AddMetrics(func() []Metric {
		return []Metric{
			{Name: "x_total", Help: "X.", Counter: true, Value: 3},
			{Name: "y", Help: "Y.", Label: []string{"duty", "n"}, Value: 1},
		}
	})
	var text strings.Builder
	if err := registry.Write(&text); err != nil || !strings.Contains(text.String(), "\nx_total 3\n") ||
		!strings.Contains(text.String(), "\ny{duty=\"n\"} 1\n") {
		t.Errorf("%v\n%s", err, &text)
	}
}
