package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"gorseledge/internal/figures"
)

// groups are the tables of rows, in the page's order.
var groups = []string{"serving", "node_control", "control_machines", "discovery", "clients_and_hosts", "failures"}

// tables gives the text of each table of the page by its name.
func (e *evaluation) tables() map[string]string {
	out := map[string]string{"plan": e.planTable(), "derived": e.derivedTable(), "assumed": e.assumedTable(),
		"reach": e.limitTable(), "sources": e.sourcesTable(), "runs": runsTable(e.measured), "charts": e.chartsTable()}
	for _, group := range groups {
		out[group] = e.groupTable(group)
	}
	return out
}

func (e *evaluation) planTable() string {
	var rows [][]string
	for _, f := range e.plan.Size.figures() {
		rows = append(rows, []string{f.text, formatIn(f.value, f.unit)})
	}
	return markdownTable([]string{"plan", "figure"}, rows)
}

func (e *evaluation) derivedTable() string {
	var rows [][]string
	for _, d := range e.plan.derived() {
		if strings.Contains(d.derivation, "/") || strings.Contains(d.derivation, " x ") {
			rows = append(rows, []string{d.text, d.derivation, formatIn(d.value, d.unit)})
		}
	}
	return markdownTable([]string{"by division", "how", "figure"}, rows)
}

func (e *evaluation) assumedTable() string {
	var rows [][]string
	for _, a := range e.plan.Assumed {
		rows = append(rows, []string{strings.ReplaceAll(a.Name, "_", " "), formatIn(a.Value, a.Unit), a.Why})
	}
	return markdownTable([]string{"assumed", "figure", "why"}, rows)
}

// groupTable gives the rows of one role.
func (e *evaluation) groupTable(group string) string {
	var rows [][]string
	for _, r := range e.results {
		if r.Group == group {
			rows = append(rows, r.cells())
		}
	}
	return markdownTable([]string{"what", "carried by", "slope, ± its error", "run and fit", "at the planned size", "budget", "part used",
		"measured, extrapolated or assumed", "the slope itself"}, rows)
}

// cells are a row's on the page.
func (r result) cells() []string {
	slope, fit, value, budget, part, how, itself := "-", "-", "-", "not stated", "-", "-", "-"
	if r.budget.value > 0 {
		budget = formatIn(r.budget.value, r.budget.unit)
		if r.budget.derivation == "assumed" {
			budget += " (assumed)"
		}
	}
	if used, known := r.budgetShare(); known {
		part = formatPercent(used)
	}
	if r.hasValue {
		value = fmt.Sprintf("%s at %s", formatIn(r.value, r.unit), formatNumber(r.size.value))
		how = r.basis()
	}
	if r.AssumedSlope != nil {
		slope, fit = r.slopeText(), "none"
	}
	if r.From != nil {
		fit = fmt.Sprintf("`%s`, %s", r.From.Table, r.From.Source)
	}
	if r.fitted {
		slope = r.slopeText()
		if r.slope != 0 {
			slope += " ± " + formatPercent(math.Abs(r.line.slopeStandardError/r.slope))
		}
		value = fmt.Sprintf("%s ± %s at %s", formatIn(r.value, r.unit), formatIn(r.standardError, r.unit), formatNumber(r.size.value))
		fit += fmt.Sprintf(", %d figures, R2 %s, largest residual %s", r.line.points, formatNumber(r.line.rSquared),
			formatIn(r.line.largestResidual, r.measuredUnit))
		itself = r.linearity()
	}
	name := r.Name
	if r.Note != "" {
		name += " (" + r.Note + ")"
	}
	return []string{name, r.Mechanism, slope, fit, value, budget, part, how, itself}
}

// slopeText is the slope with what it is for.
func (r result) slopeText() string {
	text := formatIn(r.slope, r.slopeUnit)
	if r.slopeUnit == "us/s" {
		text = formatNumber(r.slope) + " us/s" // a part of a core is too small a figure for one more of something
	}
	if r.Per != "" {
		text += " " + r.Per
	}
	return text
}

