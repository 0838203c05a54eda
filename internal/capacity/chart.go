package capacity

import (
	"bytes"
	"fmt"
	"image/color"
	"strings"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gorseledge/internal/chart"
)

const chartPrefix = "capacity-" // of the files that this package writes

// costChart is one chart: a cost against the size, with its line.
type costChart struct{ result }

// costCharts gives a chart for each fitted cost, once.
func (e *evaluation) costCharts() (out []costChart) {
	seen := map[string]bool{}
	for _, r := range e.results {
		d := costChart{r}
		if r.fitted && !seen[d.fileName()] {
			seen[d.fileName()] = true
			out = append(out, d)
		}
	}
	return out
}

func (d costChart) fileName() string {
	f := d.From
	name := strings.Join([]string{f.Table, f.Source, f.Dimension, f.Phase, f.Cost}, "-")
	return chartPrefix + strings.NewReplacer(".", "-", "_", "-").Replace(name) + ".svg"
}

func (d costChart) title() string {
	return fmt.Sprintf("%s, %s, against %s (%s)", d.From.Cost, d.From.Phase, strings.ReplaceAll(d.From.Dimension, "_", " "),
		d.From.Source)
}

// render draws the figures with their line, and below it what the line leaves over.
func (d costChart) render() ([]byte, error) {
	var values, residuals plotter.XYs
	for _, p := range d.points {
		values = append(values, plotter.XY{X: p.x, Y: p.y})
		residuals = append(residuals, plotter.XY{X: p.x, Y: d.line.residual(p)})
	}
	top, err := newPanel(d.title()+", simulated or on loopback", d.From.Cost+", "+d.unit, values, func(x float64) float64 {
		return d.line.intercept + d.line.slope*x
	})
	if err != nil {
		return nil, err
	}
	below, err := newPanel("", "figure less line, "+d.unit, residuals, func(float64) float64 { return 0 })
	if err != nil {
		return nil, err
	}
	below.X.Label.Text = strings.ReplaceAll(d.From.Dimension, "_", " ")
	text, err := chart.SVG(7*vg.Inch, 3*vg.Inch, top, below)
	return append(bytes.TrimRight(text, "\n"), d.figureHash()...), err
}

// figureHash is a comment at the chart's end that tells what it was drawn from: text of a drawing may differ in its last digits
// from machine to machine, figures do not.
func (d costChart) figureHash() string {
	sum := xxhash.New()
	fmt.Fprintln(sum, d.title(), d.unit)
	for _, p := range d.points {
		fmt.Fprintf(sum, "%.6g %.6g\n", p.x, p.y)
	}
	return fmt.Sprintf("\n<!-- figures %016x -->\n", sum.Sum64())
}

// newPanel draws points and a line over them.
func newPanel(title, of string, points plotter.XYs, along func(float64) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, of
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, err
	}
	scatter.Color, scatter.Radius = color.RGBA{60, 100, 200, 255}, vg.Points(2)
	from, to := plotter.Range(plotter.XValues{XYer: points})
	fitted, err := plotter.NewLine(plotter.XYs{{X: from, Y: along(from)}, {X: to, Y: along(to)}})
	if err != nil {
		return nil, err
	}
	fitted.Color = color.RGBA{200, 30, 30, 255}
	p.Add(scatter, fitted)
	return p, nil
}
