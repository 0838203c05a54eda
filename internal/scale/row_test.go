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

// Guards against rows or provenance that a table loses or alters between writing and reading, and against malformed tables
// that ReadCSV accepts.
func TestTableIsReadAsWritten(t *testing.T) {
	provenance := []string{"gorseledge-lab scale test, seed 1", "other load: none"}
	text := CSV(provenance, someRows)
	gotProvenance, got, err := ReadCSV(bytes.NewReader(text))
	if err != nil || !slices.Equal(got, someRows) || !slices.Equal(gotProvenance, provenance) {
		t.Errorf("ReadCSV returned provenance %q, rows %v, error %v; want %q, %v, no error", gotProvenance, got, err, provenance,
			someRows)
	}
	for _, malformed := range []string{"", "nodes,kind\n1,2\n", strings.Replace(string(text), "0.0003", "invalid", 1)} {
		if _, _, err := ReadCSV(strings.NewReader(malformed)); err == nil {
			t.Errorf("malformed table accepted: %q", malformed)
		}
	}
}

// Guards against a fit that does not recover an exact line, or whose residual or slope error is wrong for points off the line.
func TestFitRecoversTheLine(t *testing.T) {
	f := fitLine([]float64{50, 100, 200, 860}, []float64{5 + 150, 5 + 300, 5 + 600, 5 + 2580})
	if math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.Base-5) > 1e-6 || f.ResidualRMS > 1e-6 {
		t.Errorf("fit of exact points is %+v, want slope 3, base 5 and no residual", f)
	}
	// The squared residuals sum to 4 with 4-2 degrees of freedom, and the squared distances of x from its mean sum to 5.
	f = fitLine([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1})
	if math.Abs(f.Slope) > 1e-9 || math.Abs(f.ResidualRMS-1) > 1e-9 || math.Abs(f.SlopeError-math.Sqrt(4.0/2/5)) > 1e-9 {
		t.Errorf("fit is %+v, want slope 0, residual RMS 1 and slope error %v", f, math.Sqrt(4.0/2/5))
	}
	if f := fitLine([]float64{7}, []float64{1}); !math.IsNaN(f.Slope) {
		t.Errorf("slope of a single point: %+v", f)
	}
}

// Guards against rows that are not grouped by kind, phase and cost or not sorted by fleet size, and against a chart that
// omits the fitted line.
func TestChartShowsTheFit(t *testing.T) {
	series := GroupSeries(someRows)
	if len(series) != 3 || !slices.Equal(series[0].Nodes, []float64{100, 200, 400}) {
		t.Fatalf("series are %+v, want 3, the first with 100, 200 and 400 nodes", series)
	}
	text, err := Chart("rest", "cpu", series)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("residual")) {
		t.Errorf("Chart returned error %v and no SVG with a fitted line: %.200s", err, text)
	}
}

// Guards against a printed table that omits the line for a combination of size, kind and phase, or the dash for a cost that
// was not measured.
func TestPrintedTable(t *testing.T) {
	var out bytes.Buffer
	if err := WriteTable(&out, someRows); err != nil {
		t.Fatal(err)
	}
	// 8 lines: a header and 4 lines of nodes, an empty line, a header and 1 line of the fleet. No header or value contains a dash.
	if lines := strings.Count(out.String(), "\n"); lines != 8 || !strings.Contains(out.String(), "18.6") ||
		!strings.Contains(out.String(), "-") {
		t.Errorf("table has %d lines, want 8 lines with the value 18.6 and a dash:\n%s", lines, out.String())
	}
}
