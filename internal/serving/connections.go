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
		if err := r.affordable(b, size); err != nil {
			r.say("repeat %d: no more connections: %v", repeat, err)
			return nil
		}
		if err := b.clients.grow(ctx, size); err != nil {
			return err
		}
		if err := rest(ctx, settleFor); err != nil {
			return err
		}
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
	}
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

// affordable tells whether a step would hold the memory's bound, by what the connections so far took.
func (r *run) affordable(b *bench, size int) error {
	if len(b.clients.all) == 0 {
		return nil
	}
	node, err := usageOf(b.node.Pid())
	if err != nil {
		return err
	}
	own, err := usageOf(os.Getpid())
	if err != nil {
		return err
	}
	want := (node.memory + own.memory) * float64(size) / float64(len(b.clients.all))
	if want > mostMemory {
		return fmt.Errorf("%d would take %.1f GB, and %.1f GB are the most", size, want/1e9, mostMemory/1e9)
	}
	return nil
}

// flows measures flows that come and go one after the other, each of no lines.
func (r *run) flows(ctx context.Context, b *bench, repeat int) error {
	for _, size := range r.Flows {
		spent, err := b.spend(func() error {
			for range size {
				one, err := b.clients.open(ctx, len(b.clients.all))
				if err != nil {
					return err
				}
				one.end()
			}
			return await(ctx, func() bool { return b.hosts.Flows() == len(b.clients.all) })
		})
		if err != nil {
			return err
		}
		r.add(repeat, "flows", size, "flows", "node.cpu_total", "us", spent)
		r.say("repeat %d: %d flows: %.0f us each", repeat, size, spent/float64(size))
	}
	return nil
}
