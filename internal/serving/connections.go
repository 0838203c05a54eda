package serving

import (
	"context"
	"fmt"
	"os"
	"slices"
)

const (
	maxMemory = 8e9 // bytes of the node and this process together
	megabyte  = 1e6 // bytes
	gigabyte  = 1e9 // bytes
)

// measureConnections measures idle connections in increasing numbers, up to as many as fit into descriptors and memory.
func (r *run) measureConnections(ctx context.Context, b *bench, repeat int) error {
	for _, size := range r.connectionSteps() {
		expected, err := expectedMemory(b, size)
		if err != nil {
			return err
		}
		if expected > maxMemory {
			r.report("repeat %d: no more connections: %d would take %.1f GB, and %.1f GB are the most", repeat, size,
				expected/gigabyte, maxMemory/gigabyte)
			return nil
		}
		if err := b.clients.grow(ctx, size); err != nil {
			return err
		}
		if err := pause(ctx, settleTime); err != nil {
			return err
		}
		title := fmt.Sprintf("repeat %d: %d idle connections", repeat, size)
		err = r.measure(ctx, title, func() error { return r.measureIdle(ctx, b, repeat, size) })
		if err != nil {
			return err
		}
	}
	return nil
}

// measureIdle measures memory, descriptors and processor time of the node while its connections carry nothing.
func (r *run) measureIdle(ctx context.Context, b *bench, repeat, size int) error {
	spent, err := b.processorTime(func() error { return pause(ctx, r.Window) })
	if err != nil {
		return err
	}
	u, err := usageOf(b.node.PID())
	if err != nil {
		return err
	}
	m := measurement{repeat: repeat, dimension: byConnections, size: size, phase: idlePhase}
	r.record(m, "node.memory", bytes, u.memory)
	r.record(m, "node.descriptors", count, u.descriptors)
	r.record(m, "node.cpu", microsecondsPerSecond, spent/r.Window.Seconds())
	r.report("repeat %d: %d idle connections: %.1f MB, %.0f descriptors, %.0f us/s (%d retries)", repeat, size,
		u.memory/megabyte, u.descriptors, spent/r.Window.Seconds(), b.clients.retries.Load())
	return nil
}

// connectionSteps returns the requested numbers of connections that fit, and the capacity in place of those that do not.
func (r *run) connectionSteps() []int {
	steps := slices.DeleteFunc(slices.Clone(r.Connections), func(n int) bool { return n > r.capacity })
	if len(steps) < len(r.Connections) {
		steps = append(steps, r.capacity)
	}
	slices.Sort(steps)
	return slices.Compact(steps)
}

// expectedMemory extrapolates the bytes that the node and this process will take with so many connections from what the
// present ones take. It returns 0 while there are none.
func expectedMemory(b *bench, size int) (float64, error) {
	present := len(b.clients.all)
	if present == 0 {
		return 0, nil
	}
	total := 0.0
	for _, pid := range []int{b.node.PID(), os.Getpid()} {
		u, err := usageOf(pid)
		if err != nil {
			return 0, err
		}
		total += u.memory * float64(size) / float64(present)
	}
	return total, nil
}
