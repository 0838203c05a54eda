package members

import (
	"math"
	"slices"
	"testing"

	"gorseledge/internal/figures"
)

// Guards against rows with an infinite time, and against a time of the last declaration although some members have not declared
// the death by the end of the measurement.
func TestFiguresOmitEventsThatDidNotHappen(t *testing.T) {
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
					t.Errorf("unexpected row %+v", row)
				}
			}
			if !slices.Equal(costs, c.costs) {
				t.Errorf("got costs %v, want %v", costs, c.costs)
			}
		})
	}
}
