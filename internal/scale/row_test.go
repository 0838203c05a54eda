package scale

import (
	"bytes"
	"math"
	"slices"
	"strings"
	"testing"
)

var someRows = []Row{
	{100, Hollow, 84, "rest", "cpu", "cores", 0.0003}, {200, Hollow, 184, "rest", "cpu", "cores", 0.0005},
	{400, Hollow, 384, "rest", "cpu", "cores", 0.0009}, {100, Real, 16, "rest", "cpu", "cores", 0.002},
	{100, Fleet, 100, "kill", "gone_last", "s", 18.6},
}

// Guards against a table whose rows or provenance change between writing and reading, and against malformed tables that are
// accepted.
func TestTableIsReadAsWritten(t *testing.T) {
	from := []string{"gorseledge-lab scale test, seed 1", "beside it: nothing"}
	text := CSV(from, someRows)
	gotFrom, got, err := ReadCSV(bytes.NewReader(text))
	if err != nil || !slices.Equal(got, someRows) || !slices.Equal(gotFrom, from) {
		t.Errorf("%v %v %v", gotFrom, got, err)
	}
	for _, wrong := range []string{"", "nodes,kind\n1,2\n", strings.Replace(string(text), "0.0003", "invalid", 1)} {
		if _, _, err := ReadCSV(strings.NewReader(wrong)); err == nil {
			t.Errorf("malformed table accepted: %q", wrong)
		}
	}
}

// Guards against a fit that does not recover an exact line, or whose residual or slope error is wrong for points off the line.
func TestFitRecoversTheLine(t *testing.T) {
	f := fitLine([]float64{50, 100, 200, 860}, []float64{5 + 150, 5 + 300, 5 + 600, 5 + 2580})
	if math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.Base-5) > 1e-6 || f.ResidualRMS > 1e-6 {
		t.Errorf("%+v", f)
	}
	f = fitLine([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1})
	if math.Abs(f.Slope) > 1e-9 || math.Abs(f.ResidualRMS-1) > 1e-9 || math.Abs(f.SlopeError-math.Sqrt(4.0/2/5)) > 1e-9 {
		t.Errorf("%+v", f)
	}
	if f := fitLine([]float64{7}, []float64{1}); !math.IsNaN(f.Slope) {
		t.Errorf("slope of a single point: %+v", f)
	}
}

// Guards against a chart without the fitted line, and series that are not grouped or sorted by size.
func TestChartShowsTheFit(t *testing.T) {
	series := GroupSeries(someRows)
	if len(series) != 3 || !slices.Equal(series[0].Nodes, []float64{100, 200, 400}) {
		t.Fatalf("%+v", series)
	}
	text, err := Chart("rest", "cpu", series)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("left over")) {
		t.Errorf("%v: %.200s", err, text)
	}
}

// Guards against a printed table without a line for a size, kind and phase, or without a dash for a cost that was not measured.
func TestPrintedTable(t *testing.T) {
	var out bytes.Buffer
	if err := WriteTable(&out, someRows); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 8 || !strings.Contains(out.String(), "18.6") ||
		!strings.Contains(out.String(), "-") {
		t.Errorf("%d lines:\n%s", lines, out.String())
	}
}
