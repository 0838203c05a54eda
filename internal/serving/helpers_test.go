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

// smallOptions returns valid options with few steps, few connections and short windows.
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

// newRun returns a run with smallOptions and an empty table.
func newRun(t *testing.T) *run {
	t.Helper()
	return &run{Options: smallOptions(t), table: &figures.Table{}, capacity: 100}
}

// figure returns the value of a size, phase and cost. It fails the test unless the table has exactly one.
func figure(t *testing.T, table *figures.Table, size float64, phase, cost string) float64 {
	t.Helper()
	var found []float64
	for _, row := range table.Rows {
		if row.Size == size && row.Phase == phase && row.Cost == cost {
			found = append(found, row.Value)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%s of phase %s at size %v has the figures %v, want exactly one", cost, phase, size, found)
	}
	return found[0]
}
