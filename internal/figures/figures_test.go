package figures

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func sample() *Table {
	return &Table{Name: "sample", Provenance: Provenance{Command: "gorseledge-lab serving", Revision: "abc", Date: "2026-12-02",
		Cores: 8, Machine: "alone", Repeats: 2},
		Rows: []Row{{1, Real, "connections", 1000, "rest", "node.memory", "B", 1.5e7},
			{2, Virtual, "nodes", 860, "rest", "node.cpu", "us/s", 47.25}}}
}

func TestTableIsReadAsItWasWritten(t *testing.T) {
	want := sample()
	got, err := Parse("sample", want.CSV())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwritten\n%+v", got, want)
	}
}

func TestHereNamesEveryPartOfTheProvenance(t *testing.T) {
	if key := Here("gorseledge-lab", "alone", 1).missing(); key != "" {
		t.Errorf("%s is missing", key)
	}
}

func TestWrongTablesAreRefused(t *testing.T) {
	good := string(sample().CSV())
	for name, c := range map[string]struct{ from, to, want string }{
		"no revision":   {"# revision: abc\n", "", "revision is missing"},
		"no repeats":    {"# repeats: 2", "# repeats: 0", "repeats is missing"},
		"wrong cores":   {"# cores: 8", "# cores: many", "cores"},
		"other columns": {"unit,value", "value,unit", "the first row"},
		"no number":     {"47.25", "fast", "figure 2"},
		"not finite":    {"47.25", "NaN", "figure 2"},
		"source":        {"virtual", "guessed", `unknown source "guessed"`},
		"empty column":  {"node.memory", "", "an empty column"},
		"short row":     {",47.25", "", "wrong number of fields"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, c.from, c.to, 1)
			if text == good {
				t.Fatal("nothing was changed")
			}
			if _, err := Parse("sample", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}

func TestReadDirGivesTablesByName(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"a.csv", "b.csv", "c.txt"} {
		if err := os.WriteFile(filepath.Join(dir, name), sample().CSV(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tables, err := ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(tables) != 2 || tables["a"].Name != "a" || len(tables["b"].Rows) != 2 {
		t.Errorf("read %v", tables)
	}
	if err := os.WriteFile(filepath.Join(dir, "d.csv"), []byte("run\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadDir(dir); err == nil {
		t.Error("a table without provenance was taken")
	}
}

const scaleText = `# command: gorseledge-lab scale scale-control --seed 1
# revision: abc123
# date: 2026-12-02 05:06 UTC
# cores: 8
# machine: go1.26.8; beside it: other work
# repeats: 1
nodes,kind,nodes_of_kind,phase,cost,unit,value
40,hollow,34,start,cpu,cores,0.005
40,server,5,rest,sent_bytes.all,B/s,863.008
30,fleet,30,change-region-cut,in_force_by,part,1
`

func TestTableOfAScaleRun(t *testing.T) {
	got, err := Parse("scale", []byte(scaleText))
	if err != nil {
		t.Fatal(err)
	}
	want := &Table{Name: "scale", Provenance: Provenance{Command: "gorseledge-lab scale scale-control --seed 1", Revision: "abc123",
		Date: "2026-12-02 05:06 UTC", Cores: 8, Repeats: 1, Machine: "go1.26.8; beside it: other work"},
		Rows: []Row{{1, Hollow, "nodes", 40, "start", "cpu", "us/s", 5000}, {1, Server, "nodes", 40, "rest", "sent_bytes.all", "B/s", 863.008},
			{1, Fleet, "nodes", 30, "change-region-cut", "in_force_by", "1", 1}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	for name, change := range map[string][2]string{"no date": {"# date", "# day"}, "no number": {"863.008", "many"},
		"unknown kind": {"hollow", "ghost"}, "no size": {"\n30,", "\nfew,"}} {
		if _, err := Parse("scale", []byte(strings.Replace(scaleText, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A table that was put together of several runs names what differs among them.
func TestProvenanceOfSeveralRunsStandsSideBySide(t *testing.T) {
	several := strings.Replace(scaleText, "nodes,kind", "# command: gorseledge-lab scale scale-control --seed 1\n# revision: def456\n"+
		"# date: 2026-12-02 05:27 UTC\n# cores: 8\n# machine: go1.26.8; beside it: other work\n# repeats: 1\nnodes,kind", 1)
	got, err := Parse("scale", []byte(several))
	if err != nil {
		t.Fatal(err)
	}
	if got.Command != "gorseledge-lab scale scale-control --seed 1" || got.Revision != "abc123 / def456" ||
		got.Date != "2026-12-02 05:06 UTC / 2026-12-02 05:27 UTC" || got.Machine != "go1.26.8; beside it: other work" {
		t.Errorf("%+v", got.Provenance)
	}
}
