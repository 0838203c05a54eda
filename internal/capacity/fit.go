package capacity

import (
	"errors"
	"math"
)

// point is one figure against the size at which it was measured.
type point struct{ x, y float64 }

// line is a straight line through points, by least squares, with what speaks for it and against it.
type line struct {
	points                    int
	slope                     float64
	slopeStandardError        float64 // standard error
	intercept                 float64
	residualDeviation         float64 // standard deviation of the residuals
	largestResidual           float64 // largest residual, without its sign
	rSquared                  float64 // R2, the part of the variance that the line explains
	smallestSize, largestSize float64 // smallest and largest size
	curvature                 float64 // coefficient of the square of the size, if one is fitted as well
	curvatureStandardError    float64 // standard error of it
	meanSize, sizeSquares     float64 // of the sizes, and of their squared distances from it
	meanValue                 float64 // the figures
	curvatureFitted           bool
}

const (
	minPoints             = 3     // two give a line without an error
	minSizes              = 3     // of different value, to see a bend
	curvatureSignificance = 3     // standard errors by which a bend has to differ from none
	roundingTolerance     = 1e-12 // of the largest figure, under which a difference is one of rounding
	minSlopeChange        = 0.01  // of the slope over the measured sizes, under which it is called steady
)

var errTooFewPoints = errors.New("fewer than three figures, or all at one size")

// fitLine fits a line through points.
func fitLine(points []point) (l line, err error) {
	if l.points = len(points); l.points < minPoints {
		return l, errTooFewPoints
	}
	l.measureSizes(points)
	if l.smallestSize == l.largestSize {
		return l, errTooFewPoints
	}
	alongXY, scale := 0.0, 0.0
	for _, p := range points {
		alongXY += (p.x - l.meanSize) * (p.y - l.meanValue)
		scale = max(scale, math.Abs(p.y))
	}
	if l.slope = alongXY / l.sizeSquares; math.Abs(l.slope)*(l.largestSize-l.smallestSize) < roundingTolerance*scale {
		l.slope = 0
	}
	l.intercept = l.meanValue - l.slope*l.meanSize
	l.measureResiduals(points, roundingTolerance*scale)
	l.fitCurvature(points)
	return l, nil
}

// measureSizes takes where the points lie.
func (l *line) measureSizes(points []point) {
	n := float64(len(points))
	l.smallestSize, l.largestSize = math.Inf(1), math.Inf(-1)
	for _, p := range points {
		l.meanSize += p.x / n
		l.meanValue += p.y / n
		l.smallestSize, l.largestSize = min(l.smallestSize, p.x), max(l.largestSize, p.x)
	}
	for _, p := range points {
		l.sizeSquares += (p.x - l.meanSize) * (p.x - l.meanSize)
	}
}

// measureResiduals takes what the line leaves over; what is under the least is rounding.
func (l *line) measureResiduals(points []point, least float64) {
	squares, total := 0.0, 0.0
	for _, p := range points {
		total += (p.y - l.meanValue) * (p.y - l.meanValue)
		if residual := math.Abs(l.residual(p)); residual >= least {
			squares += residual * residual
			l.largestResidual = max(l.largestResidual, residual)
		}
	}
	l.residualDeviation = math.Sqrt(squares / float64(len(points)-2))
	l.slopeStandardError = l.residualDeviation / math.Sqrt(l.sizeSquares)
	l.rSquared = 1
	if squares > 0 {
		l.rSquared = 1 - squares/total
	}
}

// fitCurvature fits the residuals by the part of the squared size that no line explains.
func (l *line) fitCurvature(points []point) {
	sizes := map[float64]bool{}
	for _, p := range points {
		sizes[p.x] = true
	}
	if len(sizes) < minSizes || len(points) <= minPoints {
		return
	}
	square := make([]point, len(points))
	for i, p := range points {
		square[i] = point{p.x, (p.x - l.meanSize) * (p.x - l.meanSize)}
	}
	meanSquare, slopeOfSquare := 0.0, 0.0
	for _, p := range square {
		meanSquare += p.y / float64(len(square))
		slopeOfSquare += p.y * (p.x - l.meanSize) / l.sizeSquares
	}
	curved := func(i int) float64 { return square[i].y - meanSquare - slopeOfSquare*(square[i].x-l.meanSize) }
	along, sum := 0.0, 0.0
	for i, p := range points {
		along += curved(i) * l.residual(p)
		sum += curved(i) * curved(i)
	}
	l.curvature = along / sum
	left := 0.0
	for i, p := range points {
		rest := l.residual(p) - l.curvature*curved(i)
		left += rest * rest
	}
	l.curvatureStandardError = math.Sqrt(left/float64(len(points)-3)) / math.Sqrt(sum)
	l.curvatureFitted = true
}

// predict gives the line at a size, and the standard error of it.
func (l line) predict(x float64) (y, err float64) {
	away := x - l.meanSize
	return l.intercept + l.slope*x, l.residualDeviation * math.Sqrt(1/float64(l.points)+away*away/l.sizeSquares)
}

// residual is how far a figure lies above the line.
func (l line) residual(p point) float64 { return p.y - l.intercept - l.slope*p.x }

// isCurved tells whether the slope itself changes with the size, beyond chance and beyond what matters.
func (l line) isCurved() bool {
	return l.curvatureFitted && math.Abs(l.curvature) > curvatureSignificance*l.curvatureStandardError && math.Abs(l.slopeChange()) > minSlopeChange
}

// slopeChange is by which part of itself the slope changes from the smallest size to the largest.
func (l line) slopeChange() float64 {
	return 2 * l.curvature * (l.largestSize - l.smallestSize) / math.Abs(l.slope)
}
