package lab

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"math"
	"strconv"

	"gorseledge/internal/emulator"
)

// valueScale sets the precision of a table: values are rounded to multiples of 1/valueScale, that is, to four decimal places.
const valueScale = 1e4

// column is one column of a table. The name is in the header of stored tables, so it must not change, even if it differs from
// the name of the field of emulator.Result that the column contains.
type column struct {
	name  string
	value func(r *emulator.Result) float64
}

// leadingColumns are the names of the columns that precede the values and identify a result.
var leadingColumns = []string{"scenario", "seed", "trace"}

// seedColumn is the index of the seed in leadingColumns.
const seedColumn = 1

// columns are the columns that contain values, in the order of the table.
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

// formatValue returns a value rounded to four decimal places, without trailing zeros.
func formatValue(value float64) string {
	return strconv.FormatFloat(math.Round(value*valueScale)/valueScale, 'f', -1, 64)
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
			row = append(row, formatValue(c.value(r)))
		}
		writeRow(w, row)
	}
	w.Flush()
	return buffer.Bytes()
}

// writeRow writes one row. It panics on an error, which does not occur because the writer's output is an in-memory buffer.
func writeRow(w *csv.Writer, row []string) {
	if err := w.Write(row); err != nil {
		panic(err)
	}
}

// Markdown returns a Markdown table with the mean of each value over the results and the standard error of the mean. The
// standard error is infinite for fewer than two results.
func Markdown(results []*emulator.Result) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "| figure (simulated) | mean of %d seeds | error of the mean |\n|---|---|---|\n", len(results))
	for _, c := range columns {
		values := make([]float64, 0, len(results))
		for _, r := range results {
			values = append(values, c.value(r))
		}
		mean := meanOf(values)
		fmt.Fprintf(&buffer, "| %s | %s | %s |\n", c.name, formatValue(mean), formatValue(standardError(values, mean)))
	}
	return buffer.Bytes()
}

// meanOf returns the mean of the values, or 0 if there are none.
func meanOf(values []float64) float64 {
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum / max(float64(len(values)), 1)
}

// standardError returns the standard error of the given mean of the values. It is infinite for fewer than two values.
func standardError(values []float64, mean float64) float64 {
	count := float64(len(values))
	if count < 2 {
		return math.Inf(1)
	}
	squares := 0.0
	for _, x := range values {
		squares += (x - mean) * (x - mean)
	}
	return math.Sqrt(squares / (count - 1) / count)
}
