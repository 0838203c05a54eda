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

// A step that leaves out a cost or leaves files behind would go unnoticed until the capacity page is built.
func TestEachStepAddsItsFigures(t *testing.T) {
	defer goleak.VerifyNone(t)
	table := &figures.Table{}
	o := smallOptions(t)
	if err := Measure(t.Context(), o, table); err != nil {
		t.Fatal(err)
	}
	few := figure(t, table, 10, "held", "node.descriptors")
	many := figure(t, table, 30, "held", "node.descriptors")
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
			value := figure(t, table, c.size, c.phase, c.cost)
			if value <= 0 {
				t.Errorf("%s of phase %s at size %v is %v, want more than 0", c.cost, c.phase, c.size, value)
			}
		})
	}
	each := figure(t, table, 8, "burst", "burst.each_p99")
	last := figure(t, table, 8, "burst", "burst.last_p99")
	if each > last {
		t.Errorf("99th percentile of all deliveries is %v s, above that of the last deliveries, %v s", each, last)
	}
	left, err := os.ReadDir(o.Dir)
	if err != nil || len(left) > 0 {
		t.Errorf("the directory still contains %v (%v)", left, err)
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

// If the node dies during a step, its figures are those of fewer connections and must not be kept.
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
		t.Errorf("withNode returned %v, want 10 ended connections", err)
	}
}
