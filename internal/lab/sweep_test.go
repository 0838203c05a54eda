package lab

import (
	"context"
	"testing"

	"gorseledge/internal/emulator"
)

// sweptTable returns the CSV table of a sweep with the given rate of clients, seeds and limit of parallel runs.
func sweptTable(t *testing.T, rate string, seeds []uint64, limit int) []byte {
	t.Helper()
	results, err := Sweep(context.Background(), smallScenario(t, rate), seeds, limit, emulator.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return CSV(results)
}

// Guards against parallel runs that affect each other's results or their order.
func TestSweepResultsDoNotDependOnParallelism(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	if string(sweptTable(t, "5", seeds, 1)) != string(sweptTable(t, "5", seeds, 4)) {
		t.Error("the tables of 1 and of 4 runs at a time differ, want equal tables")
	}
}

// Guards against a sweep that continues after it was cancelled, or returns incomplete results without an error.
func TestCancelledSweepReturnsError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Sweep(ctx, smallScenario(t, "5"), []uint64{1, 2}, 1, emulator.Options{}); err == nil {
		t.Error("got no error after the context was cancelled, want one")
	}
}
