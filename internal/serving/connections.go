package serving

import (
	"context"
	"fmt"
	"os"
	"slices"
)

const (
	maxMemory = 8e9 // limit for the node and this process together, in bytes
	megabyte  = 1e6 // bytes
	gigabyte  = 1e9 // bytes
)

// measureConnections measures increasing numbers of idle connections. It ends before the number that would exceed the
// descriptor limit or maxMemory.
func (r *run) measureConnections(ctx context.Context, b *bench, repeat int) error {
	for _, size := range r.connectionSteps() {
		expected, err := expectedMemory(b, size)
		if err != nil {
			return err
		}
		if expected > maxMemory {
			r.report("repeat %d: skipping %d connections and more: they would use %.1f GB, limit %.1f GB", repeat, size,
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

// measureIdle measures memory, descriptors and CPU time of the node while its connections are idle.
func (r *run) measureIdle(ctx context.Context, b *bench, repeat, size int) error {
	spent, err := b.processorTime(func() error { return pause(ctx, r.Window) })
	if err != nil {
		return err
	}
	u, err := readUsage(b.node.PID())
	if err != nil {
		return err
	}
	m := measurement{repeat: repeat, dimension: byConnections, size: size, phase: idlePhase}
	r.record(m, "node.memory", bytes, u.residentBytes)
	r.record(m, "node.descriptors", count, u.openDescriptors)
	r.record(m, "node.cpu", microsecondsPerSecond, spent/r.Window.Seconds())
	r.report("repeat %d: %d idle connections: %.1f MB, %.0f descriptors, %.0f us/s (%d retries)", repeat, size,
		u.residentBytes/megabyte, u.openDescriptors, spent/r.Window.Seconds(), b.clients.retries.Load())
	return nil
}

// connectionSteps returns the requested numbers of connections in ascending order. Numbers above the capacity are replaced
// by the capacity.
func (r *run) connectionSteps() []int {
	steps := slices.DeleteFunc(slices.Clone(r.Connections), func(n int) bool { return n > r.capacity })
	if len(steps) < len(r.Connections) {
		steps = append(steps, r.capacity)
	}
	slices.Sort(steps)
	return slices.Compact(steps)
}

// expectedMemory extrapolates the memory of the node and of this process, in bytes, from the present number of connections
// to the given one. It returns 0 if there are no connections yet.
func expectedMemory(b *bench, size int) (float64, error) {
	present := len(b.clients.all)
	if present == 0 {
		return 0, nil
	}
	total := 0.0
	for _, pid := range []int{b.node.PID(), os.Getpid()} {
		u, err := readUsage(pid)
		if err != nil {
			return 0, err
		}
		total += u.residentBytes * float64(size) / float64(present)
	}
	return total, nil
}
