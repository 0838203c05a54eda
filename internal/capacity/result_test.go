package capacity

import (
	"math"
	"strings"
	"testing"

	"gorseledge/internal/figures"
)

// measured returns a table of one cost, 100 bytes plus 50 bytes per node, with two figures per size that differ from it by
// 5 bytes.
func measured(sizes ...float64) map[string]*figures.Table {
	t := &figures.Table{Name: "rest", Provenance: figures.Provenance{Command: "c", Revision: "r", Date: "d", Cores: 1, Machine: "m",
		Repeats: 2}}
	for _, size := range sizes {
		for run, scatter := range []float64{-5, 5} {
			t.Add(figures.Row{Run: run + 1, Source: figures.Virtual, Dimension: "nodes", Size: size, Phase: "rest",
				Cost: "node.memory", Unit: "B", Value: 100 + 50*size + scatter})
		}
	}
	return map[string]*figures.Table{"rest": t}
}

func memoryRow() Row {
	return Row{Group: "node_control", Name: "memory", Mechanism: "a table", Size: "nodes", Per: "a node", Budget: "memory",
		From: &FigureSelector{Table: "rest", Source: "virtual", Dimension: "nodes", Phase: "rest", Cost: "node.memory"}}
}

var someQuantities = map[string]quantity{"nodes": {860, "1", ""}, "memory": {86e3, "B", ""}, "seconds": {6, "s", ""}}

// A cost, budget share or limit that does not follow from the fitted line would mislead the operators' planning.
func TestFittedRowIsEvaluatedAtPlannedSize(t *testing.T) {
	r, err := memoryRow().evaluate(someQuantities, measured(100, 200, 400))
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "value", r.value, 43100, 1e-6)
	checkNear(t, "slope", r.slope, 50, 1e-9)
	part, _ := r.budgetShare()
	checkNear(t, "used fraction of the budget", part, 43100/86e3, 1e-9)
	limit, _ := r.sizeAtBudget()
	checkNear(t, "size at which the budget is used up", limit, (86e3-100)/50, 1e-6)
	cells := strings.Join(r.cells(), " | ")
	for _, want := range []string{"50 B a node ±", "`rest`, virtual, 6 figures, R2 1, largest residual 5 B",
		"43.1 kB ±", "at 860", "86 kB", "50.1%", "extrapolated 2.15 times, from 400", "steady"} {
		if !strings.Contains(cells, want) {
			t.Errorf("the cells do not contain %q:\n%s", want, cells)
		}
	}
}

// The page must distinguish values between measured sizes from extrapolated ones.
func TestValueWithinTheMeasuredSizesIsNotExtrapolated(t *testing.T) {
	r, err := memoryRow().evaluate(someQuantities, measured(100, 400, 900))
	if err != nil {
		t.Fatal(err)
	}
	if got := r.basis(); got != "measured from 100 to 900" {
		t.Errorf("basis is %q", got)
	}
}

// The slope of a flat cost is only scatter; dividing the budget by it would result in an arbitrary limit.
func TestFlatCostHasNoLimit(t *testing.T) {
	tables := measured(100, 200, 400)
	for i := range tables["rest"].Rows {
		tables["rest"].Rows[i].Value -= 50 * tables["rest"].Rows[i].Size
	}
	r, err := memoryRow().evaluate(someQuantities, tables)
	if err != nil {
		t.Fatal(err)
	}
	if limit, known := r.sizeAtBudget(); !known || !math.IsInf(limit, 1) || r.linearity() != "does not grow" {
		t.Errorf("limit %v (known: %v), linearity %q; want an infinite limit", limit, known, r.linearity())
	}
}

// Extrapolating a slope that falls by chance would make the cost at the planned size smaller than every measured one.
func TestFlatFallingCostIsAtLeastItsMean(t *testing.T) {
	tables := measured(100, 200, 400)
	for i, y := range []float64{100, 40, 120, 30, 60, 50} {
		tables["rest"].Rows[i].Value = y
	}
	r, err := memoryRow().evaluate(someQuantities, tables)
	if err != nil {
		t.Fatal(err)
	}
	if !r.isFlat() || r.slope >= 0 {
		t.Fatalf("slope %v ± %v, want a flat falling one", r.slope, r.line.slopeStandardError)
	}
	checkNear(t, "value", r.value, 400.0/6, 1e-9)
}

// The relative error of a slope of zero is undefined and must not be shown as NaN.
func TestConstantCostShowsNoSlopeError(t *testing.T) {
	tables := measured(100, 200, 400)
	for i := range tables["rest"].Rows {
		tables["rest"].Rows[i].Value = 7
	}
	r, err := memoryRow().evaluate(someQuantities, tables)
	if err != nil {
		t.Fatal(err)
	}
	if cells := strings.Join(r.cells(), " | "); strings.Contains(cells, "NaN") || !strings.Contains(cells, "7 B ± 0 B at 860") {
		t.Error(cells)
	}
}

// A row with measured_at_size must not use figures of other sizes.
func TestMeasuredAtSizeUsesMedian(t *testing.T) {
	row := memoryRow()
	row.From.MeasuredAtSize = true
	r, err := row.evaluate(someQuantities, measured(430, 860))
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "value", r.value, 43100, 0)
	if _, err := row.evaluate(someQuantities, measured(430)); err == nil || !strings.Contains(err.Error(), "no figure at size 860") {
		t.Errorf("without a figure at the planned size: error %v", err)
	}
}

