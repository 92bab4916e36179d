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

// DrawGroup draws a time line as PNG: a row for each duty with its acts in the colour of whoever
// carried them out, over the faults while they lasted.
func DrawGroup(file string, list []fleet.Event) error {
	p := plot.New()
	p.Title.Text = "acts of duties by member, over the faults"
	p.X.Label.Text = "s"
	duties, rows := dutyRows(list)
	acts, err := drawFaults(p, list, rows)
	if err != nil {
		return err
	}
	for i, member := range slices.Sorted(maps.Keys(acts)) {
		scatter, err := plotter.NewScatter(acts[member])
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

// dutyRows are the duties that were acted for, sorted, and the row of each.
func dutyRows(list []fleet.Event) ([]string, map[string]int) {
	var duties []string
	for _, e := range list {
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

// drawFaults draws every fault from its start to its end, and returns the acts by member.
func drawFaults(chart *plot.Plot, list []fleet.Event, rows map[string]int) (map[string]plotter.XYs, error) {
	acts := map[string]plotter.XYs{}
	open := map[string]fleet.Event{}
	for _, e := range list {
		x := e.At.Seconds()
		if _, ok := fleet.FaultTargets[e.Kind]; ok {
			open[e.Member+e.Kind] = e
		}
		switch e.Kind {
		case fleet.EventExecution:
			acts[e.Member] = append(acts[e.Member], plotter.XY{X: x, Y: float64(rows[e.Duty])})
		case fleet.EventFaultEnded:
			if f, ok := open[e.Member+e.Text]; ok {
				if err := drawFault(chart, f, x, float64(len(rows))); err != nil {
					return nil, err
				}
			}
		}
	}
	return acts, nil
}

// drawFault draws a fault as a grey field with its name on top.
func drawFault(chart *plot.Plot, fault fleet.Event, until, top float64) error {
	from := fault.At.Seconds()
	field, err := plotter.NewPolygon(plotter.XYs{
		{X: from, Y: -0.5},
		{X: until, Y: -0.5},
		{X: until, Y: top - 0.3},
		{X: from, Y: top - 0.3},
	})
	if err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	field.Color, field.Width = color.Gray{Y: 225}, 0
	text, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: from, Y: top - 0.2}},
		Labels: []string{fault.Kind + " " + fault.Member},
	})
	if err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	for i := range text.TextStyle {
		text.TextStyle[i].Rotation, text.TextStyle[i].Font.Size = 0.7, vg.Points(7)
	}
	chart.Add(field, text)
	return nil
}
