package figures

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

const (
	commentPrefix     = "#"
	fileExtension     = ".csv"
	significantDigits = 6
)

// header names the columns of a table, in the order of Row's fields.
var header = []string{"run", "source", "dimension", "size", "phase", "cost", "unit", "value"}

// CSV encodes the table in the format that Parse reads. It rounds numbers to six significant digits.
func (t *Table) CSV() []byte {
	var output bytes.Buffer
	for _, entry := range t.Provenance.entries() {
		value := strings.ReplaceAll(entry.value, "\n", " ")
		fmt.Fprintf(&output, "%s %s: %s\n", commentPrefix, entry.key, value)
	}
	// Writes to a bytes.Buffer cannot fail.
	writer := csv.NewWriter(&output)
	writer.Write(header)
	for _, row := range t.Rows {
		writer.Write(row.record())
	}
	writer.Flush()
	return output.Bytes()
}

// record returns the row's columns in the order of header.
func (r Row) record() []string {
	return []string{
		strconv.Itoa(r.Run),
		string(r.Source),
		r.Dimension,
		formatNumber(r.Size),
		r.Phase,
		r.Cost,
		r.Unit,
		formatNumber(r.Value),
	}
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', significantDigits, 64) }

// Parse decodes a table in this package's format or in that of "gorseledge-lab scale". The name becomes the table's name
// and the prefix of each error. Parse rejects incomplete provenance, unknown columns and invalid rows.
func Parse(name string, text []byte) (*Table, error) {
	provenance, err := parseProvenance(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if key := provenance.missing(); key != "" {
		return nil, fmt.Errorf("%s: incomplete provenance: %s is missing", name, key)
	}
	rows, err := parseRows(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return &Table{Name: name, Provenance: provenance, Rows: rows}, nil
}

// parseRows reads and validates the rows below the comment lines.
func parseRows(text []byte) ([]Row, error) {
	reader := csv.NewReader(bytes.NewReader(text))
	reader.Comment = '#'
	records, err := reader.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("reading CSV: %w", err)
	}
	if len(records) == 0 {
		return nil, errHeader
	}
	parse, err := rowParser(records[0])
	if err != nil {
		return nil, err
	}
	var rows []Row
	for i, record := range records[1:] {
		row, err := parse(record)
		if err == nil {
			err = row.check()
		}
		if err != nil {
			return nil, fmt.Errorf("figure %d: %w", i+1, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// errHeader reports that a table has no header or an unknown one.
var errHeader = fmt.Errorf("the first row is not the header %s", strings.Join(header, ","))

// rowParser returns the function that parses rows with the given columns.
func rowParser(columns []string) (func(record []string) (Row, error), error) {
	if slices.Equal(columns, scaleHeader) {
		return parseScaleRow, nil
	}
	if slices.Equal(columns, header) {
		return parseRow, nil
	}
	return nil, errHeader
}

// parseRow parses a row with the columns of header.
func parseRow(record []string) (Row, error) {
	run, err := strconv.Atoi(record[0])
	if err != nil {
		return Row{}, fmt.Errorf("reading run: %w", err)
	}
	size, err := strconv.ParseFloat(record[3], 64)
	if err != nil {
		return Row{}, fmt.Errorf("reading size: %w", err)
	}
	value, err := strconv.ParseFloat(record[7], 64)
	if err != nil {
		return Row{}, fmt.Errorf("reading value: %w", err)
	}
	return Row{
		Run:       run,
		Source:    Source(record[1]),
		Dimension: record[2],
		Size:      size,
		Phase:     record[4],
		Cost:      record[5],
		Unit:      record[6],
		Value:     value,
	}, nil
}

// ReadDir reads every CSV file of a directory and returns the tables by name. It returns an error if a table is invalid, but
// not if there are no tables.
func ReadDir(dir string) (map[string]*Table, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+fileExtension))
	if err != nil {
		return nil, fmt.Errorf("listing tables in %s: %w", dir, err)
	}
	tables := map[string]*Table{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("reading table: %w", err)
		}
		name := strings.TrimSuffix(filepath.Base(path), fileExtension)
		table, err := Parse(name, text)
		if err != nil {
			return nil, err
		}
		tables[name] = table
	}
	return tables, nil
}
