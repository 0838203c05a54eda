// Package serving measures what one real node spends on serving: memory and descriptors of a connection, processor time
// of a flow and of a delivery (a line from a host to a client), and how long lines take from host to client.
//
// The node is a process of its own on loopback, which the package starts and ends. Clients and hosts are stand-ins in
// the measuring process, whose costs are not counted. The package owns no figures: it adds rows to the caller's table
// and does not write files outside of the directory that it is given.
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
	// spareDescriptors are descriptors of this process beside clients and hosts, and of the node beside flows.
	spareDescriptors = 200
	// descriptorsPerFlow are the descriptors of a flow at the node, and of its two ends in this process.
	descriptorsPerFlow = 2
	// maxOpenFiles bounds the capacity where the system's limit is higher or absent.
	maxOpenFiles = 1 << 20
)

// run is one measurement in progress. It is used by one goroutine.
type run struct {
	Options
	table     *figures.Table
	capacity  int // connections for which this process has descriptors
	discarded int // measures that were discarded because the machine stalled
}

// step measures a part of a repeat at a node that nothing else has used.
type step func(ctx context.Context, b *bench, repeat int) error

// Measure runs all steps and adds their figures to the table. It returns an error if the options are invalid, a step
// fails or the context ends; the rows of complete measures stay in the table then. Every process, connection and file
// that it started is gone when it returns.
func Measure(ctx context.Context, o Options, table *figures.Table) error {
	if err := o.Validate(); err != nil {
		return err
	}
	capacity, err := connectionCapacity()
	if err != nil {
		return err
	}
	r := &run{Options: o, table: table, capacity: capacity}
	r.report("%d connections fit into the limit of open descriptors", capacity)
	for repeat := 1; repeat <= o.Repeats; repeat++ {
		if err := r.repeat(ctx, repeat); err != nil {
			return fmt.Errorf("repeat %d: %w", repeat, err)
		}
	}
	// This form is part of committed tables.
	r.table.Machine += fmt.Sprintf("; %d measures void, as the machine stood still for over %v", r.discarded, o.Stall)
	return nil
}

// repeat runs each step once, at a node of its own.
func (r *run) repeat(ctx context.Context, repeat int) error {
	for _, measure := range []step{r.measureConnections, r.measureTraffic} {
		if err := r.withNode(ctx, repeat, measure); err != nil {
			return err
		}
	}
	return nil
}

// connectionCapacity returns for how many flows this process can hold both ends. The Go runtime has raised the soft limit
// of descriptors to the hard one.
func connectionCapacity() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("reading the limit of open descriptors: %w", err)
	}
	return int(min(limit.Cur, maxOpenFiles)-spareDescriptors) / descriptorsPerFlow, nil
}

// report passes a line to Options.Progress, if there is one.
func (r *run) report(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// withNode runs a step at a new node. It returns an error if a connection ended before its client closed it, since the
// step's figures are not those of its stated number of connections then.
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
		return cmp.Or(ctx.Err(), err) // the end of the context ends the node, so that steps fail by that as well
	}
	if lost := b.clients.lost.Load(); lost > 0 {
		return fmt.Errorf("%d connections ended before they were closed", lost)
	}
	return nil
}
