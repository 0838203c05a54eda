package figures

import "strconv"

// scaleHeader are the columns of a table of gorseledge-lab scale: it varies the number of nodes alone, and plays each size once.
var scaleHeader = []string{"nodes", "kind", "nodes_of_kind", "phase", "cost", "unit", "value"}

// scaleUnits are units that it gives a figure in, with this package's and the factor between them.
var scaleUnits = map[string]struct {
	unit   string
	factor float64
}{"cores": {"us/s", 1e6}, "part": {"1", 1}}

// scaleRow reads one figure of gorseledge-lab scale.
func scaleRow(record []string) (r Row, err error) {
	r = Row{Run: 1, Source: Source(record[1]), Dimension: "nodes", Phase: record[3], Cost: record[4], Unit: record[5]}
	if r.Size, err = strconv.ParseFloat(record[0], 64); err != nil {
		return r, err
	}
	if r.Value, err = strconv.ParseFloat(record[6], 64); err != nil {
		return r, err
	}
	if to, known := scaleUnits[r.Unit]; known {
		r.Unit, r.Value = to.unit, r.Value*to.factor
	}
	return r, nil
}
