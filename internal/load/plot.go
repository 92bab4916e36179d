package load

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot draws the active load's latencies against the number of idle connections, and the knee if there is one, as PNG.
func (rep *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %.0f messages/s over idle connections (core %s)", rep.Plan.Proto,
		rep.Plan.Active.Rate, rep.Cores)
	p.X.Label.Text = "idle connections"
	p.Y.Label.Text = "until taken on, ms"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TickerFunc(func(low, high float64) []plot.Tick {
		ticks := plot.DefaultTicks{}.Ticks(low, high)
		for i := range ticks {
			if ticks[i].Label != "" {
				ticks[i].Label = fmt.Sprintf("%.0f", ticks[i].Value)
			}
		}
		return ticks
	})
	var p50, p99, p999 plotter.XYs
	top := 0.0
	for _, s := range rep.Steps {
		if s.Name != "" { // all clients ping or reconnect: not a point of the curve
			continue
		}
		x := float64(s.Idle)
		p50 = append(p50, plotter.XY{X: x, Y: s.Accepted.P50})
		p99 = append(p99, plotter.XY{X: x, Y: s.Accepted.P99})
		p999 = append(p999, plotter.XY{X: x, Y: s.Accepted.P999})
		top = max(top, s.Accepted.P999)
	}
	if err := plotutil.AddLinePoints(p, "p50", p50, "p99", p99, "p99.9", p999); err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	if rep.Knee > 0 {
		x := float64(rep.Knee)
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return fmt.Errorf("drawing: %w", err)
		}
		line.Color, line.Dashes = color.Gray{Y: 110}, []vg.Length{vg.Points(4), vg.Points(4)}
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("knee: p99 over %.1f times", kneeRatio), line)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	if err := p.Save(18*vg.Centimeter, 11*vg.Centimeter, file); err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	return nil
}
