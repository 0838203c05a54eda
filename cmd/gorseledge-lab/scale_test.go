package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gorseledge/internal/scale"
)

// command runs the command line and gives what it printed.
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

// A script that cannot be played is one line with file and line, before anything is built or started.
func TestScaleRefusesABadScript(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.toml")
	if err := os.WriteFile(path, []byte("name = \"bad\"\nsizes = [1]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := command(t, "scale", path)
	if err == nil || !strings.Contains(err.Error(), path+":2: sizes") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
	if _, err := command(t, "scale", "../../docs/scenarios/scale-sizes.toml", "--only", "77"); err == nil ||
		!strings.Contains(err.Error(), "77") {
		t.Errorf("a size that the script does not have: %v", err)
	}
}

// Tables of several runs become one, with the provenance of all and a chart of each cost that two sizes have.
func TestScaleChartsPutTablesTogether(t *testing.T) {
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
	from, rows, err := scale.ReadCSV(in)
	if err != nil || len(from) != 3 || len(rows) != 6 {
		t.Errorf("%d lines of provenance, %d rows, %v", len(from), len(rows), err)
	}
	charts, _ := filepath.Glob(filepath.Join(out, "*.svg"))
	if len(charts) != 1 || filepath.Base(charts[0]) != "scale-rest-cpu.svg" {
		t.Errorf("charts: %v", charts)
	}
}
