package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gorseledge/internal/figures"
)

// result is what a row comes to.
type result struct {
	Row
	hasValue      bool // there is a slope or a measured figure
	line          line // where figures were fitted
	fitted        bool
	points        []point
	slope         float64
	size          quantity
	value         float64 // at the planned size
	standardError float64 // standard error of it
	unit          string  // of the value
	measuredUnit  string  // unit of the figures
	slopeUnit     string
	budget        quantity
}

// evaluate gives what a row comes to by the figures.
func (r Row) evaluate(quantities map[string]quantity, tables map[string]*figures.Table) (result, error) {
	out := result{Row: r, size: quantities[r.Size], budget: quantities[r.Budget]}
	var err error
	switch {
	case r.AssumedSlope != nil:
		out.hasValue, out.slope, out.unit = true, r.AssumedSlope.Slope, r.AssumedSlope.Unit
		out.value = out.slope * out.size.value
	case r.From != nil && r.From.MeasuredAtSize:
		err = out.useMedian(tables)
	case r.From != nil:
		err = out.fit(tables)
	}
	out.slopeUnit = cmp.Or(r.SlopeUnit, out.slopeUnit, out.unit)
	if err == nil && out.hasValue && r.Budget != "" && out.budget.unit != out.unit {
		err = fmt.Errorf("a budget in %s for a cost in %s", out.budget.unit, out.unit)
	}
	if err != nil {
		return out, fmt.Errorf("%s, %s: %w", r.Group, r.Name, err)
	}
	return out, nil
}

// selectFigures gives the figures that a row names, and their unit.
func (r *result) selectFigures(tables map[string]*figures.Table) error {
	table := tables[r.From.Table]
	if table == nil {
		return fmt.Errorf("no table %s.csv", r.From.Table)
	}
	for _, row := range table.Rows {
		if string(row.Source) != r.From.Source || row.Dimension != r.From.Dimension || row.Phase != r.From.Phase ||
			row.Cost != r.From.Cost {
			continue
		}
		if r.unit != "" && r.unit != row.Unit {
			return fmt.Errorf("%s.csv has it in %s and in %s", r.From.Table, r.unit, row.Unit)
		}
		r.unit, r.measuredUnit = row.Unit, row.Unit
		r.points = append(r.points, point{row.Size, row.Value})
	}
	if len(r.points) == 0 {
		return fmt.Errorf("%s.csv has no figure of %s, %s, %s by %s", r.From.Table, r.From.Source, r.From.Phase, r.From.Cost,
			r.From.Dimension)
	}
	r.hasValue = true
	return nil
}

// fit reckons by a line through the figures.
func (r *result) fit(tables map[string]*figures.Table) (err error) {
	if err = r.selectFigures(tables); err != nil {
		return err
	}
	if r.line, err = fitLine(r.points); err != nil {
		return err
	}
	r.fitted, r.slope = true, r.line.slope
	if r.From.SlopeOnly {
		if r.slopeUnit = r.unit; r.size.unit == "1/s" {
			r.unit += "/s"
		}
		r.value, r.standardError = r.slope*r.size.value, r.line.slopeStandardError*r.size.value
		return nil
	}
	r.value, r.standardError = r.line.predict(r.size.value)
	if r.isFlat() {
		r.value = max(r.value, r.line.meanValue) // a slope that may be none must not make a cost smaller than it was measured
	}
	return nil
}

// useMedian takes the median of the figures at the planned size itself.
func (r *result) useMedian(tables map[string]*figures.Table) error {
	if err := r.selectFigures(tables); err != nil {
		return err
	}
	var there []float64
	for _, p := range r.points {
		if p.x == math.Ceil(r.size.value) {
			there = append(there, p.y)
		}
	}
	if len(there) == 0 {
		return fmt.Errorf("%s.csv has no figure at %v", r.From.Table, math.Ceil(r.size.value))
	}
	r.value = median(there)
	return nil
}

func median(of []float64) float64 {
	of = slices.Sorted(slices.Values(of))
	middle := len(of) / 2
	if len(of)%2 == 1 {
		return of[middle]
	}
	return (of[middle-1] + of[middle]) / 2
}

// budgetShare is the part of the budget that is used, and false where there is none.
func (r result) budgetShare() (float64, bool) {
	if !r.hasValue || r.budget.value == 0 {
		return 0, false
	}
	return r.value / r.budget.value, true
}

// sizeAtBudget is the size at which the budget is used up; infinite where the cost does not grow to it, and false where nothing
// tells.
func (r result) sizeAtBudget() (float64, bool) {
	switch {
	case !r.hasValue && r.hasMechanism():
		return 0, false
	case !r.hasMechanism():
		return 0, true
	case r.budget.value == 0 || !r.fitted && r.AssumedSlope == nil:
		return 0, false
	case r.slope <= 0 || r.isFlat():
		return math.Inf(1), true
	}
	left := r.budget.value
	if r.fitted && !r.From.SlopeOnly {
		left -= r.line.intercept
	}
	return max(left/r.slope, 0), true
}

// isFlat tells that a fitted cost does not grow with the size, as far as can be told.
func (r result) isFlat() bool { return r.fitted && math.Abs(r.slope) < 2*r.line.slopeStandardError }

// hasMechanism tells whether a mechanism carries the row.
func (r result) hasMechanism() bool {
	return len(r.Mechanism) < len(noMechanism) || r.Mechanism[:len(noMechanism)] != noMechanism
}
