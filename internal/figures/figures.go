// Package figures reads and writes tables of measured figures: one figure a row, with the provenance of the run in
// comment lines before them. docs/capacity/README.md states the form.
package figures

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Source says what a figure was measured on.
type Source string

// The sources of a figure.
const (
	Real    Source = "real"    // processes of the built program
	Hollow  Source = "hollow"  // a node's control side without clients and hosts
	Virtual Source = "virtual" // cores on the virtual clock
	Server  Source = "server"  // control servers, processes of the built program
	Fleet   Source = "fleet"   // a whole fleet of real and hollow nodes
)

var sources = []Source{Real, Hollow, Virtual, Server, Fleet}

// Row is one figure.
type Row struct {
	Run       int // the repeat: a seed or a number from 1 on
	Source    Source
	Dimension string  // what was varied, for example "nodes"
	Size      float64 // how many of it
	Phase     string  // what went on, for example "rest"
	Cost      string  // what was measured, with its role before a dot, for example "node.cpu"
	Unit      string
	Value     float64
}

// Provenance says how a table came about. Every field is required.
type Provenance struct {
	Command  string
	Revision string // of git
	Date     string // UTC
	Cores    int
	Machine  string // what it is, and what else ran on it
	Repeats  int
}

// Table is one file.
type Table struct {
	Name string // of the file, without directory and extension
	Provenance
	Rows []Row
}

var header = []string{"run", "source", "dimension", "size", "phase", "cost", "unit", "value"}

// Here gives the provenance of a run that begins now in this checkout.
func Here(command, machine string, repeats int) Provenance {
	return Provenance{Command: command, Revision: revision(), Date: time.Now().UTC().Format("2006-01-02 15:04 UTC"),
		Cores: runtime.NumCPU(), Machine: machine, Repeats: repeats}
}

// revision is the checkout's commit, marked where files differ from it.
func revision() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

// Add appends a row.
func (t *Table) Add(row Row) { t.Rows = append(t.Rows, row) }

// CSV writes the table.
func (t *Table) CSV() []byte {
	var out bytes.Buffer
	for _, entry := range t.Provenance.entries() {
		fmt.Fprintf(&out, "# %s: %s\n", entry.key, strings.ReplaceAll(entry.value, "\n", " "))
	}
	w := csv.NewWriter(&out)
	w.Write(header)
	for _, r := range t.Rows {
		w.Write([]string{strconv.Itoa(r.Run), string(r.Source), r.Dimension, number(r.Size), r.Phase, r.Cost, r.Unit,
			number(r.Value)})
	}
	w.Flush()
	return out.Bytes()
}

// number writes a figure with six significant digits.
func number(x float64) string { return strconv.FormatFloat(x, 'g', 6, 64) }

type entry struct{ key, value string }

func (p Provenance) entries() []entry {
	return []entry{{"command", p.Command}, {"revision", p.Revision}, {"date", p.Date},
		{"cores", strconv.Itoa(p.Cores)}, {"machine", p.Machine}, {"repeats", strconv.Itoa(p.Repeats)}}
}

// set takes one comment line's key and value; a key that is not known is a remark. A table that was put together of
// several has several of each: what differs is kept side by side.
func (p *Provenance) set(key, value string) (err error) {
	switch key {
	case "command":
		p.Command = beside(p.Command, value)
	case "revision":
		p.Revision = beside(p.Revision, value)
	case "date":
		p.Date = beside(p.Date, value)
	case "cores":
		p.Cores, err = strconv.Atoi(value)
	case "machine":
		p.Machine = beside(p.Machine, value)
	case "repeats":
		p.Repeats, err = strconv.Atoi(value)
	}
	return err
}

// beside adds a value to those that there are, once.
func beside(values, value string) string {
	switch {
	case values == "":
		return value
	case slices.Contains(strings.Split(values, " / "), value):
		return values
	}
	return values + " / " + value
}

// missing gives the first key that has no value.
func (p Provenance) missing() string {
	for _, entry := range p.entries() {
		if entry.value == "" || entry.value == "0" {
			return entry.key
		}
	}
	return ""
}

// Parse reads a table; name is for messages and becomes the table's.
func Parse(name string, text []byte) (*Table, error) {
	t := &Table{Name: name}
	if err := t.readComments(text); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if key := t.missing(); key != "" {
		return nil, fmt.Errorf("%s: no provenance: %s is missing", name, key)
	}
	r := csv.NewReader(bytes.NewReader(text))
	r.Comment = '#'
	records, err := r.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	parse := parseRow
	switch {
	case len(records) > 0 && slices.Equal(records[0], scaleHeader):
		parse = scaleRow
	case len(records) == 0 || !slices.Equal(records[0], header):
		return nil, fmt.Errorf("%s: the first row is not %s", name, strings.Join(header, ","))
	}
	for i, record := range records[1:] {
		row, err := parse(record)
		if err == nil {
			err = row.check()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: figure %d: %w", name, i+1, err)
		}
		t.Rows = append(t.Rows, row)
	}
	return t, nil
}

// readComments reads the provenance.
func (t *Table) readComments(text []byte) error {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		comment, found := strings.CutPrefix(lines.Text(), "#")
		if !found {
			break
		}
		key, value, _ := strings.Cut(comment, ":")
		if err := t.Provenance.set(strings.TrimSpace(key), strings.TrimSpace(value)); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	return lines.Err()
}

func parseRow(record []string) (r Row, err error) {
	if r.Run, err = strconv.Atoi(record[0]); err != nil {
		return r, err
	}
	r.Source, r.Dimension, r.Phase, r.Cost, r.Unit = Source(record[1]), record[2], record[4], record[5], record[6]
	if r.Size, err = strconv.ParseFloat(record[3], 64); err != nil {
		return r, err
	}
	if r.Value, err = strconv.ParseFloat(record[7], 64); err != nil {
		return r, err
	}
	return r, nil
}

// check tells what is wrong with a row.
func (r Row) check() error {
	switch {
	case !slices.Contains(sources, r.Source):
		return fmt.Errorf("unknown source %q", r.Source)
	case r.Dimension == "" || r.Phase == "" || r.Cost == "" || r.Unit == "":
		return errors.New("an empty column")
	case math.IsNaN(r.Size+r.Value) || math.IsInf(r.Size, 0) || math.IsInf(r.Value, 0):
		return fmt.Errorf("size %v, value %v", r.Size, r.Value)
	}
	return nil
}

// ReadDir reads all tables of a directory, by name.
func ReadDir(dir string) (map[string]*Table, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.csv"))
	if err != nil {
		return nil, err
	}
	tables := map[string]*Table{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(filepath.Base(path), ".csv")
		if tables[name], err = Parse(name, text); err != nil {
			return nil, err
		}
	}
	return tables, nil
}
