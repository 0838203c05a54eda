// Package figures reads and writes tables of measured figures. A table is a CSV file with one figure a row, preceded by
// comment lines that state the provenance of the run; docs/capacity/README.md specifies the format.
//
// The package owns the format and its validation. It neither measures nor interprets figures.
package figures

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Source states what a figure was measured on. The zero value is not a valid source.
type Source string

// The sources of a figure.
const (
	Real    Source = "real"    // processes of the built program
	Hollow  Source = "hollow"  // a node's control side without clients and hosts
	Virtual Source = "virtual" // node cores on the virtual clock
	Server  Source = "server"  // control servers, processes of the built program
	Fleet   Source = "fleet"   // a whole fleet of real and hollow nodes
)

var sources = []Source{Real, Hollow, Virtual, Server, Fleet}

// Row is one figure.
type Row struct {
	Run       int     // Run is the repeat: a seed, or a number from 1 on.
	Source    Source  // Source states what the figure was measured on.
	Dimension string  // Dimension is the quantity that was varied, for example "nodes".
	Size      float64 // Size is the amount of Dimension; it is finite.
	Phase     string  // Phase is the part of the run, for example "rest".
	Cost      string  // Cost is what was measured, with its role before a dot, for example "node.cpu".
	Unit      string  // Unit is the unit of Value, for example "us/s", or "1" for a ratio.
	Value     float64 // Value is the figure itself; it is finite.
}

// Table is the content of one file.
type Table struct {
	Name string // Name is the file's name without directory and extension.
	Provenance
	Rows []Row
}

// Add appends a row without validating it.
func (t *Table) Add(row Row) { t.Rows = append(t.Rows, row) }

// check returns an error that names the first fault of a row, or nil for a valid row.
func (r Row) check() error {
	if !slices.Contains(sources, r.Source) {
		return fmt.Errorf("unknown source %q", r.Source)
	}
	if slices.Contains([]string{r.Dimension, r.Phase, r.Cost, r.Unit}, "") {
		return errors.New("an empty column")
	}
	if !isFinite(r.Size) || !isFinite(r.Value) {
		return fmt.Errorf("size %v, value %v", r.Size, r.Value)
	}
	return nil
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
