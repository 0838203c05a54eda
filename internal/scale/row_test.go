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

// A table is read as it was written, with where it comes from.
func TestTableIsReadAsWritten(t *testing.T) {
	from := []string{"gorseledge-lab scale test, seed 1", "beside it: nothing"}
	text := CSV(from, someRows)
	gotFrom, got, err := ReadCSV(bytes.NewReader(text))
	if err != nil || !slices.Equal(got, someRows) || !slices.Equal(gotFrom, from) {
		t.Errorf("%v %v %v", gotFrom, got, err)
	}
	for _, wrong := range []string{"", "nodes,kind\n1,2\n", strings.Replace(string(text), "0.0003", "soon", 1)} {
		if _, _, err := ReadCSV(strings.NewReader(wrong)); err == nil {
			t.Errorf("read: %q", wrong)
		}
	}
}

// A line's fit gives back the line; what is left over is of the points that do not lie on it.
func TestFitGivesTheLine(t *testing.T) {
	f := fitLine([]float64{50, 100, 200, 860}, []float64{5 + 150, 5 + 300, 5 + 600, 5 + 2580})
	if math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.Base-5) > 1e-6 || f.LeftOver > 1e-6 {
		t.Errorf("%+v", f)
	}
	f = fitLine([]float64{0, 1, 2, 3}, []float64{1, -1, -1, 1})
	if math.Abs(f.Slope) > 1e-9 || math.Abs(f.LeftOver-1) > 1e-9 || math.Abs(f.Error-math.Sqrt(4.0/2/5)) > 1e-9 {
		t.Errorf("%+v", f)
	}
	if f := fitLine([]float64{7}, []float64{1}); !math.IsNaN(f.Slope) {
		t.Errorf("a slope from one point: %+v", f)
	}
}

// A chart has the points of its cost and phase only, with their fitted line.
func TestChartShowsTheFit(t *testing.T) {
	series := SeriesOf(someRows)
	if len(series) != 3 || !slices.Equal(series[0].Nodes, []float64{100, 200, 400}) {
		t.Fatalf("%+v", series)
	}
	text, err := Chart("rest", "cpu", series)
	if err != nil || !bytes.Contains(text, []byte("<svg")) || !bytes.Contains(text, []byte("left over")) {
		t.Errorf("%v: %.200s", err, text)
	}
}

// The printed table has a line for each size, kind and phase, and a dash for what was not measured.
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
