package capacity

import (
	"errors"
	"math"
)

// point is one figure (y) and the size at which it was measured (x).
type point struct{ x, y float64 }

// line is a straight line fitted to points by least squares, with the statistics that describe its quality.
type line struct {
	points                 int
	slope                  float64
	slopeStandardError     float64
	intercept              float64
	residualDeviation      float64 // standard deviation of the residuals
	largestResidual        float64 // absolute value
	rSquared               float64 // fraction of the variance that the line explains, between 0 and 1
	smallestSize           float64
	largestSize            float64
	curvature              float64 // coefficient of the squared size; valid if curvatureFitted
	curvatureStandardError float64
	curvatureFitted        bool
	meanSize               float64
	sizeSquares            float64 // sum of the squared deviations of the sizes from their mean
	meanValue              float64
}

const (
	minPoints             = 3     // two points determine a line, but not its error
	minSizes              = 3     // distinct sizes that are necessary to fit a curvature
	curvatureSignificance = 3     // standard errors by which a significant curvature differs from zero
	roundingTolerance     = 1e-12 // differences below this fraction of the largest value are rounding errors
	minSlopeChange        = 0.01  // relative change of the slope below which it counts as constant
	lineParameters        = 2
	curveParameters       = 3
)

// errTooFewPoints reports that a line and its error cannot be computed from the points.
var errTooFewPoints = errors.New("a line needs at least three figures, which must not all have the same size")

// fitLine fits a line to points. It returns errTooFewPoints if there are fewer than minPoints or if all have the same size.
func fitLine(points []point) (line, error) {
	if len(points) < minPoints {
		return line{}, errTooFewPoints
	}
	l := line{points: len(points)}
	l.measureSizes(points)
	if l.smallestSize == l.largestSize {
		return line{}, errTooFewPoints
	}
	tolerance := roundingTolerance * largestValue(points)
	l.fitSlope(points, tolerance)
	l.measureResiduals(points, tolerance)
	l.fitCurvature(points)
	return l, nil
}

// largestValue returns the largest absolute value of the points.
func largestValue(points []point) float64 {
	largest := 0.0
	for _, p := range points {
		largest = max(largest, math.Abs(p.y))
	}
	return largest
}

// measureSizes computes the means of the points and the spread of their sizes.
func (l *line) measureSizes(points []point) {
	count := float64(len(points))
	l.smallestSize = math.Inf(1)
	l.largestSize = math.Inf(-1)
	for _, p := range points {
		l.meanSize += p.x / count
		l.meanValue += p.y / count
		l.smallestSize = min(l.smallestSize, p.x)
		l.largestSize = max(l.largestSize, p.x)
	}
	for _, p := range points {
		l.sizeSquares += (p.x - l.meanSize) * (p.x - l.meanSize)
	}
}

// fitSlope computes slope and intercept. If the line changes by less than the tolerance over the measured sizes, its slope
// is set to zero.
func (l *line) fitSlope(points []point, tolerance float64) {
	products := 0.0
	for _, p := range points {
		products += (p.x - l.meanSize) * (p.y - l.meanValue)
	}
	l.slope = products / l.sizeSquares
	if math.Abs(l.slope)*(l.largestSize-l.smallestSize) < tolerance {
		l.slope = 0
	}
	l.intercept = l.meanValue - l.slope*l.meanSize
}

// measureResiduals computes the statistics of the residuals, with residuals below the tolerance as zero.
func (l *line) measureResiduals(points []point, tolerance float64) {
	squares := 0.0
	total := 0.0
	for _, p := range points {
		total += (p.y - l.meanValue) * (p.y - l.meanValue)
		residual := math.Abs(l.residual(p))
		if residual < tolerance {
			continue
		}
		squares += residual * residual
		l.largestResidual = max(l.largestResidual, residual)
	}
	l.residualDeviation = math.Sqrt(squares / float64(len(points)-lineParameters))
	l.slopeStandardError = l.residualDeviation / math.Sqrt(l.sizeSquares)
	l.rSquared = 1
	if squares > 0 {
		l.rSquared = 1 - squares/total
	}
}

// fitCurvature fits the residuals to the component of the squared size that is orthogonal to every straight line. It does
// nothing, and leaves curvatureFitted false, if there are too few points or distinct sizes.
func (l *line) fitCurvature(points []point) {
	if distinctSizes(points) < minSizes || len(points) <= minPoints {
		return
	}
	curve := l.orthogonalSquares(points)
	products := 0.0
	squares := 0.0
	for i, p := range points {
		products += curve[i] * l.residual(p)
		squares += curve[i] * curve[i]
	}
	l.curvature = products / squares
	remaining := 0.0
	for i, p := range points {
		residual := l.residual(p) - l.curvature*curve[i]
		remaining += residual * residual
	}
	deviation := math.Sqrt(remaining / float64(len(points)-curveParameters))
	l.curvatureStandardError = deviation / math.Sqrt(squares)
	l.curvatureFitted = true
}

func distinctSizes(points []point) int {
	sizes := map[float64]bool{}
	for _, p := range points {
		sizes[p.x] = true
	}
	return len(sizes)
}

// orthogonalSquares returns, for each point, the squared deviation of its size from the mean, minus the line fitted to these
// squares.
func (l *line) orthogonalSquares(points []point) []float64 {
	squares := make([]float64, len(points))
	for i, p := range points {
		squares[i] = (p.x - l.meanSize) * (p.x - l.meanSize)
	}
	mean := 0.0
	slope := 0.0
	for i, p := range points {
		mean += squares[i] / float64(len(squares))
		slope += squares[i] * (p.x - l.meanSize) / l.sizeSquares
	}
	for i, p := range points {
		squares[i] = squares[i] - mean - slope*(p.x-l.meanSize)
	}
	return squares
}

// predict returns the line's value at a size, and the standard error of that value.
func (l line) predict(size float64) (value, standardError float64) {
	distance := size - l.meanSize
	value = l.intercept + l.slope*size
	standardError = l.residualDeviation * math.Sqrt(1/float64(l.points)+distance*distance/l.sizeSquares)
	return value, standardError
}

// residual returns the vertical distance of a point from the line. It is negative for points below the line.
func (l line) residual(p point) float64 { return p.y - l.intercept - l.slope*p.x }

// isCurved reports whether the slope changes with the size: significantly, and by more than minSlopeChange.
func (l line) isCurved() bool {
	significant := math.Abs(l.curvature) > curvatureSignificance*l.curvatureStandardError
	return l.curvatureFitted && significant && math.Abs(l.slopeChange()) > minSlopeChange
}

// slopeChange returns the change of the slope from the smallest to the largest size, relative to the slope.
func (l line) slopeChange() float64 {
	return 2 * l.curvature * (l.largestSize - l.smallestSize) / math.Abs(l.slope)
}
