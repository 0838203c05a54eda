package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// budgetLimit is the part of the planned size at which a row's budget is used up.
type budgetLimit struct {
	result
	size        float64 // infinite where no end is seen
	shareOfPlan float64
}

// limitTable sorts the rows by the part of the planned size that they reach; what nothing carries stands first.
func (e *evaluation) limitTable() string {
	var all []budgetLimit
	for _, r := range e.results {
		if size, known := r.sizeAtBudget(); known {
			all = append(all, budgetLimit{r, size, r.shareOfPlan(size)})
		}
	}
	slices.SortStableFunc(all, func(a, b budgetLimit) int { return cmp.Compare(a.shareOfPlan, b.shareOfPlan) })
	var rows [][]string
	for _, r := range all {
		rows = append(rows, r.cells())
	}
	return markdownTable([]string{"line", "planned size", "budget is used up at", "part of the planned size", "budget"}, rows)
}

// shareOfPlan is which part of the planned size a size is; none where nothing carries the row.
func (r result) shareOfPlan(size float64) float64 {
	switch {
	case !r.hasMechanism():
		return 0
	case math.IsInf(size, 1):
		return size
	}
	return size / r.size.value
}

// cells are a row's in the table of what breaks first.
func (r budgetLimit) cells() []string {
	planned, at, part, budget := "-", "no end seen", "-", formatIn(r.budget.value, r.budget.unit)
	if r.result.size.value > 0 {
		planned = formatNumber(r.result.size.value)
	}
	switch {
	case !r.hasMechanism():
		at, part, budget = "-", "none", "no mechanism"
	case !math.IsInf(r.size, 1):
		at, part = formatNumber(r.size), formatRatio(r.shareOfPlan)
	}
	return []string{strings.ReplaceAll(r.Group, "_", " ") + ": " + r.Name, planned, at, part, budget}
}
