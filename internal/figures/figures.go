// Package figures reads and writes tables of measured figures. A table is a CSV file with one figure per row, preceded by
// comment lines that state the provenance of the figures; docs/capacity/README.md specifies the format.
//
// The package implements the format and its validation. It neither measures nor interprets figures.
package figures

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Source is the kind of system on which a figure was measured. The zero value is not valid.
type Source string

// The sources of a figure.
const (
	Real    Source = "real"    // node processes
	Hollow  Source = "hollow"  // hollow nodes: the control side of a node without clients and hosts
	Virtual Source = "virtual" // node cores simulated on a virtual clock
	Server  Source = "server"  // control server processes
	Fleet   Source = "fleet"   // a whole fleet of real and hollow nodes
)

var sources = []Source{Real, Hollow, Virtual, Server, Fleet}

// Row is one figure.
type Row struct {
	Run       int     // Run identifies the repeat: a seed, or a number that starts at 1.
	Source    Source  // Source is the kind of system that was measured.
	Dimension string  // Dimension is the quantity that was varied, for example "nodes".
	Size      float64 // Size is the value of Dimension; it is finite.
	Phase     string  // Phase is the part of the run, for example "rest".
	Cost      string  // Cost is the measured quantity, with the role as prefix if there is one, for example "node.cpu".
	Unit      string  // Unit is the unit of Value, for example "us/s", or "1" for a ratio.
	Value     float64 // Value is the figure itself; it is finite.
}

// Table is the decoded content of one CSV file.
type Table struct {
	Name string // Name is the file's name without directory and extension.
	Provenance
	Rows []Row
}

// Add appends a row without validating it.
func (t *Table) Add(row Row) { t.Rows = append(t.Rows, row) }

// check returns an error for the first invalid column of a row, or nil if the row is valid.
func (r Row) check() error {
	if !slices.Contains(sources, r.Source) {
		return fmt.Errorf("unknown source %q", r.Source)
	}
	if slices.Contains([]string{r.Dimension, r.Phase, r.Cost, r.Unit}, "") {
		return errors.New("dimension, phase, cost and unit must not be empty")
	}
	if !isFinite(r.Size) || !isFinite(r.Value) {
		return fmt.Errorf("size and value must be finite, got %v and %v", r.Size, r.Value)
	}
	return nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
