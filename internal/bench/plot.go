package bench

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes the latency distributions of all runs as a plot. The extension of
// the path selects the image format.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Scenario
	p.X.Label.Text = "share of requests, %"
	p.Y.Label.Text = "latency, ms"
	var lines []any
	for i := range r.Runs {
		points := make(plotter.XYs, 0, len(r.Runs[i].curve))
		for _, at := range r.Runs[i].curve {
			points = append(points, plotter.XY{X: at.percent, Y: at.millis})
		}
		lines = append(lines, r.Runs[i].Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return &Error{Op: "plot", Kind: KindInvalid, Err: err}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return &Error{Op: "plot", Kind: KindInvalid, Err: err}
	}
	return nil
}
