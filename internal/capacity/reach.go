package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// reached is the part of the planned size at which a row's budget is used up.
type reached struct {
	result
	size float64 // infinite where no end is seen
	part float64
}

// reachTable sorts the rows by the part of the planned size that they reach; what nothing carries stands first.
func (e *evaluation) reachTable() string {
	var all []reached
	for _, r := range e.results {
		if size, known := r.reach(); known {
			all = append(all, reached{r, size, r.partReached(size)})
		}
	}
	slices.SortStableFunc(all, func(a, b reached) int { return cmp.Compare(a.part, b.part) })
	var rows [][]string
	for _, r := range all {
		rows = append(rows, r.cells())
	}
	return markdown([]string{"line", "planned size", "budget is used up at", "part of the planned size", "budget"}, rows)
}

// partReached is which part of the planned size a size is; none where nothing carries the row.
func (r result) partReached(size float64) float64 {
	switch {
	case !r.carried():
		return 0
	case math.IsInf(size, 1):
		return size
	}
	return size / r.size.value
}

// cells are a row's in the table of what breaks first.
func (r reached) cells() []string {
	planned, at, part, budget := "-", "no end seen", "-", in(r.budget.value, r.budget.unit)
	if r.result.size.value > 0 {
		planned = number(r.result.size.value)
	}
	switch {
	case !r.carried():
		at, part, budget = "-", "none", "no mechanism"
	case !math.IsInf(r.size, 1):
		at, part = number(r.size), times(r.part)
	}
	return []string{strings.ReplaceAll(r.Group, "_", " ") + ": " + r.Name, planned, at, part, budget}
}
