package members

import (
	"fmt"
	"image/color"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gorseledge/internal/chart"
)

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 4.5 * vg.Inch
)

// Variant is what fleets of one variant of the core showed.
type Variant struct {
	Name         string // for the legend
	Measurements []Measurement
}

// curve is one time of a measurement, as a chart shows it.
type curve struct {
	name  string
	color color.Color
	value func(Measurement) float64 // periods; +Inf where it did not come
}

var curves = []curve{
	{"first suspects", color.RGBA{230, 140, 20, 255}, func(m Measurement) float64 { return m.FirstSuspicion }},
	{"first knows", color.RGBA{60, 100, 200, 255}, func(m Measurement) float64 { return m.FirstDeath }},
	{"last knows", color.RGBA{200, 30, 30, 255}, func(m Measurement) float64 { return m.LastDeath }},
}

// Chart draws, as SVG, in which fraction of the measurements a death was suspected, known to the first member and known to
// the last within so many periods: with full lines for the first variant, with dashed ones for the others.
func Chart(nodes int, variants ...Variant) ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d nodes (simulated): from a death to those who know", nodes)
	p.X.Label.Text = "periods after the death"
	p.Y.Label.Text = "part of the seeds"
	p.X.Min = 0
	p.Y.Min = 0
	p.Y.Max = 1
	for i, variant := range variants {
		for _, c := range curves {
			line, err := c.line(variant.Measurements)
			if err != nil {
				return nil, fmt.Errorf("draw the line %q of %s: %w", c.name, variant.Name, err)
			}
			if i > 0 {
				line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			}
			p.Add(line)
			p.Legend.Add(variant.Name+": "+c.name, line)
		}
	}
	p.Legend.Left = false
	p.Legend.Top = false
	return chart.SVG(chartWidth, chartHeight, p)
}

// line returns the curve of some measurements. Those in which the time did not come are not in it.
func (c curve) line(measurements []Measurement) (*plotter.Line, error) {
	var times []float64
	for _, m := range measurements {
		if t := c.value(m); !math.IsInf(t, 0) {
			times = append(times, t)
		}
	}
	slices.Sort(times)
	points := plotter.XYs{{}}
	for i, t := range times {
		points = append(points, plotter.XY{X: t, Y: float64(i+1) / float64(len(measurements))})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = c.color
	line.Width = vg.Points(1.5)
	line.StepStyle = plotter.PostStep
	return line, nil
}
