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

// Variant has the measurements of fleets that run one variant of the membership core.
type Variant struct {
	Name         string // name in the legend
	Measurements []Measurement
}

// curve is one of the times of a measurement, drawn as the distribution over all measurements.
type curve struct {
	name  string
	color color.Color
	value func(Measurement) float64 // periods after the death; +Inf if the event did not happen
}

var curves = []curve{
	{"first suspicion", color.RGBA{230, 140, 20, 255}, func(m Measurement) float64 { return m.FirstSuspicion }},
	{"first declaration", color.RGBA{60, 100, 200, 255}, func(m Measurement) float64 { return m.FirstDeath }},
	{"last declaration", color.RGBA{200, 30, 30, 255}, func(m Measurement) float64 { return m.LastDeath }},
}

// Chart returns an SVG chart of the times after a death at which it was first suspected, first declared and last declared. Each
// line shows the fraction of the measurements in which that happened within a number of periods. The lines of the first
// variant are solid, those of the others dashed.
func Chart(nodes int, variants ...Variant) ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d nodes (simulated): detection of a death", nodes)
	p.X.Label.Text = "periods after the death"
	p.Y.Label.Text = "fraction of the seeds"
	p.X.Min = 0
	p.Y.Min = 0
	p.Y.Max = 1
	for i, variant := range variants {
		for _, c := range curves {
			line, err := c.line(variant.Measurements)
			if err != nil {
				return nil, fmt.Errorf("drawing curve %q of variant %s: %w", c.name, variant.Name, err)
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

// line returns the curve of the given measurements. It does not rise for those in which the event did not happen.
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
