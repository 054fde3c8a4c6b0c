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

var colors = map[simulation.Version]color.Color{
	simulation.Ours:  color.RGBA{B: 200, A: 255},
	simulation.Naive: color.RGBA{R: 200, A: 255},
}

// Plot draws the goodput over time of one scenario, a line for each summary.
func Plot(path, title string, rows []Summary) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "whole requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for _, r := range rows {
		line, err := plotter.NewLine(points(r.Course))
		if err != nil {
			return err
		}
		line.Color = colors[r.Version]
		p.Add(line)
		p.Legend.Add(string(r.Version), line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func points(course []float64) plotter.XYs {
	xys := make(plotter.XYs, len(course))
	for i, v := range course {
		xys[i].X = float64(i) * simulation.Bucket.Seconds()
		xys[i].Y = v
	}
	return xys
}
