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
		t.Errorf("20 connections more took %v descriptors, want %d", many-few, 20*descriptorsPerFlow)
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
				t.Errorf("%s of %s at %v is %v", c.cost, c.phase, c.size, value)
			}
		})
	}
	each := figure(t, table, 8, "burst", "burst.each_p99")
	last := figure(t, table, 8, "burst", "burst.last_p99")
	if each > last {
		t.Errorf("99th percentile of all clients is %v s, and of the last ones %v s", each, last)
	}
	left, err := os.ReadDir(o.Dir)
	if err != nil || len(left) > 0 {
		t.Errorf("left in the directory: %v, %v", left, err)
	}
}

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
		t.Errorf("ended with %v", err)
	}
	if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
		t.Errorf("the node's process: %v, want that there is none", err)
	}
}

func TestNodeThatEndsDuringAMeasureIsAnError(t *testing.T) {
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
		t.Errorf("ended with %v", err)
	}
}
