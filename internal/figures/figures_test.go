package figures

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// sampleTable returns a valid table with two rows.
func sampleTable() *Table {
	return &Table{
		Name: "sample",
		Provenance: Provenance{
			Command:  "gorseledge-lab serving",
			Revision: "abc",
			Date:     "2026-12-02",
			Cores:    8,
			Machine:  "alone",
			Repeats:  2,
		},
		Rows: []Row{
			{1, Real, "connections", 1000, "rest", "node.memory", "B", 1.5e7},
			{2, Virtual, "nodes", 860, "rest", "node.cpu", "us/s", 47.25},
		},
	}
}

// A column that is written but not read back would lose a part of every figure.
func TestParseReadsWrittenTable(t *testing.T) {
	want := sampleTable()
	got, err := Parse("sample", want.CSV())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Parse returned\n%+v\nwritten was\n%+v", got, want)
	}
}

// A new table without one of the required keys could be written, but not read.
func TestNewProvenanceIsComplete(t *testing.T) {
	if key := NewProvenance("gorseledge-lab", "alone", 1).missing(); key != "" {
		t.Errorf("the new provenance has no value for %s", key)
	}
}

// Figures without provenance, or with invalid values, must not enter the capacity page.
func TestParseRejectsInvalidTable(t *testing.T) {
	good := string(sampleTable().CSV())
	for name, test := range map[string]struct{ from, to, want string }{
		"no revision":    {"# revision: abc\n", "", "revision is missing"},
		"no repeats":     {"# repeats: 2", "# repeats: 0", "repeats is missing"},
		"wrong cores":    {"# cores: 8", "# cores: many", "cores"},
		"other columns":  {"unit,value", "value,unit", "the first row"},
		"invalid number": {"47.25", "fast", "figure 2"},
		"not finite":     {"47.25", "NaN", "figure 2"},
		"unknown source": {"virtual", "guessed", `unknown source "guessed"`},
		"empty column":   {"node.memory", "", "dimension, phase, cost and unit must not be empty"},
		"short row":      {",47.25", "", "wrong number of fields"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, test.from, test.to, 1)
			if text == good {
				t.Fatalf("the table does not contain %q", test.from)
			}
			_, err := Parse("sample", []byte(text))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

// Other files in the directory must be ignored, but an invalid table must not be skipped.
func TestReadDirReturnsTablesByName(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a.csv", "b.csv", "c.txt"} {
		if err := os.WriteFile(filepath.Join(dir, name), sampleTable().CSV(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tables, err := ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(tables) != 2 || tables["a"].Name != "a" || len(tables["b"].Rows) != 2 {
		t.Errorf("ReadDir returned %v, want the tables a and b with two rows each", tables)
	}
	if err := os.WriteFile(filepath.Join(dir, "d.csv"), []byte("run\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadDir(dir); err == nil {
		t.Error("ReadDir accepted a table without provenance")
	}
}
