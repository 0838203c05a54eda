// Package chart draws plots as SVG.
package chart

import (
	"bytes"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// SVG draws plots one below the other, each of the same size.
func SVG(width, height vg.Length, plots ...*plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(width, height*vg.Length(len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for row, p := range plots {
		p.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	var text bytes.Buffer
	_, err := canvas.WriteTo(&text)
	return text.Bytes(), err
}
