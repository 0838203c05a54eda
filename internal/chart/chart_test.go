package chart

import (
	"encoding/xml"
	"testing"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// size is the part of an SVG document that contains its width and height in points.
type size struct {
	XMLName xml.Name `xml:"svg"`
	Width   string   `xml:"width,attr"`
	Height  string   `xml:"height,attr"`
}

// An image that is too low for its plots would cut off the last ones.
func TestSVGStacksPlots(t *testing.T) {
	for name, test := range map[string]struct {
		plots  int
		height string
	}{
		"one plot":  {1, "100pt"},
		"two plots": {2, "200pt"},
	} {
		t.Run(name, func(t *testing.T) {
			var plots []*plot.Plot
			for range test.plots {
				plots = append(plots, plot.New())
			}
			text, err := SVG(300, vg.Length(100), plots...)
			if err != nil {
				t.Fatal(err)
			}
			var got size
			if err := xml.Unmarshal(text, &got); err != nil {
				t.Fatal(err)
			}
			if got.Width != "300pt" || got.Height != test.height {
				t.Errorf("%s by %s, want 300pt by %s", got.Width, got.Height, test.height)
			}
		})
	}
}
