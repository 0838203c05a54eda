package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gorseledge/internal/figures"
)

// flatSlopeErrors is the number of standard errors below which a slope does not differ significantly from zero.
const flatSlopeErrors = 2

// result is the evaluation of one row of the plan.
type result struct {
	Row
	hasValue      bool     // whether value and unit are known
	fitted        bool     // whether line is valid
	line          line     // the line through points
	points        []point  // the selected figures
	slope         float64  // in slopeUnit
	size          quantity // the planned size
	value         float64  // the cost at the planned size, in unit
	standardError float64  // standard error of value; zero if not fitted
	unit          string
	measuredUnit  string // unit of the points
	slopeUnit     string
	budget        quantity // zero if the row has none
}

// evaluate computes a row's cost at the planned size. It returns an error if the tables do not have its figures, if the
// figures do not determine a line, or if cost and budget have different units.
func (r Row) evaluate(quantities map[string]quantity, tables map[string]*figures.Table) (result, error) {
	out := result{Row: r, size: quantities[r.Size], budget: quantities[r.Budget]}
	err := out.computeValue(tables)
	if err == nil {
		err = out.checkBudgetUnit()
	}
	if err != nil {
		return out, fmt.Errorf("%s, %s: %w", r.Group, r.Name, err)
	}
	out.slopeUnit = cmp.Or(r.SlopeUnit, out.slopeUnit, out.unit)
	return out, nil
}

// computeValue sets the value from the row's figures or its assumed slope. A row without both has no value.
func (r *result) computeValue(tables map[string]*figures.Table) error {
	if r.AssumedSlope != nil {
		r.useAssumedSlope()
		return nil
	}
	if r.From == nil {
		return nil
	}
	if r.From.MeasuredAtSize {
		return r.useMedian(tables)
	}
	return r.fit(tables)
}

// checkBudgetUnit returns an error if value and budget are known but have different units.
func (r *result) checkBudgetUnit() error {
	if !r.hasValue || r.Budget == "" || r.budget.unit == r.unit {
		return nil
	}
	return fmt.Errorf("the budget is in %s, but the cost is in %s", r.budget.unit, r.unit)
}

// useAssumedSlope multiplies the assumed slope by the planned size.
func (r *result) useAssumedSlope() {
	r.hasValue = true
	r.slope = r.AssumedSlope.Slope
	r.unit = r.AssumedSlope.Unit
	r.value = r.slope * r.size.value
}

// matches reports whether the selector selects a figure.
func (s *FigureSelector) matches(row figures.Row) bool {
	return string(row.Source) == s.Source &&
		row.Dimension == s.Dimension &&
		row.Phase == s.Phase &&
		row.Cost == s.Cost
}

// selectFigures sets the points and their unit. It returns an error if no figure matches, or if their units differ.
func (r *result) selectFigures(tables map[string]*figures.Table) error {
	selector := r.From
	table := tables[selector.Table]
	if table == nil {
		return fmt.Errorf("table %s.csv does not exist", selector.Table)
	}
	for _, row := range table.Rows {
		if !selector.matches(row) {
			continue
		}
		if r.unit != "" && r.unit != row.Unit {
			return fmt.Errorf("%s.csv has figures in different units: %s and %s", selector.Table, r.unit, row.Unit)
		}
		r.unit = row.Unit
		r.points = append(r.points, point{row.Size, row.Value})
	}
	if len(r.points) == 0 {
		return fmt.Errorf("%s.csv has no figure with source %s, phase %s, cost %s and dimension %s",
			selector.Table, selector.Source, selector.Phase, selector.Cost, selector.Dimension)
	}
	r.measuredUnit = r.unit
	r.hasValue = true
	return nil
}

// fit fits a line to the selected figures and computes the value from it.
func (r *result) fit(tables map[string]*figures.Table) error {
	err := r.selectFigures(tables)
	if err != nil {
		return err
	}
	r.line, err = fitLine(r.points)
	if err != nil {
		return fmt.Errorf("fitting a line: %w", err)
	}
	r.fitted = true
	r.slope = r.line.slope
	if r.From.SlopeOnly {
		r.useSlope()
		return nil
	}
	r.value, r.standardError = r.line.predict(r.size.value)
	if r.isFlat() {
		// A falling slope that may be zero must not lower the cost below the measured one.
		r.value = max(r.value, r.line.meanValue)
	}
	return nil
}

// useSlope multiplies the fitted slope by the planned size. If the size is a rate, the result is a cost per second.
func (r *result) useSlope() {
	r.slopeUnit = r.unit
	if r.size.unit == "1/s" {
		r.unit += "/s"
	}
	r.value = r.slope * r.size.value
	r.standardError = r.line.slopeStandardError * r.size.value
}

// useMedian sets the value to the median of the figures that were measured at the planned size, after rounding that size up
// to a whole number.
func (r *result) useMedian(tables map[string]*figures.Table) error {
	if err := r.selectFigures(tables); err != nil {
		return err
	}
	size := math.Ceil(r.size.value)
	var values []float64
	for _, p := range r.points {
		if p.x == size {
			values = append(values, p.y)
		}
	}
	if len(values) == 0 {
		return fmt.Errorf("%s.csv has no figure at size %v", r.From.Table, size)
	}
	r.value = median(values)
	return nil
}

// median returns the median of values, which must not be empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// budgetShare returns the used fraction of the budget. It returns false if value or budget is unknown.
func (r result) budgetShare() (float64, bool) {
	if !r.hasValue || r.budget.value == 0 {
		return 0, false
	}
	return r.value / r.budget.value, true
}

// sizeAtBudget returns the size at which the budget is used up. It returns false if that size is unknown, infinity if the
// cost does not grow, and zero if the row has no mechanism.
func (r result) sizeAtBudget() (float64, bool) {
	if !r.hasMechanism() {
		return 0, true
	}
	hasSlope := r.fitted || r.AssumedSlope != nil
	if !r.hasValue || r.budget.value == 0 || !hasSlope {
		return 0, false
	}
	if r.slope <= 0 || r.isFlat() {
		return math.Inf(1), true
	}
	available := r.budget.value
	if r.fitted && !r.From.SlopeOnly {
		available -= r.line.intercept
	}
	return max(available/r.slope, 0), true
}

// isFlat reports whether a fitted slope does not differ significantly from zero.
func (r result) isFlat() bool {
	return r.fitted && math.Abs(r.slope) < flatSlopeErrors*r.line.slopeStandardError
}

// hasMechanism reports whether the row's mechanism exists.
func (r result) hasMechanism() bool { return !strings.HasPrefix(r.Mechanism, noMechanism) }
