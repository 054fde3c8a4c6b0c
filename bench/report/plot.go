package report

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/teaselrack/teaselrack/bench/simulation"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

var colors = map[simulation.Variant]color.Color{
	simulation.Teaselrack: color.RGBA{B: 200, A: 255},
	simulation.Naive:      color.RGBA{R: 200, A: 255},
}

// Plot draws the goodput over time of one scenario, with one line per summary,
// and writes it to path. The extension of path sets the format.
func Plot(path, title string, rows []Summary) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "client requests per second"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, r := range rows {
		line, err := plotter.NewLine(points(r.GoodputSeries))
		if err != nil {
			return err
		}
		line.Color = colors[r.Variant]
		p.Add(line)
		p.Legend.Add(string(r.Variant), line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func points(series []float64) plotter.XYs {
	xys := make(plotter.XYs, len(series))
	for i, v := range series {
		xys[i].X = float64(i) * simulation.BucketWidth.Seconds()
		xys[i].Y = v
	}
	return xys
}
