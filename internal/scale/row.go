package scale

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Kind says what kind of process or member a Row's cost belongs to.
type Kind string

// The kinds of a Row.
const (
	Real    Kind = "real"    // a real node; mean over those that ran throughout the phase
	Hollow  Kind = "hollow"  // a hollow node; mean over all
	Virtual Kind = "virtual" // a member on the virtual clock; mean over all
	Server  Kind = "server"  // a control server; mean over those that ran throughout the phase
	Fleet   Kind = "fleet"   // the whole fleet
)

// Row is one figure of a phase, measured in a fleet of one size.
type Row struct {
	Nodes       int // size of the fleet
	Kind        Kind
	NodesOfKind int // number of nodes of the kind
	Phase       string
	Cost        string
	Unit        string
	Value       float64
}

var csvHeader = []string{"nodes", "kind", "nodes_of_kind", "phase", "cost", "unit", "value"}

// CSV returns rows as a CSV table that is preceded by provenance as comment lines.
func CSV(provenance []string, rows []Row) []byte {
	var out bytes.Buffer
	for _, line := range provenance {
		fmt.Fprintf(&out, "# %s\n", strings.ReplaceAll(line, "\n", " "))
	}
	w := csv.NewWriter(&out)
	w.Write(csvHeader)
	for _, r := range rows {
		w.Write([]string{strconv.Itoa(r.Nodes), string(r.Kind), strconv.Itoa(r.NodesOfKind), r.Phase, r.Cost, r.Unit,
			strconv.FormatFloat(r.Value, 'g', 6, 64)})
	}
	w.Flush()
	return out.Bytes()
}

// ReadCSV reads a table that CSV wrote, and returns its comment lines as provenance.
func ReadCSV(in io.Reader) (provenance []string, rows []Row, err error) {
	text, err := io.ReadAll(in)
	if err != nil {
		return nil, nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, comment := strings.CutPrefix(line, "# "); comment {
			provenance = append(provenance, rest)
		}
	}
	r := csv.NewReader(bytes.NewReader(text))
	r.Comment, r.FieldsPerRecord = '#', len(csvHeader)
	records, err := r.ReadAll()
	if err != nil {
		return nil, nil, err
	}
	if len(records) == 0 || strings.Join(records[0], ",") != strings.Join(csvHeader, ",") {
		return nil, nil, fmt.Errorf("not a table of a scale run: want the columns %s", strings.Join(csvHeader, ","))
	}
	for _, record := range records[1:] {
		row := Row{Kind: Kind(record[1]), Phase: record[3], Cost: record[4], Unit: record[5]}
		var errs [3]error
		row.Nodes, errs[0] = strconv.Atoi(record[0])
		row.NodesOfKind, errs[1] = strconv.Atoi(record[2])
		row.Value, errs[2] = strconv.ParseFloat(record[6], 64)
		for _, err := range errs {
			if err != nil {
				return nil, nil, err
			}
		}
		rows = append(rows, row)
	}
	return provenance, rows, nil
}

// findValue returns the value of the first row with the given size, kind, phase and cost, and false if there is no such row.
func findValue(rows []Row, nodes int, kind Kind, phase, cost string) (float64, bool) {
	for _, r := range rows {
		if r.Nodes == nodes && r.Kind == kind && r.Phase == phase && r.Cost == cost {
			return r.Value, true
		}
	}
	return 0, false
}
