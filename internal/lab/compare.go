package lab

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"math"
	"strconv"
	"strings"
)

const (
	minCommonSeeds    = 2   // minimum number of common seeds; fewer give no standard error of the difference
	significantErrors = 2.0 // number of standard errors above which a difference is significant
)

// table is a table of results, parsed from CSV.
type table struct {
	seeds []string                      // in the order of the rows
	rows  map[string]map[string]float64 // values by seed and column
}

// comparison compares one column of two tables over the seeds that both contain.
type comparison struct {
	before, after float64 // means over the common seeds, from before and from after the change
	difference    float64 // mean of after less before
	standardError float64 // standard error of the difference
}

// Compare returns a Markdown table that compares two CSV tables column by column, with rows paired by seed. A difference is
// significant only if it exceeds twice the standard error of the paired differences. The tables need at least two seeds in
// common.
func Compare(before, after []byte) (string, error) {
	a, err := readTable(before)
	if err != nil {
		return "", fmt.Errorf("reading table before the change: %w", err)
	}
	b, err := readTable(after)
	if err != nil {
		return "", fmt.Errorf("reading table after the change: %w", err)
	}
	var out strings.Builder
	out.WriteString("| figure (simulated) | before | after | difference | error | |\n|---|---|---|---|---|---|\n")
	for _, column := range columns {
		c, err := compareColumn(a, b, column.name)
		if err != nil {
			return "", fmt.Errorf("comparing column %q: %w", column.name, err)
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", column.name, formatValue(c.before), formatValue(c.after),
			formatValue(c.difference), formatValue(c.standardError), c.significance())
	}
	return out.String(), nil
}

// significance returns the cell that states whether the difference is significant.
func (c comparison) significance() string {
	if c.difference != 0 && math.Abs(c.difference) > significantErrors*c.standardError {
		return "differs"
	}
	return "within the noise"
}

// compareColumn compares one column of two tables. A missing value counts as 0.
func compareColumn(a, b table, column string) (comparison, error) {
	var differences []float64
	sumBefore, sumAfter := 0.0, 0.0
	for _, seed := range a.seeds {
		row := a.rows[seed]
		other, common := b.rows[seed]
		if !common {
			continue
		}
		differences = append(differences, other[column]-row[column])
		sumBefore += row[column]
		sumAfter += other[column]
	}
	if len(differences) < minCommonSeeds {
		return comparison{}, fmt.Errorf("the tables must have at least %d seeds in common, got %d", minCommonSeeds, len(differences))
	}
	count := float64(len(differences))
	mean := (sumAfter - sumBefore) / count
	return comparison{
		before:        sumBefore / count,
		after:         sumAfter / count,
		difference:    mean,
		standardError: standardError(differences, mean),
	}, nil
}

// readTable parses a CSV table with a header row. If several rows have the same seed, the last one is used. An empty text
// is an empty table.
func readTable(text []byte) (table, error) {
	records, err := csv.NewReader(bytes.NewReader(text)).ReadAll()
	if err != nil {
		return table{}, err
	}
	t := table{rows: map[string]map[string]float64{}}
	if len(records) == 0 {
		return t, nil
	}
	head := records[0]
	for _, record := range records[1:] {
		seed := record[seedColumn]
		if _, known := t.rows[seed]; !known {
			t.seeds = append(t.seeds, seed)
		}
		t.rows[seed] = readValues(head, record)
	}
	return t, nil
}

// readValues returns the values of one record by column name. It skips cells that are not numbers.
func readValues(head, record []string) map[string]float64 {
	values := map[string]float64{}
	for i := len(leadingColumns); i < len(record); i++ {
		value, err := strconv.ParseFloat(record[i], 64)
		if err == nil {
			values[head[i]] = value
		}
	}
	return values
}
