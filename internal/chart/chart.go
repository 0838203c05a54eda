// Package chart renders plots as SVG and arranges several plots in one image. The callers define the plots.
package chart

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// SVG renders plots below each other, each with the given width and height. Coordinates may differ in their last digits
// between machines, so callers must not compare images byte by byte.
func SVG(width, height vg.Length, plots ...*plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(width, height*vg.Length(len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for row, rowPlot := range plots {
		rowPlot.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return nil, fmt.Errorf("rendering SVG: %w", err)
	}
	return text.Bytes(), nil
}
