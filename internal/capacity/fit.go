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
	meanOf         float64 // the figures
	enoughForABend bool
}

const (
	fewestPoints = 3     // two give a line without an error
	fewestSizes  = 3     // of different value, to see a bend
	sureBend     = 3     // standard errors by which a bend has to differ from none
	rounding     = 1e-12 // of the largest figure, under which a difference is one of rounding
	leastChange  = 0.01  // of the slope over the measured sizes, under which it is called steady
)

var errTooFew = errors.New("fewer than three figures, or all at one size")

// fitLine fits a line through points.
func fitLine(points []point) (l line, err error) {
	if l.points = len(points); l.points < fewestPoints {
		return l, errTooFew
	}
	l.measureSizes(points)
	if l.from == l.to {
		return l, errTooFew
	}
	alongXY, scale := 0.0, 0.0
	for _, p := range points {
		alongXY += (p.x - l.mean) * (p.y - l.meanOf)
		scale = max(scale, math.Abs(p.y))
	}
	if l.slope = alongXY / l.sumOfXX; math.Abs(l.slope)*(l.to-l.from) < rounding*scale {
		l.slope = 0
	}
	l.intercept = l.meanOf - l.slope*l.mean
	l.measureResiduals(points, rounding*scale)
	l.fitBend(points)
	return l, nil
}

// measureSizes takes where the points lie.
func (l *line) measureSizes(points []point) {
	n := float64(len(points))
	l.from, l.to = math.Inf(1), math.Inf(-1)
	for _, p := range points {
		l.mean += p.x / n
		l.meanOf += p.y / n
		l.from, l.to = min(l.from, p.x), max(l.to, p.x)
	}
	for _, p := range points {
		l.sumOfXX += (p.x - l.mean) * (p.x - l.mean)
	}
}

// measureResiduals takes what the line leaves over; what is under the least is rounding.
func (l *line) measureResiduals(points []point, least float64) {
	squares, total := 0.0, 0.0
	for _, p := range points {
		total += (p.y - l.meanOf) * (p.y - l.meanOf)
		if residual := math.Abs(l.residual(p)); residual >= least {
			squares += residual * residual
			l.largest = max(l.largest, residual)
		}
	}
	l.deviation = math.Sqrt(squares / float64(len(points)-2))
	l.slopeError = l.deviation / math.Sqrt(l.sumOfXX)
	l.determination = 1
	if squares > 0 {
		l.determination = 1 - squares/total
	}
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
