package figures

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// scaleHeader are the columns of a table of gorselab scale: it varies the number of nodes alone, and plays each size once.
var scaleHeader = []string{"nodes", "kind", "nodes_of_kind", "phase", "cost", "unit", "value"}

// scaleUnits are units that it gives a figure in, with this package's and the factor between them.
var scaleUnits = map[string]struct {
	unit   string
	factor float64
}{"cores": {"us/s", 1e6}, "part": {"1", 1}}

// scaleRow reads one figure of gorselab scale.
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

var (
	scaleCommand = regexp.MustCompile(`^(gorselab scale .*), build(?: (\S+))?$`)
	scaleEnd     = regexp.MustCompile(`^ended (\S+); (.*)$`)
	scaleCores   = regexp.MustCompile(`\b(\d+) cores`)
)

// scaleComment takes what a comment line of gorselab scale says of the run; false where it is none.
func (p *Provenance) scaleComment(text string) bool {
	if found := scaleCommand.FindStringSubmatch(text); found != nil {
		p.Command, p.Revision, p.Repeats = found[1], found[2], 1
		if p.Revision == "" {
			p.Revision = "not noted"
		}
		return true
	}
	found := scaleEnd.FindStringSubmatch(text)
	if found == nil {
		return false
	}
	p.Date, p.Machine = strings.NewReplacer("T", " ", "Z", " UTC").Replace(found[1]), found[2]
	if cores := scaleCores.FindStringSubmatch(found[2]); cores != nil {
		fmt.Sscan(cores[1], &p.Cores)
	}
	return true
}
