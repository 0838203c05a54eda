package members

import (
	"math"
	"strings"
	"testing"
)

// Guards against a chart that lacks a line, or has NaN as a coordinate, because an event did not happen in one measurement.
func TestChartHasLineForEachTime(t *testing.T) {
	measurements := []Measurement{{FirstSuspicion: 1, FirstDeath: 5, LastDeath: 9}, {FirstSuspicion: 2, FirstDeath: math.Inf(1)}}
	text, err := Chart(3, Variant{"one", measurements}, Variant{"other", measurements})
	if err != nil || strings.Count(string(text), "declaration") != 4 || strings.Contains(string(text), "NaN") {
		t.Errorf("got error %v and chart %s", err, text)
	}
}
