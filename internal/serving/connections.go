package serving

import (
	"context"
	"fmt"
	"os"
	"slices"
)

// connections measures connections that are open and carry nothing, step by step up to as many as fit.
func (r *run) connections(ctx context.Context, b *bench, repeat int) error {
	for _, size := range r.connectionSteps() {
		if want, err := memoryOf(b, size); err != nil {
			return err
		} else if want > mostMemory {
			r.say("repeat %d: no more connections: %d would take %.1f GB, and %.1f GB are the most", repeat, size, want/1e9,
				mostMemory/1e9)
			return nil
		}
		if err := b.clients.grow(ctx, size); err != nil {
			return err
		}
		if err := rest(ctx, settleFor); err != nil {
			return err
		}
		what := fmt.Sprintf("repeat %d: %d connections held", repeat, size)
		if err := r.steady(ctx, what, func() error { return r.held(ctx, b, repeat, size) }); err != nil {
			return err
		}
	}
	return nil
}

// held measures connections at rest.
func (r *run) held(ctx context.Context, b *bench, repeat, size int) error {
	spent, err := b.spend(func() error { return rest(ctx, r.Window) })
	if err != nil {
		return err
	}
	u, err := usageOf(b.node.Pid())
	if err != nil {
		return err
	}
	r.add(repeat, "connections", size, "held", "node.memory", "B", u.memory)
	r.add(repeat, "connections", size, "held", "node.descriptors", "1", u.descriptors)
	r.add(repeat, "connections", size, "held", "node.cpu", "us/s", spent/r.Window.Seconds())
	r.say("repeat %d: %d connections held: %.1f MB, %.0f descriptors, %.0f us/s (%d opened again)", repeat, size,
		u.memory/1e6, u.descriptors, spent/r.Window.Seconds(), b.clients.retries.Load())
	return nil
}

// connectionSteps are those asked for that fit, and as many as fit.
func (r *run) connectionSteps() []int {
	steps := slices.DeleteFunc(slices.Clone(r.Connections), func(n int) bool { return n > r.most })
	if len(steps) < len(r.Connections) {
		steps = append(steps, r.most)
	}
	slices.Sort(steps)
	return slices.Compact(steps)
}

// memoryOf tells how much memory the node and this process would take for a step, by what the connections so far took.
func memoryOf(b *bench, size int) (bytes float64, err error) {
	if len(b.clients.all) == 0 {
		return 0, nil
	}
	for _, pid := range []int{b.node.Pid(), os.Getpid()} {
		u, err := usageOf(pid)
		if err != nil {
			return 0, err
		}
		bytes += u.memory * float64(size) / float64(len(b.clients.all))
	}
	return bytes, nil
}

// flows measures flows that come and go one after the other, each of no lines.
func (r *run) flows(ctx context.Context, b *bench, repeat, size int) error {
	spent, err := b.spend(func() error {
		for range size {
			one, err := b.clients.open(ctx, len(b.clients.all))
			if err != nil {
				return err
			}
			one.end()
		}
		return await(ctx, func() bool { return b.hosts.FlowCount() == len(b.clients.all) })
	})
	if err != nil {
		return err
	}
	r.add(repeat, "flows", size, "flows", "node.cpu_total", "us", spent)
	r.say("repeat %d: %d flows: %.0f us each", repeat, size, spent/float64(size))
	return nil
}
