package rig

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"gorseledge/internal/chart"
)

var (
	grey   = color.RGBA{160, 160, 160, 255}
	blue   = color.RGBA{60, 100, 200, 255}
	orange = color.RGBA{230, 140, 20, 255}
	red    = color.RGBA{200, 30, 30, 255}
	green  = color.RGBA{40, 150, 60, 255}
)

// Timeline renders a run as an SVG chart. Each node has a row with its faults. The dots above the row are the changes of the
// node's state that the other nodes logged; each logging node has its own height within the row.
func Timeline(r *Result) ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: faults of each node, and its state as seen by the others", r.Seed)
	p.X.Label.Text = "seconds"
	names := make([]string, r.Nodes)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i)
	}
	p.NominalY(names...)
	p.Y.Min, p.Y.Max = -0.6, float64(r.Nodes)
	row := func(from, to float64, node int, offset float64, c color.Color, width vg.Length) error {
		line, err := plotter.NewLine(plotter.XYs{{X: from, Y: float64(node) + offset}, {X: to, Y: float64(node) + offset}})
		if err != nil {
			return err
		}
		line.Color = c
		line.Width = width
		p.Add(line)
		return nil
	}
	end := lastEventTime(r.Events)
	for _, e := range activeFaults(r.Events) {
		e.to = min(e.to, end) // a fault that has not ended is drawn to the end of the run
		c, offset := color.Color(grey), 0.0
		if faultKinds[e.Kind].onLink {
			c, offset = blue, -0.15
		}
		for _, n := range e.Nodes {
			if err := row(e.from, max(e.to, e.from+end/500), n, offset, c, vg.Points(5)); err != nil {
				return nil, err
			}
		}
	}
	changes := map[string]plotter.XYs{}
	for _, e := range r.Events {
		if e.Kind == eventMember && nodeIndex(e.Member) >= 0 && nodeIndex(e.Member) < r.Nodes {
			offset := 0.2 + 0.6*float64(e.Node)/float64(r.Nodes)
			changes[e.State] = append(changes[e.State], plotter.XY{X: e.At, Y: float64(nodeIndex(e.Member)) + offset})
		}
	}
	for state, c := range map[string]color.Color{
		memberAlive: green, memberSuspect: orange, memberDead: red, memberLeft: blue,
	} {
		if len(changes[state]) == 0 {
			continue
		}
		s, err := plotter.NewScatter(changes[state])
		if err != nil {
			return nil, err
		}
		s.GlyphStyle = draw.GlyphStyle{Color: c, Radius: vg.Points(1.5), Shape: draw.CircleGlyph{}}
		p.Add(s)
		p.Legend.Add(state, s)
	}
	p.Legend.Top = true
	return chart.SVG(10*vg.Inch, vg.Length(r.Nodes)*0.4*vg.Inch+1.5*vg.Inch, p)
}
