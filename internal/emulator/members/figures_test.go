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
		{"known to all", Measurement{FirstSuspicion: 2, FirstDeath: 10, LastDeath: 20, KnownFraction: 1},
			[]string{"death.known_part", "death.suspected_by_first", "death.known_by_first", "death.known_by_last"}},
		{"known to some", Measurement{FirstSuspicion: 2, FirstDeath: 10, LastDeath: 80, KnownFraction: 0.93},
			[]string{"death.known_part", "death.suspected_by_first", "death.known_by_first"}},
		{"known to none", Measurement{FirstSuspicion: math.Inf(1), FirstDeath: math.Inf(1)}, []string{"death.known_part"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var costs []string
			for _, row := range c.m.Figures(30) {
				costs = append(costs, row.Cost)
				if row.Size != 30 || row.Source != figures.Virtual || row.Dimension != "nodes" || math.IsInf(row.Value, 0) {
					t.Errorf("%+v", row)
				}
			}
			if !slices.Equal(costs, c.costs) {
				t.Errorf("%v, want %v", costs, c.costs)
			}
		})
	}
}
