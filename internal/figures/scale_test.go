package figures

import (
	"reflect"
	"strings"
	"testing"
)

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

// The capacity page uses tables of "gorseledge-lab scale" too; wrong columns or units would make its costs wrong.
func TestParseReadsScaleTable(t *testing.T) {
	got, err := Parse("scale", []byte(scaleText))
	if err != nil {
		t.Fatal(err)
	}
	want := &Table{
		Name: "scale",
		Provenance: Provenance{
			Command:  "gorseledge-lab scale scale-control --seed 1",
			Revision: "abc123",
			Date:     "2026-12-02 05:06 UTC",
			Cores:    8,
			Machine:  "go1.26.8; beside it: other work",
			Repeats:  1,
		},
		Rows: []Row{
			{1, Hollow, "nodes", 40, "start", "cpu", "us/s", 5000},
			{1, Server, "nodes", 40, "rest", "sent_bytes.all", "B/s", 863.008},
			{1, Fleet, "nodes", 30, "change-region-cut", "in_force_by", "1", 1},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("Parse returned\n%+v\nwant\n%+v", got, want)
	}
}

// Invalid tables of "gorseledge-lab scale" must be rejected like those of this package.
func TestParseRejectsInvalidScaleTable(t *testing.T) {
	for name, test := range map[string]struct{ from, to string }{
		"no date":       {"# date", "# day"},
		"invalid value": {"863.008", "many"},
		"unknown kind":  {"hollow", "ghost"},
		"invalid size":  {"\n30,", "\nfew,"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(scaleText, test.from, test.to, 1)
			if text == scaleText {
				t.Fatalf("the table does not contain %q", test.from)
			}
			if _, err := Parse("scale", []byte(text)); err == nil {
				t.Error("Parse accepted the invalid table")
			}
		})
	}
}

// A table that was assembled from several runs must state the provenance of all of them, not only that of one.
func TestParseJoinsProvenanceOfSeveralRuns(t *testing.T) {
	several := strings.Replace(scaleText, "nodes,kind", "# command: gorseledge-lab scale scale-control --seed 1\n# revision: def456\n"+
		"# date: 2026-12-02 05:27 UTC\n# cores: 8\n# machine: go1.26.8; beside it: other work\n# repeats: 1\nnodes,kind", 1)
	got, err := Parse("scale", []byte(several))
	if err != nil {
		t.Fatal(err)
	}
	if got.Command != "gorseledge-lab scale scale-control --seed 1" || got.Revision != "abc123 / def456" ||
		got.Date != "2026-12-02 05:06 UTC / 2026-12-02 05:27 UTC" || got.Machine != "go1.26.8; beside it: other work" {
		t.Errorf("joined provenance is %+v", got.Provenance)
	}
}
