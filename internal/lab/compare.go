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
	leastCommonSeeds  = 2   // for which a difference has an error
	significantErrors = 2.0 // standard errors over which a difference counts
)

// table is a table of results that was read from CSV.
type table struct {
	seeds []string                      // in the order of the rows
	rows  map[string]map[string]float64 // figures by seed and column
}

// comparison is what two tables say about one column, over the seeds that both have.
type comparison struct {
	before, after float64 // means
	difference    float64 // mean of after less before
	standardError float64 // of the difference
}

// Compare returns a table in Markdown that sets two CSV tables beside each other, figure by figure. Rows of the same seed
// belong together. A difference counts only if it is over twice the standard error of the differences. The tables need
// two seeds in common.
func Compare(before, after []byte) (string, error) {
	a, err := readTable(before)
	if err != nil {
		return "", fmt.Errorf("reading the table before: %w", err)
	}
	b, err := readTable(after)
	if err != nil {
		return "", fmt.Errorf("reading the table after: %w", err)
	}
	var out strings.Builder
	out.WriteString("| figure (simulated) | before | after | difference | error | |\n|---|---|---|---|---|---|\n")
	for _, column := range columns {
		c, err := compareColumn(a, b, column.name)
		if err != nil {
			return "", fmt.Errorf("comparing %s: %w", column.name, err)
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", column.name, formatFigure(c.before), formatFigure(c.after),
			formatFigure(c.difference), formatFigure(c.standardError), c.verdict())
	}
	return out.String(), nil
}

// verdict says whether the difference counts.
func (c comparison) verdict() string {
	if c.difference != 0 && math.Abs(c.difference) > significantErrors*c.standardError {
		return "differs"
	}
	return "within the noise"
}

// compareColumn compares one column of two tables. A figure that a table lacks is 0.
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
	if len(differences) < leastCommonSeeds {
		return comparison{}, fmt.Errorf("%d seeds in common, %d are the least", len(differences), leastCommonSeeds)
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

// readTable reads a CSV table. Of several rows with the same seed the last counts. A cell that is no number is left out.
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
		t.rows[seed] = readFigures(head, record)
	}
	return t, nil
}

// readFigures returns the figures of one record by their columns.
func readFigures(head, record []string) map[string]float64 {
	figures := map[string]float64{}
	for i := len(leadingColumns); i < len(record); i++ {
		figure, err := strconv.ParseFloat(record[i], 64)
		if err == nil {
			figures[head[i]] = figure
		}
	}
	return figures
}
