package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"gorseledge/internal/figures"
)

// extrapolationTolerance is the ratio of planned to largest measured size up to which a value counts as measured.
const extrapolationTolerance = 1.0001

// groups are the valid groups of rows, in the order of their tables on the page.
var groups = []string{"serving", "node_control", "control_machines", "discovery", "clients_and_hosts", "failures"}

// tables returns the text of each table of the page by its name.
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

// groupTable returns the table of the rows of one group.
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

// cells returns the row's cells in groupTable.
func (r result) cells() []string {
	share := "-"
	if used, known := r.budgetShare(); known {
		share = formatPercent(used)
	}
	return []string{r.label(), r.Mechanism, r.slopeCell(), r.fitCell(), r.valueCell(), r.budgetCell(), share, r.basisCell(),
		r.linearityCell()}
}

// label returns the row's name and, if it has one, its note.
func (r result) label() string {
	if r.Note == "" {
		return r.Name
	}
	return r.Name + " (" + r.Note + ")"
}

func (r result) slopeCell() string {
	if !r.fitted && r.AssumedSlope == nil {
		return "-"
	}
	text := r.slopeText()
	if r.fitted && r.slope != 0 {
		text += " ± " + formatPercent(math.Abs(r.line.slopeStandardError/r.slope))
	}
	return text
}

func (r result) fitCell() string {
	if r.From == nil {
		if r.AssumedSlope != nil {
			return "none"
		}
		return "-"
	}
	text := fmt.Sprintf("`%s`, %s", r.From.Table, r.From.Source)
	if !r.fitted {
		return text
	}
	return text + fmt.Sprintf(", %d figures, R2 %s, largest residual %s", r.line.points, formatNumber(r.line.rSquared),
		formatIn(r.line.largestResidual, r.measuredUnit))
}

func (r result) valueCell() string {
	if !r.hasValue {
		return "-"
	}
	text := formatIn(r.value, r.unit)
	if r.fitted {
		text += " ± " + formatIn(r.standardError, r.unit)
	}
	return text + " at " + formatNumber(r.size.value)
}

func (r result) budgetCell() string {
	if r.budget.value <= 0 {
		return "not stated"
	}
	text := formatIn(r.budget.value, r.budget.unit)
	if r.budget.derivation == assumedDerivation {
		text += " (assumed)"
	}
	return text
}

func (r result) basisCell() string {
	if !r.hasValue {
		return "-"
	}
	return r.basis()
}

func (r result) linearityCell() string {
	if !r.fitted {
		return "-"
	}
	return r.linearity()
}

// slopeText returns the slope with its unit and the unit of the size to which it refers.
func (r result) slopeText() string {
	text := formatIn(r.slope, r.slopeUnit)
	if r.slopeUnit == "us/s" {
		// The percentage of a core for one unit of the size would be too small to read.
		text = formatNumber(r.slope) + " us/s"
	}
	if r.Per != "" {
		text += " " + r.Per
	}
	return text
}

// basis states whether the value was measured, extrapolated or assumed. It must only be called if hasValue is true.
func (r result) basis() string {
	switch {
	case r.AssumedSlope != nil:
		return "assumed: " + r.AssumedSlope.Basis
	case r.From.MeasuredAtSize:
		return fmt.Sprintf("measured at %s", formatNumber(math.Ceil(r.size.value)))
	case r.From.SlopeOnly:
		return fmt.Sprintf("slope measured from %s to %s", formatNumber(r.line.smallestSize), formatNumber(r.line.largestSize))
	case r.size.value <= r.line.largestSize*extrapolationTolerance && r.size.value >= r.line.smallestSize:
		return fmt.Sprintf("measured from %s to %s", formatNumber(r.line.smallestSize), formatNumber(r.line.largestSize))
	case r.size.value < r.line.smallestSize:
		return fmt.Sprintf("extrapolated down from %s", formatNumber(r.line.smallestSize))
	}
	return fmt.Sprintf("extrapolated %s times, from %s", formatNumber(r.size.value/r.line.largestSize), formatNumber(r.line.largestSize))
}

// linearity states whether the slope changes with the size. It must only be called if fitted is true.
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

// sourcesTable compares the costs of real and hollow nodes at the sizes at which both were measured.
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

// compare returns a row of sourcesTable for each size at which both kinds of node were measured.
func (e *evaluation) compare(c Comparison) [][]string {
	table := e.measured[c.Table]
	if table == nil {
		return nil
	}
	values := map[figures.Source]map[float64][]float64{figures.Real: {}, figures.Hollow: {}}
	unit := ""
	dimension := ""
	for _, row := range table.Rows {
		bySize := values[row.Source]
		if bySize == nil || row.Phase != c.Phase || row.Cost != c.Cost {
			continue
		}
		bySize[row.Size] = append(bySize[row.Size], row.Value)
		unit = row.Unit
		dimension = row.Dimension
	}
	var rows [][]string
	for _, size := range slices.Sorted(maps.Keys(values[figures.Real])) {
		if len(values[figures.Hollow][size]) == 0 {
			continue
		}
		realNode := median(values[figures.Real][size])
		hollowNode := median(values[figures.Hollow][size])
		ratio := "-"
		if realNode != 0 {
			ratio = formatNumber(hollowNode / realNode)
		}
		rows = append(rows, []string{"`" + c.Table + "`", c.Cost + ", " + c.Phase, formatNumber(size) + " " + dimension,
			formatIn(realNode, unit), formatIn(hollowNode, unit), ratio})
	}
	return rows
}

// runsTable lists the provenance of the figures.
func runsTable(measured map[string]*figures.Table) string {
	var rows [][]string
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		t := measured[name]
		rows = append(rows, []string{"`" + name + "`", "`" + t.Command + "`", t.Revision, t.Date, fmt.Sprint(t.Cores), t.Machine,
			fmt.Sprint(t.Repeats), fmt.Sprint(len(t.Rows))})
	}
	return markdownTable([]string{"run", "command", "revision", "date", "cores", "machine", "repeats", "figures"}, rows)
}

// chartsTable lists the charts with links.
func (e *evaluation) chartsTable() string {
	var rows [][]string
	for _, d := range e.costCharts() {
		rows = append(rows, []string{d.title(), fmt.Sprintf("[%s](charts/%s)", d.fileName(), d.fileName())})
	}
	return markdownTable([]string{"cost against size, with its line and what is left of it", "chart"}, rows)
}