// basis says whether the value was measured, extrapolated or assumed.
func (r result) basis() string {
	switch {
	case r.AssumedSlope != nil:
		return "assumed: " + r.AssumedSlope.Basis
	case r.From.MeasuredAtSize:
		return fmt.Sprintf("measured at %s", formatNumber(math.Ceil(r.size.value)))
	case r.From.SlopeOnly:
		return fmt.Sprintf("slope measured from %s to %s", formatNumber(r.line.smallestSize), formatNumber(r.line.largestSize))
	case r.size.value <= r.line.largestSize*1.0001 && r.size.value >= r.line.smallestSize:
		return fmt.Sprintf("measured from %s to %s", formatNumber(r.line.smallestSize), formatNumber(r.line.largestSize))
	case r.size.value < r.line.smallestSize:
		return fmt.Sprintf("extrapolated down from %s", formatNumber(r.line.smallestSize))
	}
	return fmt.Sprintf("extrapolated %s times, from %s", formatNumber(r.size.value/r.line.largestSize), formatNumber(r.line.largestSize))
}

// linearity says whether the slope changes with the size.
func (r result) linearity() string {
	change := r.line.slopeChange()
	switch {
	case r.isFlat():
		return "does not grow"
	case !r.line.curvatureFitted:
		return "too few sizes to tell"
	case !r.line.isCurved():
		return "steady"
	case change > 0:
		return fmt.Sprintf("rises by %s over the measured sizes", formatPercent(change))
	}
	return fmt.Sprintf("falls by %s over the measured sizes", formatPercent(min(-change, 1)))
}

// sourcesTable sets real and hollow nodes beside each other where both were measured.
func (e *evaluation) sourcesTable() string {
	var rows [][]string
	for _, c := range e.plan.Compare {
		rows = append(rows, e.compare(c)...)
	}
	if len(rows) == 0 {
		return "No cost was measured on real and hollow nodes at the same size yet.\n"
	}
	return markdownTable([]string{"run", "cost, phase", "size", "real", "hollow", "hollow / real"}, rows)
}

// compare gives a row for each size at which both kinds of node were measured by a cost.
func (e *evaluation) compare(c Comparison) (rows [][]string) {
	found := map[figures.Source]map[float64][]float64{figures.Real: {}, figures.Hollow: {}}
	unit, dimension := "", ""
	if table := e.measured[c.Table]; table != nil {
		for _, row := range table.Rows {
			if row.Phase == c.Phase && row.Cost == c.Cost && found[row.Source] != nil {
				found[row.Source][row.Size] = append(found[row.Source][row.Size], row.Value)
				unit, dimension = row.Unit, row.Dimension
			}
		}
	}
	for _, size := range slices.Sorted(maps.Keys(found[figures.Real])) {
		if len(found[figures.Hollow][size]) == 0 {
			continue
		}
		real, hollow := median(found[figures.Real][size]), median(found[figures.Hollow][size])
		ratio := "-"
		if real != 0 {
			ratio = formatNumber(hollow / real)
		}
		rows = append(rows, []string{"`" + c.Table + "`", c.Cost + ", " + c.Phase, formatNumber(size) + " " + dimension, formatIn(real, unit), formatIn(hollow, unit), ratio})
	}
	return rows
}

// runsTable says where the figures come from.
func runsTable(measured map[string]*figures.Table) string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		t := measured[name]
		rows = append(rows, []string{"`" + name + "`", "`" + t.Command + "`", t.Revision, t.Date, fmt.Sprint(t.Cores), t.Machine,
			fmt.Sprint(t.Repeats), fmt.Sprint(len(t.Rows))})
	}
	return markdownTable([]string{"run", "command", "revision", "date", "cores", "machine", "repeats", "figures"}, rows)
}

// chartsTable names the charts.
func (e *evaluation) chartsTable() string {
	var rows [][]string
	for _, d := range e.costCharts() {
		rows = append(rows, []string{d.title(), fmt.Sprintf("[%s](charts/%s)", d.fileName(), d.fileName())})
	}
	return markdownTable([]string{"cost against size, with its line and what is left of it", "chart"}, rows)
}
