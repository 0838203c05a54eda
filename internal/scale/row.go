package scale

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Kind says whose cost a Row is.
type Kind string

// The kinds of a Row.
const (
	Real    Kind = "real"    // a process of the built program, in the mean over those that ran through the phase
	Hollow  Kind = "hollow"  // a hollow node, in the mean
	Virtual Kind = "virtual" // a member on the virtual clock, in the mean
	Server  Kind = "server"  // a control server, in the mean over those that ran through the phase
	Fleet   Kind = "fleet"   // the whole fleet
)

// Row is one figure: what a node, or a fleet, of a size showed in a phase.
type Row struct {
	Nodes  int // of the fleet
	Kind   Kind
	OfKind int // nodes of that kind
	Phase  string
	Cost   string
	Unit   string
	Value  float64
}

var header = []string{"nodes", "kind", "nodes_of_kind", "phase", "cost", "unit", "value"}

// CSV gives rows as a table, after comment lines that say where they come from.
func CSV(provenance []string, rows []Row) []byte {
	var out bytes.Buffer
	for _, line := range provenance {
		fmt.Fprintf(&out, "# %s\n", strings.ReplaceAll(line, "\n", " "))
	}
	w := csv.NewWriter(&out)
	w.Write(header)
	for _, r := range rows {
		w.Write([]string{strconv.Itoa(r.Nodes), string(r.Kind), strconv.Itoa(r.OfKind), r.Phase, r.Cost, r.Unit,
			strconv.FormatFloat(r.Value, 'g', 6, 64)})
	}
	w.Flush()
	return out.Bytes()
}

// ReadCSV reads a table that CSV gave, with its comment lines.
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
	r.Comment, r.FieldsPerRecord = '#', len(header)
	records, err := r.ReadAll()
	if err != nil {
		return nil, nil, err
	}
	if len(records) == 0 || strings.Join(records[0], ",") != strings.Join(header, ",") {
		return nil, nil, fmt.Errorf("no table of a scale run: wanted the columns %s", strings.Join(header, ","))
	}
	for _, record := range records[1:] {
		row := Row{Kind: Kind(record[1]), Phase: record[3], Cost: record[4], Unit: record[5]}
		var errs [3]error
		row.Nodes, errs[0] = strconv.Atoi(record[0])
		row.OfKind, errs[1] = strconv.Atoi(record[2])
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

// find gives the value of a row, and false where there is none.
func find(rows []Row, nodes int, kind Kind, phase, cost string) (float64, bool) {
	for _, r := range rows {
		if r.Nodes == nodes && r.Kind == kind && r.Phase == phase && r.Cost == cost {
			return r.Value, true
		}
	}
	return 0, false
}
