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

const (
	// chartPrefix begins the file name of each chart of this package and distinguishes it from charts of other commands.
	chartPrefix    = "capacity-"
	chartExtension = ".svg"

	panelWidth  = 7 * vg.Inch
	panelHeight = 3 * vg.Inch
	pointRadius = vg.Length(2) // in points
)

var (
	pointColor = color.RGBA{R: 60, G: 100, B: 200, A: 255}
	lineColor  = color.RGBA{R: 200, G: 30, B: 30, A: 255}
)

// costChart plots the figures of a fitted cost against the size.
type costChart struct{ result }

// costCharts returns one chart for each distinct fitted cost, in the order of the plan's rows.
func (e *evaluation) costCharts() []costChart {
	var charts []costChart
	seen := map[string]bool{}
	for _, r := range e.results {
		if !r.fitted {
			continue
		}
		c := costChart{r}
		if seen[c.fileName()] {
			continue
		}
		seen[c.fileName()] = true
		charts = append(charts, c)
	}
	return charts
}

// fileName returns the chart's name, which identifies the selected figures.
func (c costChart) fileName() string {
	selector := c.From
	parts := []string{selector.Table, selector.Source, selector.Dimension, selector.Phase, selector.Cost}
	name := strings.NewReplacer(".", "-", "_", "-").Replace(strings.Join(parts, "-"))
	return chartPrefix + name + chartExtension
}

func (c costChart) title() string {
	return fmt.Sprintf("%s, %s, against %s (%s)", c.From.Cost, c.From.Phase, c.dimension(), c.From.Source)
}

// dimension returns the name of the varied dimension with spaces in place of underscores.
func (c costChart) dimension() string { return strings.ReplaceAll(c.From.Dimension, "_", " ") }

// render returns an SVG image with the figures and their line and, below them, the residuals. It ends with figureHash.
func (c costChart) render() ([]byte, error) {
	var values, residuals plotter.XYs
	for _, p := range c.points {
		values = append(values, plotter.XY{X: p.x, Y: p.y})
		residuals = append(residuals, plotter.XY{X: p.x, Y: c.line.residual(p)})
	}
	fitted := func(size float64) float64 { return c.line.intercept + c.line.slope*size }
	top, err := newPanel(c.title()+", simulated or on loopback", c.From.Cost+", "+c.unit, values, fitted)
	if err != nil {
		return nil, err
	}
	zero := func(float64) float64 { return 0 }
	bottom, err := newPanel("", "figure less line, "+c.unit, residuals, zero)
	if err != nil {
		return nil, err
	}
	bottom.X.Label.Text = c.dimension()
	image, err := chart.SVG(panelWidth, panelHeight, top, bottom)
	if err != nil {
		return nil, err
	}
	return append(bytes.TrimRight(image, "\n"), c.figureHash()...), nil
}

// figureHash returns an XML comment with a hash of the figures in the chart. Charts are compared by this hash, because
// coordinates in the image may differ in their last digits between machines.
func (c costChart) figureHash() string {
	hash := xxhash.New()
	fmt.Fprintln(hash, c.title(), c.unit)
	for _, p := range c.points {
		fmt.Fprintf(hash, "%.6g %.6g\n", p.x, p.y)
	}
	return fmt.Sprintf("\n<!-- figures %016x -->\n", hash.Sum64())
}

// newPanel returns a plot of points and of a straight line, given as a function of the size, over their range.
func newPanel(title, label string, points plotter.XYs, lineAt func(size float64) float64) (*plot.Plot, error) {
	panel := plot.New()
	panel.Title.Text = title
	panel.Y.Label.Text = label
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, fmt.Errorf("plotting points: %w", err)
	}
	scatter.Color = pointColor
	scatter.Radius = pointRadius
	smallest, largest := plotter.Range(plotter.XValues{XYer: points})
	segment, err := plotter.NewLine(plotter.XYs{{X: smallest, Y: lineAt(smallest)}, {X: largest, Y: lineAt(largest)}})
	if err != nil {
		return nil, fmt.Errorf("plotting line: %w", err)
	}
	segment.Color = lineColor
	panel.Add(scatter, segment)
	return panel, nil
}
