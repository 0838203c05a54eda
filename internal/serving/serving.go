// Package serving measures the resources that one real node uses to serve clients: memory and descriptors per connection,
// CPU time per flow and per delivery (a line from a host to a client), and the latency of deliveries.
//
// The package starts the node as a separate process on loopback and ends it. Clients and hosts are stand-ins in the
// measuring process, whose costs are not counted. The package adds its measurements to the caller's table and writes files
// only below Options.Dir.
package serving

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"syscall"

	"gorseledge/internal/figures"
)

const (
	// spareDescriptors are reserved for other uses than connections, both in this process and in the node.
	spareDescriptors = 200
	// descriptorsPerFlow is the number of descriptors that a flow uses in the node, and that its client's and its host's
	// ends use in this process.
	descriptorsPerFlow = 2
	// maxOpenFiles bounds the capacity if the system's limit is higher or unlimited.
	maxOpenFiles = 1 << 20
)

// run is the state of one call of Measure. It is not safe for concurrent use.
type run struct {
	Options
	table     *figures.Table
	capacity  int // number of connections for which this process has descriptors
	discarded int // number of measurements that were discarded because the machine stalled
}

// step measures one part of a repeat with a newly started node.
type step func(ctx context.Context, b *bench, repeat int) error

// Measure runs all steps and adds their values to the table. It returns an error if the options are invalid, a step
// fails or the context ends; the table then keeps the rows of the complete measurements. When Measure returns, it has ended
// every process, closed every connection and removed every file that it created.
func Measure(ctx context.Context, o Options, table *figures.Table) error {
	if err := o.Validate(); err != nil {
		return err
	}
	capacity, err := connectionCapacity()
	if err != nil {
		return err
	}
	r := &run{Options: o, table: table, capacity: capacity}
	r.report("the descriptor limit allows %d connections", capacity)
	for repeat := 1; repeat <= o.Repeats; repeat++ {
		if err := r.repeat(ctx, repeat); err != nil {
			return fmt.Errorf("repeat %d: %w", repeat, err)
		}
	}
	// Stored tables contain this text, so it must not change. It counts the discarded measurements.
	r.table.Machine += fmt.Sprintf("; %d measures void, as the machine stood still for over %v", r.discarded, o.Stall)
	return nil
}

// repeat runs each step once, each with a new node.
func (r *run) repeat(ctx context.Context, repeat int) error {
	for _, measure := range []step{r.measureConnections, r.measureTraffic} {
		if err := r.withNode(ctx, repeat, measure); err != nil {
			return err
		}
	}
	return nil
}

// connectionCapacity returns the number of flows of which this process can hold both ends. The soft descriptor limit
// applies: the Go runtime has already raised it to the hard limit.
func connectionCapacity() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("reading the limit of open descriptors: %w", err)
	}
	return int(min(limit.Cur, maxOpenFiles)-spareDescriptors) / descriptorsPerFlow, nil
}

// report formats a line of text and passes it to Options.Progress, unless Progress is nil.
func (r *run) report(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// withNode runs a step with a new node, whose directory it removes afterwards. It returns an error if a connection ended before
// its client closed it, because the step then measured fewer connections than its rows state.
func (r *run) withNode(ctx context.Context, repeat int, measure step) error {
	dir, err := os.MkdirTemp(r.Dir, "serving")
	if err != nil {
		return fmt.Errorf("creating the node's directory: %w", err)
	}
	defer os.RemoveAll(dir)
	b, err := startBench(ctx, r.Options, r.capacity, dir)
	if err != nil {
		return err
	}
	defer b.close()
	if err := measure(ctx, b, repeat); err != nil {
		return cmp.Or(ctx.Err(), err) // when the context ends, so does the node, which makes steps fail with other errors
	}
	if lost := b.clients.lost.Load(); lost > 0 {
		return fmt.Errorf("%d connections ended before their clients closed them", lost)
	}
	return nil
}
