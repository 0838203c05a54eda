package serving

import (
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gorseledge/internal/figures"
)

// Guards against a step that leaves out a cost, which would go unnoticed until the capacity page is built, and against files
// that stay in the directory.
func TestEachStepAddsItsFigures(t *testing.T) {
	defer goleak.VerifyNone(t)
	table := &figures.Table{}
	o := smallOptions(t)
	if err := Measure(t.Context(), o, table); err != nil {
		t.Fatal(err)
	}
	few := valueOf(t, table, 10, "held", "node.descriptors")
	many := valueOf(t, table, 30, "held", "node.descriptors")
	if many-few != 20*descriptorsPerFlow {
		t.Errorf("20 more connections used %v descriptors, want %d", many-few, 20*descriptorsPerFlow)
	}
	for _, c := range []struct {
		size        float64
		phase, cost string
	}{
		{10, "held", "node.memory"},
		{5, "flows", "node.cpu_total"},
		{500, "deliver", "node.cpu"},
		{500, "deliver", "deliveries"},
		{500, "deliver", "delivery.p50"},
		{8, "burst", "burst.last_p99"},
		{8, "burst_with_load", "burst.each_p50"},
	} {
		t.Run(c.phase+"/"+c.cost, func(t *testing.T) {
			value := valueOf(t, table, c.size, c.phase, c.cost)
			if value <= 0 {
				t.Errorf("%s of phase %s at size %v is %v, want more than 0", c.cost, c.phase, c.size, value)
			}
		})
	}
	each := valueOf(t, table, 8, "burst", "burst.each_p99")
	last := valueOf(t, table, 8, "burst", "burst.last_p99")
	if each > last {
		t.Errorf("the 99th percentile of all deliveries is %v s, want at most that of the last deliveries, %v s", each, last)
	}
	left, err := os.ReadDir(o.Dir)
	if err != nil || len(left) > 0 {
		t.Errorf("the directory contains %v (error %v), want it empty", left, err)
	}
}

// A measurement that is cancelled in the middle of a step must end its node process and its goroutines.
func TestCancelledMeasurementLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r := newRun(t)
	r.Window = time.Hour
	r.Connections = []int{10}
	var pid int
	err := r.withNode(ctx, 1, func(ctx context.Context, b *bench, repeat int) error {
		pid = b.node.PID()
		if err := b.clients.grow(ctx, 10); err != nil {
			return err
		}
		cancel()
		return r.measureConnections(ctx, b, repeat)
	})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("withNode returned %v, want context.Canceled", err)
	}
	if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("signalling the node's process: %v, want ESRCH", err)
	}
}

// If the node ends during a step, the step's values are those of fewer connections. The step must return an error.
func TestNodeThatEndsDuringAStepIsAnError(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := newRun(t)
	err := r.withNode(t.Context(), 1, func(ctx context.Context, b *bench, repeat int) error {
		if err := b.clients.grow(ctx, 10); err != nil {
			return err
		}
		b.node.Kill()
		return await(ctx, func() bool { return b.clients.lost.Load() == 10 })
	})
	if err == nil || !strings.Contains(err.Error(), "10 connections ended") {
		t.Errorf("withNode returned %v, want an error that contains \"10 connections ended\"", err)
	}
}
