package scale

import (
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"gorseledge/internal/chart"
)

// Series holds the values of one cost of one kind in one phase, by fleet size: Value[i] was measured with Nodes[i] nodes.
type Series struct {
	Kind  Kind
	Phase string
	Cost  string
	Unit  string
	Nodes []float64
	Value []float64
}

// GroupSeries returns the series of rows in the order in which they first occur, each sorted by fleet size.
func GroupSeries(rows []Row) (out []Series) {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, func(a, b Row) int { return a.Nodes - b.Nodes })
	for _, r := range rows {
		i := slices.IndexFunc(out, func(s Series) bool { return s.Kind == r.Kind && s.Phase == r.Phase && s.Cost == r.Cost })
		if i < 0 {
			i = len(out)
			out = append(out, Series{Kind: r.Kind, Phase: r.Phase, Cost: r.Cost, Unit: r.Unit})
		}
		out[i].Nodes, out[i].Value = append(out[i].Nodes, float64(r.Nodes)), append(out[i].Value, r.Value)
	}
	return out
}

// Fit fits a line through the series.
func (s Series) Fit() Fit { return fitLine(s.Nodes, s.Value) }

var kindColors = map[Kind]color.RGBA{Hollow: {60, 100, 200, 255}, Real: {200, 30, 30, 255}, Virtual: {40, 150, 60, 255},
	Fleet: {120, 60, 160, 255}, Server: {230, 140, 20, 255}}

// Chart draws, as SVG, one cost in one phase against the fleet size: the points of each kind, their fitted line, and
// the residuals as thin strokes. Series of other costs and phases are ignored.
func Chart(phase, cost string, all []Series) ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s of a node", phase, cost)
	p.X.Label.Text = "nodes of the fleet"
	p.X.Min, p.Y.Min = 0, 0
	for _, s := range all {
		if s.Phase != phase || s.Cost != cost {
			continue
		}
		if s.Kind == Fleet {
			p.Title.Text = fmt.Sprintf("%s: %s", phase, cost)
		}
		p.Y.Label.Text = s.Unit
		if err := drawSeries(p, s); err != nil {
			return nil, err
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	return chart.SVG(8*vg.Inch, 4.5*vg.Inch, p)
}

// drawSeries adds the points of a series and, if there are at least 3 points, its fitted line and residuals.
func drawSeries(p *plot.Plot, s Series) error {
	points := make(plotter.XYs, len(s.Nodes))
	for i := range points {
		points[i] = plotter.XY{X: s.Nodes[i], Y: s.Value[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: kindColors[s.Kind], Radius: vg.Points(3), Shape: draw.CircleGlyph{}}
	p.Add(scatter)
	f := s.Fit()
	if f.Points < 3 {
		p.Legend.Add(string(s.Kind), scatter)
		return nil
	}
	last := s.Nodes[len(s.Nodes)-1]
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: f.At(0)}, {X: last, Y: f.At(last)}})
	if err != nil {
		return err
	}
	line.Color, line.Width = kindColors[s.Kind], vg.Points(1)
	p.Add(line)
	for _, point := range points {
		stroke, err := plotter.NewLine(plotter.XYs{point, {X: point.X, Y: f.At(point.X)}})
		if err != nil {
			return err
		}
		stroke.Color, stroke.Width = kindColors[s.Kind], vg.Points(0.5)
		p.Add(stroke)
	}
	p.Legend.Add(fmt.Sprintf("%s: %.3g + %.3g n, residual %.2g", s.Kind, f.Base, f.Slope, f.ResidualRMS), scatter, line)
	return nil
}
