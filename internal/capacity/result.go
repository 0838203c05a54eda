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
	figured    bool // there is a slope or a measured figure
	line       line // where figures were fitted
	fitted     bool
	points     []point
	slope      float64
	size       quantity
	value      float64 // at the planned size
	deviation  float64 // standard error of it
	unit       string  // of the value
	measuredIn string  // unit of the figures
	slopeUnit  string
	budget     quantity
}

// reckon gives what a row comes to by the figures.
func (r Row) reckon(quantities map[string]quantity, tables map[string]*figures.Table) (result, error) {
	out := result{Row: r, size: quantities[r.Size], budget: quantities[r.Budget]}
	var err error
	switch {
	case r.Reckoned != nil:
		out.figured, out.slope, out.unit = true, r.Reckoned.Slope, r.Reckoned.Unit
		out.value = out.slope * out.size.value
	case r.From != nil && r.From.At:
		err = out.take(tables)
	case r.From != nil:
		err = out.fit(tables)
	}
	out.slopeUnit = cmp.Or(r.SlopeUnit, out.slopeUnit, out.unit)
	if err == nil && out.figured && r.Budget != "" && out.budget.unit != out.unit {
		err = fmt.Errorf("a budget in %s for a cost in %s", out.budget.unit, out.unit)
	}
	if err != nil {
		return out, fmt.Errorf("%s, %s: %w", r.Group, r.Name, err)
	}
	return out, nil
}

// find gives the figures that a row names, and their unit.
func (r *result) find(tables map[string]*figures.Table) error {
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
		r.unit, r.measuredIn = row.Unit, row.Unit
		r.points = append(r.points, point{row.Size, row.Value})
	}
	if len(r.points) == 0 {
		return fmt.Errorf("%s.csv has no figure of %s, %s, %s by %s", r.From.Table, r.From.Source, r.From.Phase, r.From.Cost,
			r.From.Dimension)
	}
	r.figured = true
	return nil
}

// fit reckons by a line through the figures.
func (r *result) fit(tables map[string]*figures.Table) (err error) {
	if err = r.find(tables); err != nil {
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
		r.value, r.deviation = r.slope*r.size.value, r.line.slopeError*r.size.value
		return nil
	}
	r.value, r.deviation = r.line.at(r.size.value)
	if r.flat() {
		r.value = max(r.value, r.line.meanOf) // a slope that may be none must not make a cost smaller than it was measured
	}
	return nil
}

// take takes the median of the figures at the planned size itself.
func (r *result) take(tables map[string]*figures.Table) error {
	if err := r.find(tables); err != nil {
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

// part is the part of the budget that is used, and false where there is none.
func (r result) part() (float64, bool) {
	if !r.figured || r.budget.value == 0 {
		return 0, false
	}
	return r.value / r.budget.value, true
}

// reach is the size at which the budget is used up; infinite where the cost does not grow to it, and false where nothing
// tells.
func (r result) reach() (float64, bool) {
	switch {
	case !r.figured && r.carried():
		return 0, false
	case !r.carried():
		return 0, true
	case r.budget.value == 0 || !r.fitted && r.Reckoned == nil:
		return 0, false
	case r.slope <= 0 || r.flat():
		return math.Inf(1), true
	}
	left := r.budget.value
	if r.fitted && !r.From.SlopeOnly {
		left -= r.line.intercept
	}
	return max(left/r.slope, 0), true
}

// flat tells that a fitted cost does not grow with the size, as far as can be told.
func (r result) flat() bool { return r.fitted && math.Abs(r.slope) < 2*r.line.slopeError }

// carried tells whether a mechanism carries the row.
func (r result) carried() bool {
	return len(r.Mechanism) < len(none) || r.Mechanism[:len(none)] != none
}
