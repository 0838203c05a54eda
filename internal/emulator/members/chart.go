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

// Variant is what fleets of one core showed.
type Variant struct {
	Name         string
	Measurements []Measurement
}

// Chart draws, as SVG, in which part of the seeds a death was suspected, known to the first and known to all
// within so many periods: a full line for the first core, a dashed one for the second.
func Chart(nodes int, cores ...Variant) ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d nodes (simulated): from a death to those who know", nodes)
	p.X.Label.Text, p.Y.Label.Text = "periods after the death", "part of the seeds"
	p.Y.Min, p.Y.Max, p.X.Min = 0, 1, 0
	for i, c := range cores {
		for _, line := range []struct {
			name  string
			color color.Color
			get   func(Measurement) float64
		}{
			{"first suspects", color.RGBA{230, 140, 20, 255}, func(m Measurement) float64 { return m.Suspected }},
			{"first knows", color.RGBA{60, 100, 200, 255}, func(m Measurement) float64 { return m.First }},
			{"last knows", color.RGBA{200, 30, 30, 255}, func(m Measurement) float64 { return m.Last }},
		} {
			var at []float64
			for _, m := range c.Measurements {
				if x := line.get(m); !math.IsInf(x, 0) {
					at = append(at, x)
				}
			}
			slices.Sort(at)
			points := plotter.XYs{{}}
			for k, x := range at {
				points = append(points, plotter.XY{X: x, Y: float64(k+1) / float64(len(c.Measurements))})
			}
			l, err := plotter.NewLine(points)
			if err != nil {
				return nil, err
			}
			l.Color, l.Width, l.StepStyle = line.color, vg.Points(1.5), plotter.PostStep
			if i > 0 {
				l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
			}
			p.Add(l)
			p.Legend.Add(c.Name+": "+line.name, l)
		}
	}
	p.Legend.Left, p.Legend.Top = false, false
	return chart.SVG(8*vg.Inch, 4.5*vg.Inch, p)
}
