package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gorseledge/internal/scale"
)

// command runs a command line and returns its output.
func command(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	top := rootCommand()
	top.SetArgs(arguments)
	top.SetOut(&out)
	top.SetErr(&out)
	err := top.ExecuteContext(t.Context())
	return out.String(), err
}

// An invalid script or size must fail before programs are built and started, with a single line that names the place.
func TestScaleRejectsInvalidScriptAndSize(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.toml")
	if err := os.WriteFile(path, []byte("name = \"bad\"\nsizes = [1]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := command(t, "scale", path)
	if err == nil || !strings.Contains(err.Error(), path+":2: sizes") || strings.Contains(err.Error(), "\n") {
		t.Errorf("error %v, want one line that begins with the file and line", err)
	}
	if _, err := command(t, "scale", "../../docs/scenarios/scale-sizes.toml", "--only", "77"); err == nil ||
		!strings.Contains(err.Error(), "77") {
		t.Errorf("--only with a size that the script does not have: error %v", err)
	}
}

// Merging tables must not lose rows or the provenance of a run, and must draw a chart of each cost with several sizes.
func TestScaleChartsMergesTables(t *testing.T) {
	dir := t.TempDir()
	var paths []string
	for _, size := range []int{50, 100, 200} {
		rows := []scale.Row{{Nodes: size, Kind: scale.Hollow, NodesOfKind: size - 16, Phase: "rest", Cost: "cpu", Unit: "cores", Value: 1e-4},
			{Nodes: size, Kind: scale.Hollow, NodesOfKind: size - 16, Phase: "rest", Cost: "sent_bytes.ping", Unit: "B/s", Value: 80}}
		path := filepath.Join(dir, strings.Repeat("x", size)+".csv")
		if err := os.WriteFile(path, scale.CSV([]string{"beside it: nothing"}, rows), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	out := filepath.Join(dir, "out")
	printed, err := command(t, append([]string{"scale", "charts", "--out", out}, paths...)...)
	if err != nil || !strings.Contains(printed, "200") {
		t.Fatalf("%v\n%s", err, printed)
	}
	in, err := os.Open(filepath.Join(out, "scale.csv"))
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	provenance, rows, err := scale.ReadCSV(in)
	if err != nil || len(provenance) != 3 || len(rows) != 6 {
		t.Errorf("%d lines of provenance and %d rows, error %v; want 3 and 6", len(provenance), len(rows), err)
	}
	charts, _ := filepath.Glob(filepath.Join(out, "*.svg"))
	if len(charts) != 1 || filepath.Base(charts[0]) != "scale-rest-cpu.svg" {
		t.Errorf("charts are %v, want only scale-rest-cpu.svg", charts)
	}
}
