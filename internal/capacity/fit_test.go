package capacity

import (
	"errors"
	"math"
	"testing"
)

func checkNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if !(math.Abs(got-want) <= within) {
		t.Errorf("%s is %v, want %v", what, got, want)
	}
}

// A fit with a wrong slope or error would make every extrapolated cost wrong. The line of Anscombe's first data set is known:
// 3.00 + 0.500 x, with R2 0.667 and a standard error of the slope of 0.118.
func TestFitMatchesAnscombesFirstSet(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	l, err := fitLine(pointsOf(x, y))
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", l.slope, 0.5001, 1e-4)
	checkNear(t, "intercept", l.intercept, 3.0001, 1e-4)
	checkNear(t, "standard error of the slope", l.slopeStandardError, 0.1179, 1e-4)
	checkNear(t, "R2", l.rSquared, 0.6665, 1e-4)
	checkNear(t, "deviation", l.residualDeviation, 1.2366, 1e-4)
	if l.isCurved() {
		t.Errorf("a curvature of %v with a standard error of %v counts as significant", l.curvature, l.curvatureStandardError)
	}
}

// A parabola must not pass for a line. Anscombe's second data set is a parabola with the same fitted line as the first.
func TestParabolaIsCurved(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{9.14, 8.14, 8.74, 8.77, 9.26, 8.10, 6.13, 3.10, 9.13, 7.26, 4.74}
	l, err := fitLine(pointsOf(x, y))
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", l.slope, 0.5, 1e-3)
	checkNear(t, "curvature", l.curvature, -0.1267, 1e-4)
	if !l.isCurved() || l.slopeChange() >= 0 {
		t.Errorf("curved: %v, slope change %v; want a curve with a falling slope", l.isCurved(), l.slopeChange())
	}
}

func pointsOf(x, y []float64) (out []point) {
	for i := range x {
		out = append(out, point{x[i], y[i]})
	}
	return out
}

// Rounding errors in points that lie exactly on a line must not be reported as residuals or curvature.
func TestExactLineHasNoError(t *testing.T) {
	var points []point
	for _, x := range []float64{1, 2, 4, 8} {
		points = append(points, point{x, 7 + 3*x})
	}
	l, err := fitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	at, deviation := l.predict(100)
	checkNear(t, "slope", l.slope, 3, 1e-12)
	checkNear(t, "at 100", at, 307, 1e-9)
	checkNear(t, "error at 100", deviation, 0, 1e-9)
	checkNear(t, "largest residual", l.largestResidual, 0, 1e-12)
	checkNear(t, "R2", l.rSquared, 1, 1e-12)
	if l.isCurved() {
		t.Errorf("rounding errors count as a curvature of %v ± %v", l.curvature, l.curvatureStandardError)
	}
	if l.smallestSize != 1 || l.largestSize != 8 {
		t.Errorf("sizes from %v to %v, want 1 to 8", l.smallestSize, l.largestSize)
	}
}

// A cost that grows with the square of the size must not be extrapolated as if it were linear. R2 alone does not reveal it:
// it is close to 1 here.
func TestQuadraticCostIsCurved(t *testing.T) {
	var points []point
	for _, x := range []float64{50, 100, 215, 430, 860} {
		for _, noise := range []float64{-1, 1} {
			points = append(points, point{x, 10*x + 0.01*x*x + noise})
		}
	}
	l, err := fitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "curvature", l.curvature, 0.01, 1e-4)
	if !l.isCurved() || l.rSquared < 0.98 {
		t.Errorf("curved: %v, R2 %v; want a curve with R2 of at least 0.98", l.isCurved(), l.rSquared)
	}
}

// With a constant cost the variance is zero, which must not lead to a division by zero.
func TestConstantCostHasNoSlope(t *testing.T) {
	l, err := fitLine([]point{{1, 5}, {2, 5}, {3, 5}, {4, 5}})
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", l.slope, 0, 0)
	checkNear(t, "R2", l.rSquared, 1, 0)
	if l.isCurved() {
		t.Error("a constant cost counts as curved")
	}
}

// Points that do not determine a line must return an error, not a line with infinite or undefined values.
func TestTooFewPointsAreRejected(t *testing.T) {
	for _, points := range [][]point{nil, {{1, 1}, {2, 2}}, {{3, 1}, {3, 2}, {3, 3}}} {
		if _, err := fitLine(points); !errors.Is(err, errTooFewPoints) {
			t.Errorf("fitLine(%v) returned %v, want errTooFewPoints", points, err)
		}
	}
}
