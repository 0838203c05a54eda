package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// budgetLimit is the size at which a row's budget is used up.
type budgetLimit struct {
	result
	limit       float64 // infinite if the cost does not grow
	shareOfPlan float64 // limit divided by the planned size
}

// limitTable lists the rows with a known limit in ascending order of shareOfPlan. Rows without a mechanism come first.
func (e *evaluation) limitTable() string {
	var limits []budgetLimit
	for _, r := range e.results {
		size, known := r.sizeAtBudget()
		if !known {
			continue
		}
		limits = append(limits, budgetLimit{result: r, limit: size, shareOfPlan: r.planShare(size)})
	}
	slices.SortStableFunc(limits, func(a, b budgetLimit) int { return cmp.Compare(a.shareOfPlan, b.shareOfPlan) })
	var rows [][]string
	for _, limit := range limits {
		rows = append(rows, limit.cells())
	}
	return markdownTable([]string{"line", "planned size", "budget is used up at", "part of the planned size", "budget"}, rows)
}

// planShare returns a size divided by the planned size. It returns zero for a row without a mechanism and infinity for an
// infinite size.
func (r result) planShare(size float64) float64 {
	if !r.hasMechanism() {
		return 0
	}
	if math.IsInf(size, 1) {
		return size
	}
	return size / r.size.value
}

// cells returns the row's cells in limitTable.
func (b budgetLimit) cells() []string {
	name := strings.ReplaceAll(b.Group, "_", " ") + ": " + b.Name
	planned := "-"
	if b.size.value > 0 {
		planned = formatNumber(b.size.value)
	}
	if !b.hasMechanism() {
		return []string{name, planned, "-", "none", "no mechanism"}
	}
	budget := formatIn(b.budget.value, b.budget.unit)
	if math.IsInf(b.limit, 1) {
		return []string{name, planned, "no end seen", "-", budget}
	}
	return []string{name, planned, formatNumber(b.limit), formatRatio(b.shareOfPlan), budget}
}
