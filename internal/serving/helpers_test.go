package serving

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gorseledge/internal/figures"
)

// nodeBinary is the path of the node binary built by TestMain.
var nodeBinary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the node binary, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "serving")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	nodeBinary = filepath.Join(dir, "gorseledge")
	build := exec.Command("go", "build", "-o", nodeBinary, "gorseledge/cmd/gorseledge")
	out, err := build.CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building the node: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// smallOptions returns valid options with few steps, few connections and short windows.
func smallOptions(t *testing.T) Options {
	t.Helper()
	return Options{
		Program:     nodeBinary,
		Dir:         t.TempDir(),
		Cores:       1,
		Repeats:     1,
		Window:      100 * time.Millisecond,
		LineBytes:   64,
		Connections: []int{10, 30},
		Flows:       []int{5},
		Carriers:    20,
		Rates:       []int{500},
		Listeners:   []int{8},
		Bursts:      3,
		Loaded:      8,
		Load:        500,
		Stall:       time.Hour, // longer than any test, so that no measurement is discarded
	}
}

// newRun returns a run with smallOptions, an empty table and a capacity of 100 connections.
func newRun(t *testing.T) *run {
	t.Helper()
	return &run{Options: smallOptions(t), table: &figures.Table{}, capacity: 100}
}

// valueOf returns the value of the row with the given size, phase and cost. It fails the test unless exactly one row matches.
func valueOf(t *testing.T, table *figures.Table, size float64, phase, cost string) float64 {
	t.Helper()
	var found []float64
	for _, row := range table.Rows {
		if row.Size == size && row.Phase == phase && row.Cost == cost {
			found = append(found, row.Value)
		}
	}
	if len(found) != 1 {
		t.Fatalf("got values %v for cost %s of phase %s at size %v, want exactly one row", found, cost, phase, size)
	}
	return found[0]
}
