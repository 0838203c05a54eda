package members

import (
	"math"
	"slices"
)

// Quantile returns the value below which the given fraction of the values lies. The fraction is between 0 and 1; for 1 the
// result is the largest value. Without values it is NaN.
func Quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}
