package lab

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"math"
	"strconv"

	"gorseledge/internal/emulator"
)

// figureScale is the inverse of the step to which figures are rounded: four digits after the decimal point.
const figureScale = 1e4

// column is one column of a table. Its name is part of tables that are kept, and must not change.
type column struct {
	name   string
	figure func(r *emulator.Result) float64
}

// leadingColumns are the names of the columns before the figures.
var leadingColumns = []string{"scenario", "seed", "trace"}

// seedColumn is the index of the seed in leadingColumns.
const seedColumn = 1

// columns are the columns with figures, in the order of the table.
var columns = []column{
	{"service", func(r *emulator.Result) float64 { return r.ServedShare }},
	{"asked", func(r *emulator.Result) float64 { return float64(r.Requested) }},
	{"established", func(r *emulator.Result) float64 { return float64(r.Established) }},
	{"in target", func(r *emulator.Result) float64 { return float64(r.InTarget) }},
	{"rejected", func(r *emulator.Result) float64 { return float64(r.Rejected) }},
	{"aborted", func(r *emulator.Result) float64 { return float64(r.Aborted) }},
	{"unanswered", func(r *emulator.Result) float64 { return float64(r.Unanswered) }},
	{"moved", func(r *emulator.Result) float64 { return float64(r.Migrated) }},
	{"broken off", func(r *emulator.Result) float64 { return float64(r.Disconnected) }},
	{"setup p50 s", func(r *emulator.Result) float64 { return r.SetupQuantile(0.5) }},
	{"setup p99 s", func(r *emulator.Result) float64 { return r.SetupQuantile(0.99) }},
	{"list calls", func(r *emulator.Result) float64 { return float64(r.ListCalls) }},
	{"probes", func(r *emulator.Result) float64 { return float64(r.HealthChecks) }},
	{"store peak", func(r *emulator.Result) float64 { return r.StorePeak }},
	{"steps", func(r *emulator.Result) float64 { return float64(r.Steps) }},
	{"rules broken", func(r *emulator.Result) float64 { return float64(len(r.Violations)) }},
}

// formatFigure returns a figure rounded to four digits after the decimal point, without trailing zeros.
func formatFigure(figure float64) string {
	return strconv.FormatFloat(math.Round(figure*figureScale)/figureScale, 'f', -1, 64)
}

// CSV returns a CSV table with a header row and one row for each result.
func CSV(results []*emulator.Result) []byte {
	var buffer bytes.Buffer
	w := csv.NewWriter(&buffer)
	head := append([]string(nil), leadingColumns...)
	for _, c := range columns {
		head = append(head, c.name)
	}
	writeRow(w, head)
	for _, r := range results {
		row := []string{r.Scenario, strconv.FormatUint(r.Seed, 10), strconv.FormatUint(r.TraceHash, 16)}
		for _, c := range columns {
			row = append(row, formatFigure(c.figure(r)))
		}
		writeRow(w, row)
	}
	w.Flush()
	return buffer.Bytes()
}

// writeRow writes a row to a CSV writer whose output is a buffer, so that writing cannot fail.
func writeRow(w *csv.Writer, row []string) {
	if err := w.Write(row); err != nil {
		panic(err)
	}
}

// Markdown returns a Markdown table with the mean of each figure over the results and the standard error of the mean, which
// is infinite for fewer than two results.
func Markdown(results []*emulator.Result) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "| figure (simulated) | mean of %d seeds | error of the mean |\n|---|---|---|\n", len(results))
	for _, c := range columns {
		figures := make([]float64, 0, len(results))
		for _, r := range results {
			figures = append(figures, c.figure(r))
		}
		mean := meanOf(figures)
		fmt.Fprintf(&buffer, "| %s | %s | %s |\n", c.name, formatFigure(mean), formatFigure(standardError(figures, mean)))
	}
	return buffer.Bytes()
}

// meanOf returns the mean of the figures, or 0 if there are none.
func meanOf(figures []float64) float64 {
	sum := 0.0
	for _, x := range figures {
		sum += x
	}
	return sum / max(float64(len(figures)), 1)
}

// standardError returns the standard error of the given mean of the figures. It is infinite for fewer than two figures.
func standardError(figures []float64, mean float64) float64 {
	count := float64(len(figures))
	if count < 2 {
		return math.Inf(1)
	}
	squares := 0.0
	for _, x := range figures {
		squares += (x - mean) * (x - mean)
	}
	return math.Sqrt(squares / (count - 1) / count)
}
