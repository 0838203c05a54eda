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

// Anscombe's first set: the line is known to be 3.00 + 0.500 x, with R2 0.667 and an error of the slope of 0.118.
func TestFitMatchesAnscombesFirstSet(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	l, err := fitLine(pointsOf(x, y))
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", l.slope, 0.5001, 1e-4)
	checkNear(t, "intercept", l.intercept, 3.0001, 1e-4)
	checkNear(t, "error of the slope", l.slopeStandardError, 0.1179, 1e-4)
	checkNear(t, "R2", l.rSquared, 0.6665, 1e-4)
	checkNear(t, "deviation", l.residualDeviation, 1.2366, 1e-4)
	if l.isCurved() {
		t.Errorf("a bend of %v with an error of %v is taken for sure", l.curvature, l.curvatureStandardError)
	}
}

// Anscombe's second set has the same line, and is a parabola.
func TestParabolaIsCurved(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{9.14, 8.14, 8.74, 8.77, 9.26, 8.10, 6.13, 3.10, 9.13, 7.26, 4.74}
	l, err := fitLine(pointsOf(x, y))
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", l.slope, 0.5, 1e-3)
	checkNear(t, "bend", l.curvature, -0.1267, 1e-4)
	if !l.isCurved() || l.slopeChange() >= 0 {
		t.Errorf("bends %v, by %v; the slope falls", l.isCurved(), l.slopeChange())
	}
}

func pointsOf(x, y []float64) (out []point) {
	for i := range x {
		out = append(out, point{x[i], y[i]})
	}
	return out
}

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
		t.Errorf("what rounding leaves over is taken for a bend of %v ± %v", l.curvature, l.curvatureStandardError)
	}
	if l.smallestSize != 1 || l.largestSize != 8 {
		t.Errorf("sizes %v to %v", l.smallestSize, l.largestSize)
	}
}

// A cost that grows with the square of the size is found out, also where R2 is close to 1.
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
	checkNear(t, "bend", l.curvature, 0.01, 1e-4)
	if !l.isCurved() || l.rSquared < 0.98 {
		t.Errorf("bends %v with R2 %v", l.isCurved(), l.rSquared)
	}
}

func TestConstantCostHasNoSlope(t *testing.T) {
	l, err := fitLine([]point{{1, 5}, {2, 5}, {3, 5}, {4, 5}})
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", l.slope, 0, 0)
	checkNear(t, "R2", l.rSquared, 1, 0)
	if l.isCurved() {
		t.Error("a constant bends")
	}
}

func TestTooFewPointsAreRejected(t *testing.T) {
	for _, points := range [][]point{nil, {{1, 1}, {2, 2}}, {{3, 1}, {3, 2}, {3, 3}}} {
		if _, err := fitLine(points); !errors.Is(err, errTooFewPoints) {
			t.Errorf("%v: %v", points, err)
		}
	}
}
