package load

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"html/template"
	"image/color"
	"os"

	"brackendale/internal/testing/fleet"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// DrawMassRestart draws the calls that an endpoint received after a mass restart as PNG: calls and refusals for each
// tenth of a second against its capacity, with all programs in one chart.
func DrawMassRestart(file string, reports []fleet.MassRestartReport, capacityPerSecond float64) error {
	raw, err := drawMassRestart(reports, capacityPerSecond)
	if err == nil {
		err = os.WriteFile(file, raw, 0o644)
	}
	if err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	return nil
}

// MassRestartPage writes the runs of one or two programs as one self-contained HTML file: a description of the
// scenario, a line for each program, a plot of the first run, and the figures of each run.
func MassRestartPage(file, description string, lines []string, all [][]fleet.MassRestartReport,
	capacityPerSecond float64,
) error {
	var first []fleet.MassRestartReport
	for _, runs := range all {
		first = append(first, runs[0])
	}
	raw, err := drawMassRestart(first, capacityPerSecond)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := massRestartPage.Execute(&out, map[string]any{
		"Played": description, "Lines": lines, "All": all, "Names": programNames,
		"Picture": template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(raw)),
	}); err != nil {
		return fmt.Errorf("drawing: %w", err)
	}
	return os.WriteFile(file, out.Bytes(), 0o644)
}

// programNames are the shown names of the programs that are compared.
var programNames = []string{"this", "against"}

var massRestartPage = template.Must(template.New("").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>after a mass restart</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}` +
	`td,th{padding:.2em .8em;text-align:right}img{max-width:100%}</style></head>
<body><h1>Calls after a mass restart</h1><p>{{.Played}}</p>
{{range .Lines}}<p>{{.}}</p>
{{end}}<img alt="calls and refusals by tenths of a second" src="{{.Picture}}">
<table><tr><th>program</th><th>game</th>` +
	`<th>most in half a second</th><th>calls in 10 s</th>` +
	`<th>refused</th><th>a second's work behind after</th></tr>
{{range $i, $games := .All}}{{range $j, $r := $games}}<tr><td>{{index $.Names $i}}</td><td>{{$j}}</td>` +
	`<td>{{$r.PeakCalls}}</td><td>{{$r.Calls}}</td><td>{{$r.Refused}}</td>` +
	`<td>{{if $r.CaughtUpAfter}}{{$r.CaughtUpAfter}}{{else}}never{{end}}</td></tr>
{{end}}{{end}}</table></body></html>
`))

func drawMassRestart(reports []fleet.MassRestartReport, capacityPerSecond float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "calls after a mass restart", "s since the return", "calls in 0.1 s"
	p.Y.Min = 0
	end := 0.0
	for i, r := range reports {
		var calls, refused plotter.XYs
		for j, bin := range r.Bins {
			x := float64(j) / 10
			calls, refused = append(calls, plotter.XY{X: x, Y: float64(bin.Calls)}),
				append(refused, plotter.XY{X: x, Y: float64(bin.Refused)})
			end = max(end, x)
		}
		for k, xy := range []plotter.XYs{calls, refused} {
			l, err := plotter.NewLine(xy)
			if err != nil {
				return nil, fmt.Errorf("drawing: %w", err)
			}
			l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(2*k)
			p.Add(l)
			p.Legend.Add(programNames[i]+[]string{": calls", ": refused"}[k], l)
		}
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: capacityPerSecond / 10}, {X: end, Y: capacityPerSecond / 10}})
	if err != nil {
		return nil, fmt.Errorf("drawing: %w", err)
	}
	line.Color = color.Gray{Y: 110}
	p.Add(line)
	p.Legend.Add("what it takes", line)
	p.Legend.Top = true
	var out bytes.Buffer
	w, err := p.WriterTo(22*vg.Centimeter, 11*vg.Centimeter, "png")
	if err == nil {
		_, err = w.WriteTo(&out)
	}
	if err != nil {
		return nil, fmt.Errorf("drawing: %w", err)
	}
	return out.Bytes(), nil
}
