package members

import (
	"math"
	"strings"
	"testing"
)

// A chart has a line for each time of each variant, also where a measurement has no such time.
func TestChartHasALineForEachTime(t *testing.T) {
	measurements := []Measurement{{FirstSuspicion: 1, FirstDeath: 5, LastDeath: 9}, {FirstSuspicion: 2, FirstDeath: math.Inf(1)}}
	text, err := Chart(3, Variant{"one", measurements}, Variant{"other", measurements})
	if err != nil || strings.Count(string(text), "knows") != 4 || strings.Contains(string(text), "NaN") {
		t.Errorf("%v: %s", err, text)
	}
}
