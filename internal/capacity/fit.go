package capacity

import (
	"errors"
	"math"
)

// point is one figure against the size at which it was measured.
type point struct{ x, y float64 }

// line is a straight line through points, by least squares, with what speaks for it and against it.
type line struct {
	points         int
	slope          float64
	slopeError     float64 // standard error
	intercept      float64
	deviation      float64 // standard deviation of the residuals
	largest        float64 // largest residual, without its sign
	determination  float64 // R2, the part of the variance that the line explains
	from, to       float64 // smallest and largest size
	bend           float64 // coefficient of the square of the size, if one is fitted as well
	bendError      float64 // standard error of it
	mean, sumOfXX  float64 // of the sizes, and of their squared distances from it
	enoughForABend bool
}

const (
	fewestPoints = 3    // two give a line without an error
	fewestSizes  = 3    // of different value, to see a bend
	sureBend     = 3    // standard errors by which a bend has to differ from none
	leastChange  = 0.01 // of the slope over the measured sizes, under which it is called steady
)

var errTooFew = errors.New("fewer than three figures, or all at one size")

// fitLine fits a line through points.
func fitLine(points []point) (l line, err error) {
	n := float64(len(points))
	if l.points = len(points); l.points < fewestPoints {
		return l, errTooFew
	}
	meanY := 0.0
	l.from, l.to = math.Inf(1), math.Inf(-1)
	for _, p := range points {
		l.mean += p.x / n
		meanY += p.y / n
		l.from, l.to = min(l.from, p.x), max(l.to, p.x)
	}
	sumOfXY, sumOfYY := 0.0, 0.0
	for _, p := range points {
		dx, dy := p.x-l.mean, p.y-meanY
		l.sumOfXX += dx * dx
		sumOfXY += dx * dy
		sumOfYY += dy * dy
	}
	if l.from == l.to {
		return l, errTooFew
	}
	l.slope = sumOfXY / l.sumOfXX
	l.intercept = meanY - l.slope*l.mean
	squares := 0.0
	for _, p := range points {
		residual := l.residual(p)
		squares += residual * residual
		l.largest = max(l.largest, math.Abs(residual))
	}
	l.deviation = math.Sqrt(squares / (n - 2))
	l.slopeError = l.deviation / math.Sqrt(l.sumOfXX)
	l.determination = 1
	if sumOfYY > 0 {
		l.determination = 1 - squares/sumOfYY
	}
	l.fitBend(points)
	return l, nil
}

// fitBend fits the residuals by the part of the squared size that no line explains.
func (l *line) fitBend(points []point) {
	sizes := map[float64]bool{}
	for _, p := range points {
		sizes[p.x] = true
	}
	if len(sizes) < fewestSizes || len(points) <= fewestPoints {
		return
	}
	square := make([]point, len(points))
	for i, p := range points {
		square[i] = point{p.x, (p.x - l.mean) * (p.x - l.mean)}
	}
	meanSquare, slopeOfSquare := 0.0, 0.0
	for _, p := range square {
		meanSquare += p.y / float64(len(square))
		slopeOfSquare += p.y * (p.x - l.mean) / l.sumOfXX
	}
	curved := func(i int) float64 { return square[i].y - meanSquare - slopeOfSquare*(square[i].x-l.mean) }
	along, sum := 0.0, 0.0
	for i, p := range points {
		along += curved(i) * l.residual(p)
		sum += curved(i) * curved(i)
	}
	l.bend = along / sum
	left := 0.0
	for i, p := range points {
		rest := l.residual(p) - l.bend*curved(i)
		left += rest * rest
	}
	l.bendError = math.Sqrt(left/float64(len(points)-3)) / math.Sqrt(sum)
	l.enoughForABend = true
}

// at gives the line at a size, and the standard error of it.
func (l line) at(x float64) (y, err float64) {
	away := x - l.mean
	return l.intercept + l.slope*x, l.deviation * math.Sqrt(1/float64(l.points)+away*away/l.sumOfXX)
}

// residual is how far a figure lies above the line.
func (l line) residual(p point) float64 { return p.y - l.intercept - l.slope*p.x }

// bends tells whether the slope itself changes with the size, beyond chance and beyond what matters.
func (l line) bends() bool {
	return l.enoughForABend && math.Abs(l.bend) > sureBend*l.bendError && math.Abs(l.slopeChange()) > leastChange
}

// slopeChange is by which part of itself the slope changes from the smallest size to the largest.
func (l line) slopeChange() float64 { return 2 * l.bend * (l.to - l.from) / math.Abs(l.slope) }
