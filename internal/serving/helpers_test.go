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

// program is the path of the node that TestMain builds.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the node, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "serving")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "gorseledge")
	build := exec.Command("go", "build", "-o", program, "gorseledge/cmd/gorseledge")
	out, err := build.CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// smallOptions returns options with few steps of few connections.
func smallOptions(t *testing.T) Options {
	t.Helper()
	return Options{
		Program:     program,
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
		Stall:       time.Hour,
	}
}

// newRun returns a run with small options and an empty table.
func newRun(t *testing.T) *run {
	t.Helper()
	return &run{Options: smallOptions(t), table: &figures.Table{}, capacity: 100}
}

// figure returns the one value of a size, phase and cost, and fails the test if there is none or more than one.
func figure(t *testing.T, table *figures.Table, size float64, phase, cost string) float64 {
	t.Helper()
	var found []float64
	for _, row := range table.Rows {
		if row.Size == size && row.Phase == phase && row.Cost == cost {
			found = append(found, row.Value)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%s of %s at %v: %v, want one figure", cost, phase, size, found)
	}
	return found[0]
}
