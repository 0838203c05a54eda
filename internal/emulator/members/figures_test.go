package members

import (
	"math"
	"slices"
	"testing"

	"gorseledge/internal/figures"
)

// A death that not all knew of while it was looked for has no time until the last knew.
func TestFiguresLeaveOutWhatDidNotCome(t *testing.T) {
	for _, c := range []struct {
		name  string
		m     Measurement
		costs []string
	}{
		{"known to all", Measurement{Suspected: 2, First: 10, Last: 20, Known: 1},
			[]string{"death.known_part", "death.suspected_by_first", "death.known_by_first", "death.known_by_last"}},
		{"known to some", Measurement{Suspected: 2, First: 10, Last: 80, Known: 0.93},
			[]string{"death.known_part", "death.suspected_by_first", "death.known_by_first"}},
		{"known to none", Measurement{Suspected: math.Inf(1), First: math.Inf(1)}, []string{"death.known_part"}},
	} {
		var costs []string
		for _, row := range c.m.Figures(30) {
			costs = append(costs, row.Cost)
			if row.Size != 30 || row.Source != figures.Virtual || row.Dimension != "nodes" || math.IsInf(row.Value, 0) {
				t.Errorf("%s: %+v", c.name, row)
			}
		}
		if !slices.Equal(costs, c.costs) {
			t.Errorf("%s: %v, want %v", c.name, costs, c.costs)
		}
	}
}
