package lab

import (
	"context"
	"testing"

	"gorseledge/internal/emulator"
)

// sweptTable returns the CSV table of a sweep.
func sweptTable(t *testing.T, rate string, seeds []uint64, atOnce int) []byte {
	t.Helper()
	results, err := Sweep(context.Background(), smallScenario(t, rate), seeds, atOnce, emulator.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return CSV(results)
}

func TestSweepDoesNotDependOnRunsAtOnce(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4}
	if string(sweptTable(t, "5", seeds, 1)) != string(sweptTable(t, "5", seeds, 4)) {
		t.Error("runs at the same time differ from runs in turn")
	}
}

func TestCancelledSweepReturnsError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Sweep(ctx, smallScenario(t, "5"), []uint64{1, 2}, 1, emulator.Options{}); err == nil {
		t.Error("ran on after the context was cancelled")
	}
}
