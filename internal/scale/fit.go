package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a least-squares line through points.
type Fit struct {
	Base, Slope float64
	ResidualRMS float64 // root mean square of the residuals
	SlopeError  float64 // standard error of the slope
	Points      int
}

// fitLine fits y = base + slope x. Slope and base are NaN for fewer than 2 points; slope is NaN if all x are the same.
func fitLine(x, y []float64) Fit {
	f := Fit{Points: len(x), Slope: math.NaN(), Base: math.NaN()}
	if len(x) < 2 {
		return f
	}
	f.Base, f.Slope = stat.LinearRegression(x, y, nil, false)
	var squares, span float64
	mean := stat.Mean(x, nil)
	for i := range x {
		squares += math.Pow(y[i]-f.At(x[i]), 2)
		span += math.Pow(x[i]-mean, 2)
	}
	f.ResidualRMS = math.Sqrt(squares / float64(len(x)))
	if len(x) > 2 && span > 0 {
		f.SlopeError = math.Sqrt(squares / float64(len(x)-2) / span)
	}
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }
