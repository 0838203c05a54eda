package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gorseledge/internal/figures"
)

// flatSlopeErrors is the number of standard errors below which a slope cannot be told from zero.
const flatSlopeErrors = 2

// result is the evaluation of one row of the plan.
type result struct {
	Row
	hasValue      bool     // whether value, slope and unit are known
	fitted        bool     // whether line is valid
	line          line     // the line through points
	points        []point  // the selected figures
	slope         float64  // in slopeUnit
	size          quantity // the planned size
	value         float64  // the cost at the planned size, in unit
	standardError float64  // of value; zero unless fitted
	unit          string
	measuredUnit  string // of the points
	slopeUnit     string
	budget        quantity // zero if the row has none
}

// evaluate computes a row's cost at the planned size. It returns an error if the tables lack its figures, if these do not
// determine a line, or if cost and budget have different units.
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

// computeValue sets the value by the row's method. A row without a method has no value.
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

// checkBudgetUnit returns an error if the row has a budget in another unit than its value.
func (r *result) checkBudgetUnit() error {
	if !r.hasValue || r.Budget == "" || r.budget.unit == r.unit {
		return nil
	}
	return fmt.Errorf("a budget in %s for a cost in %s", r.budget.unit, r.unit)
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

// selectFigures sets the points and their unit. It returns an error if there are none, or if their units differ.
func (r *result) selectFigures(tables map[string]*figures.Table) error {
	selector := r.From
	table := tables[selector.Table]
	if table == nil {
		return fmt.Errorf("no table %s.csv", selector.Table)
	}
	for _, row := range table.Rows {
		if !selector.matches(row) {
			continue
		}
		if r.unit != "" && r.unit != row.Unit {
			return fmt.Errorf("%s.csv has it in %s and in %s", selector.Table, r.unit, row.Unit)
		}
		r.unit = row.Unit
		r.points = append(r.points, point{row.Size, row.Value})
	}
	if len(r.points) == 0 {
		return fmt.Errorf("%s.csv has no figure of %s, %s, %s by %s",
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
		// A slope that may be zero must not make the cost smaller than it was measured.
		r.value = max(r.value, r.line.meanValue)
	}
	return nil
}

// useSlope multiplies the fitted slope by the planned size. A size that is a rate gives a cost each second.
func (r *result) useSlope() {
	r.slopeUnit = r.unit
	if r.size.unit == "1/s" {
		r.unit += "/s"
	}
	r.value = r.slope * r.size.value
	r.standardError = r.line.slopeStandardError * r.size.value
}

// useMedian sets the value to the median of the figures measured at the planned size, rounded up to a whole number.
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
		return fmt.Errorf("%s.csv has no figure at %v", r.From.Table, size)
	}
	r.value = median(values)
	return nil
}

// median returns the median of at least one value.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// budgetShare returns the part of the budget that is used, and false if value or budget is unknown.
func (r result) budgetShare() (float64, bool) {
	if !r.hasValue || r.budget.value == 0 {
		return 0, false
	}
	return r.value / r.budget.value, true
}

// sizeAtBudget returns the size at which the budget is used up, and false if it is unknown. The size is infinite if the
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

// isFlat reports whether a fitted slope cannot be told from zero.
func (r result) isFlat() bool {
	return r.fitted && math.Abs(r.slope) < flatSlopeErrors*r.line.slopeStandardError
}

// hasMechanism reports whether the row names a mechanism that exists.
func (r result) hasMechanism() bool { return !strings.HasPrefix(r.Mechanism, noMechanism) }
