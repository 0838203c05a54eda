package serving

import "context"

// measureFlows measures the CPU time of flows that are opened and closed one after the other, without deliveries.
func (r *run) measureFlows(ctx context.Context, b *bench, repeat, size int) error {
	spent, err := b.processorTime(func() error { return b.openAndClose(ctx, size) })
	if err != nil {
		return err
	}
	m := measurement{repeat: repeat, dimension: byFlows, size: size, phase: flowsPhase}
	r.record(m, "node.cpu_total", microseconds, spent)
	r.report("repeat %d: %d flows: %.0f us each", repeat, size, spent/float64(size))
	return nil
}

// openAndClose opens and closes the given number of flows, then waits until all of them have ended at the hosts.
func (b *bench) openAndClose(ctx context.Context, flows int) error {
	for range flows {
		c, err := b.clients.open(ctx, len(b.clients.all))
		if err != nil {
			return err
		}
		c.close()
	}
	return await(ctx, func() bool { return b.hosts.FlowCount() == len(b.clients.all) })
}