// With slope_only, the intercept must not be counted: it is the cost of what exists before the first unit is added. If the
// size is a rate, the cost is one per second and its unit must say so.
func TestSlopeOnlyMultipliesSlopeBySize(t *testing.T) {
	for _, c := range []struct{ sizeUnit, unit string }{{"1", "B"}, {"1/s", "B/s"}} {
		row := memoryRow()
		row.From.SlopeOnly, row.Budget = true, ""
		r, err := row.evaluate(map[string]quantity{"nodes": {860, c.sizeUnit, ""}}, measured(100, 200, 400))
		if err != nil {
			t.Fatal(err)
		}
		checkNear(t, "value", r.value, 43000, 1e-6)
		if r.unit != c.unit || r.slopeUnit != "B" || r.basis() != "slope measured from 100 to 400" {
			t.Errorf("unit %q, slope unit %q, basis %q", r.unit, r.slopeUnit, r.basis())
		}
	}
}

// The page must not show an assumed cost as a measured one.
func TestAssumedSlopeIsShownAsAssumed(t *testing.T) {
	row := memoryRow()
	row.From, row.AssumedSlope = nil, &AssumedSlope{Slope: 60, Unit: "B", Basis: "the page of another"}
	r, err := row.evaluate(someQuantities, nil)
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "value", r.value, 51600, 0)
	if got := r.basis(); got != "assumed: the page of another" {
		t.Errorf("basis is %q", got)
	}
}

// A row without a mechanism must be listed as the tightest limit, not left out.
func TestRowWithoutMechanismHasZeroLimit(t *testing.T) {
	row := memoryRow()
	row.From, row.Mechanism = nil, "none yet: a snapshot and deltas"
	r, err := row.evaluate(someQuantities, nil)
	if err != nil {
		t.Fatal(err)
	}
	if limit, known := r.sizeAtBudget(); limit != 0 || !known || r.hasMechanism() {
		t.Errorf("limit %v (known: %v), has a mechanism: %v", limit, known, r.hasMechanism())
	}
}

// A row whose figures are missing, incomplete or in another unit than its budget must not become an empty or wrong value.
func TestRowsWithoutFiguresAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Row, map[string]*figures.Table)
		want   string
	}{
		"no table":       {func(r *Row, _ map[string]*figures.Table) { r.From.Table = "gone" }, "table gone.csv does not exist"},
		"no such cost":   {func(r *Row, _ map[string]*figures.Table) { r.From.Cost = "node.unknown" }, "has no figure"},
		"another source": {func(r *Row, _ map[string]*figures.Table) { r.From.Source = "real" }, "has no figure"},
		"other unit": {func(r *Row, _ map[string]*figures.Table) { r.Budget = "seconds" },
			"the budget is in s, but the cost is in B"},
		"two units": {func(_ *Row, tables map[string]*figures.Table) { tables["rest"].Rows[0].Unit = "kB" },
			"different units: kB and B"},
		"one size": {func(_ *Row, tables map[string]*figures.Table) { tables["rest"].Rows = tables["rest"].Rows[:2] },
			errTooFewPoints.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			row, tables := memoryRow(), measured(100, 200, 400)
			c.change(&row, tables)
			if _, err := row.evaluate(someQuantities, tables); err == nil || !strings.Contains(err.Error(), c.want) ||
				!strings.Contains(err.Error(), "node_control, memory") {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func TestFormatInUsesThreeDigits(t *testing.T) {
	for _, c := range []struct {
		x    float64
		unit string
		want string
	}{{52325.58, "1", "52,300"}, {0.013, "1", "0.013"}, {45e6, "1", "45,000,000"}, {2.4512e9, "B", "2.45 GB"}, {15e3, "B/s", "15 kB/s"},
		{999, "B", "999 B"}, {455000, "us/s", "45.5% of a core"}, {0.43, "s", "430 ms"}, {6, "s", "6 s"}, {39.94, "us", "39.9 us"},
		{1234567, "us", "1.23 s"}, {1500, "us", "1.5 ms"}, {6.4e-5, "s", "64 us"}, {121.1, "1/s", "121 a second"}, {-1234.5, "periods", "-1,230 periods"}, {0, "1", "0"},
		{100, "1", "100"}, {1000, "1", "1,000"}} {
		if got := formatIn(c.x, c.unit); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.x, c.unit, got, c.want)
		}
	}
}

func TestSourcesTableComparesRealAndHollowNodes(t *testing.T) {
	tables := measured(100, 200)
	for i, source := range []figures.Source{figures.Real, figures.Hollow, figures.Real, figures.Virtual} {
		tables["rest"].Rows[i].Source = source
	}
	e := &evaluation{plan: &Plan{Compare: []Comparison{{"rest", "rest", "node.memory"}, {"rest", "rest", "node.unknown"}, {"gone", "rest", "node.memory"}}}, measured: tables}
	if text := e.sourcesTable(); !strings.Contains(text, "| `rest` | node.memory, rest | 100 nodes | 5.09 kB | 5.11 kB | 1 |") ||
		strings.Count(text, "\n") != 3 {
		t.Error(text)
	}
	e.measured = measured(100)
	if text := e.sourcesTable(); !strings.Contains(text, "No cost was measured") {
		t.Error(text)
	}
}
