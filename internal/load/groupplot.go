package load

import (
	"fmt"
	"image/color"
	"maps"
	"slices"

	"brackendale/internal/testing/fleet"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// DrawGroup draws a timeline as PNG: one row for each duty with its executions in the colour of the member that
// ran them, over grey areas that show when faults were active.
func DrawGroup(file string, events []fleet.Event) error {
	p := plot.New()
	p.Title.Text = "acts of duties by member, over the faults"
	p.X.Label.Text = "s"
	duties, rows := dutyRows(events)
	executions, err := drawFaults(p, events, rows)
	if err != nil {
		return err
	}
	for i, member := range slices.Sorted(maps.Keys(executions)) {
		scatter, err := plotter.NewScatter(executions[member])
		if err != nil {
			return fmt.Errorf("drawing: %w", err)
		}
		scatter.Color, scatter.Shape, scatter.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(2)
		p.Add(scatter)
		p.Legend.Add(member, scatter)
	}
	p.Legend.Top = true
	p.Y.Min, p.Y.Max = -0.5, float64(len(duties))+0.9
	p.Y.Tick.Marker = plot.TickerFunc(func(float64, float64) (ticks []plot.Tick) {
		for name, row := range rows {
			ticks = append(ticks, plot.Tick{Value: float64(row), Label: name})
		}
		return ticks
	})
	if err := p.Save(28*vg.Centimeter, vg.Length(5+2*len(duties))*vg.Centimeter, file); err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	return nil
}

// dutyRows returns the duties that were executed, sorted, and the row of each.
func dutyRows(events []fleet.Event) ([]string, map[string]int) {
	var duties []string
	for _, e := range events {
		if e.Kind == fleet.EventExecution && !slices.Contains(duties, e.Duty) {
			duties = append(duties, e.Duty)
		}
	}
	slices.Sort(duties)
	rows := map[string]int{}
	for row, name := range duties {
		rows[name] = row
	}
	return duties, rows
}

// drawFaults draws every fault from its start to its end, and returns the executions by member.
func drawFaults(chart *plot.Plot, events []fleet.Event, rows map[string]int) (map[string]plotter.XYs, error) {
	executions := map[string]plotter.XYs{}
	activeFaults := map[string]fleet.Event{}
	for _, e := range events {
		x := e.At.Seconds()
		if _, ok := fleet.FaultTargets[e.Kind]; ok {
			activeFaults[e.Member+e.Kind] = e
		}
		switch e.Kind {
		case fleet.EventExecution:
			executions[e.Member] = append(executions[e.Member], plotter.XY{X: x, Y: float64(rows[e.Duty])})
		case fleet.EventFaultEnded:
			if f, ok := activeFaults[e.Member+e.Text]; ok {
				if err := drawFault(chart, f, x, float64(len(rows))); err != nil {
					return nil, err
				}
			}
		}
	}
	return executions, nil
}

// drawFault draws a fault as a grey area with its name on top.
func drawFault(chart *plot.Plot, fault fleet.Event, end, top float64) error {
	start := fault.At.Seconds()
	area, err := plotter.NewPolygon(plotter.XYs{
		{X: start, Y: -0.5},
		{X: end, Y: -0.5},
		{X: end, Y: top - 0.3},
		{X: start, Y: top - 0.3},
	})
	if err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	area.Color, area.Width = color.Gray{Y: 225}, 0
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: start, Y: top - 0.2}},
		Labels: []string{fault.Kind + " " + fault.Member},
	})
	if err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	for i := range label.TextStyle {
		label.TextStyle[i].Rotation, label.TextStyle[i].Font.Size = 0.7, vg.Points(7)
	}
	chart.Add(area, label)
	return nil
}
