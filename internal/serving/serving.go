// Package serving measures what one real node spends on serving: memory and descriptors of a connection, processor time
// of a flow and of a delivery (a line from a host to a client), and how long lines take from host to client. The node is
// a process of its own on loopback; clients and hosts are stand-ins in the measuring process, whose costs are not
// counted. All figures are measured on loopback.
package serving

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"gorseledge/internal/figures"
	"gorseledge/internal/rig"
	"gorseledge/internal/rig/standin"
)

const (
	hostCount       = 4
	spareSockets    = 200 // descriptors of this process beside clients and hosts, and of the node beside flows
	mostMemory      = 8e9 // bytes of the node and this process together
	memoryLimitMB   = 4096
	settleFor       = time.Second // after connections were opened
	deliverWithin   = 10 * time.Second
	descriptorsEach = 2 // of a flow at a node, and of its two ends here
)

// Options are the steps that are measured.
type Options struct {
	Program     string // the built node
	Dir         string // for the node's files
	Cores       int
	Repeats     int
	Window      time.Duration // of a measure of connections at rest, and of a rate
	LineBytes   int
	Connections []int         // as many as fit are added to them
	Flows       []int         // one after the other
	Rates       []int         // deliveries a second
	Carriers    int           // connections that carry the rates
	Listeners   []int         // of a burst
	Bursts      int           // of each number of listeners
	Load        int           // deliveries a second beside the bursts with load
	Loaded      int           // listeners of the bursts with load
	Stall       time.Duration // of the machine; a measure with a longer one is void
	Progress    func(line string)
}

// Check gives what of the options cannot be played.
func (o Options) Check() error {
	switch {
	case o.Repeats < 1 || o.Bursts < 1 || o.Cores < 1:
		return errors.New("repeats, bursts and cores go from 1 on")
	case o.Stall < 2*beatGap:
		return fmt.Errorf("a stall of %v is shorter than %v", o.Stall, 2*beatGap)
	case o.Window < 100*time.Millisecond:
		return fmt.Errorf("a window of %v is shorter than 100ms", o.Window)
	case o.LineBytes < 32 || o.LineBytes > longestLine:
		return fmt.Errorf("lines of %d bytes: they go from 32 to %d", o.LineBytes, longestLine)
	case o.Loaded >= o.Carriers:
		return fmt.Errorf("bursts with load have %d listeners, and %d connections carry both", o.Loaded, o.Carriers)
	}
	return nil
}

// run is one measurement under way.
type run struct {
	Options
	table *figures.Table
	most  int // connections that fit
	void  int // measures during which the machine stood still
}

// Measure plays all steps and adds their figures to the table. Whatever happens, nothing that it started is left when it
// returns.
func Measure(ctx context.Context, o Options, table *figures.Table) error {
	if err := o.Check(); err != nil {
		return err
	}
	most, err := fitting()
	if err != nil {
		return err
	}
	r := &run{Options: o, table: table, most: most}
	r.say("%d connections fit into the limit of open descriptors", most)
	for repeat := 1; repeat <= o.Repeats; repeat++ {
		for _, steps := range []func(context.Context, *bench, int) error{r.connections, r.traffic} {
			if err := r.withNode(ctx, repeat, steps); err != nil {
				return fmt.Errorf("repeat %d: %w", repeat, err)
			}
		}
	}
	r.table.Machine += fmt.Sprintf("; %d measures void, as the machine stood still for over %v", r.void, o.Stall)
	return nil
}

// fitting is how many flows this process can hold both ends of. The Go runtime has raised the soft limit to the hard one.
func fitting() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, 1<<20)-spareSockets) / descriptorsEach, nil
}

func (r *run) say(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf(format, args...))
	}
}

// bench is one node with its stand-ins.
type bench struct {
	node    *rig.Single
	hosts   *standin.Hosts
	clients *clients
}

// withNode plays steps at a node of their own.
func (r *run) withNode(ctx context.Context, repeat int, steps func(context.Context, *bench, int) error) error {
	dir, err := os.MkdirTemp(r.Dir, "serving")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	b := &bench{}
	if b.hosts, err = standin.StartHosts(hostCount); err != nil {
		return err
	}
	defer b.hosts.Close()
	limits := rig.NodeLimits{Cores: r.Cores, MemoryMB: memoryLimitMB, Sockets: descriptorsEach*r.most + spareSockets}
	if b.node, err = rig.StartSingle(ctx, r.Program, dir, b.hosts, limits); err != nil {
		return err
	}
	defer b.node.Kill()
	b.clients = &clients{node: b.node.Client, hosts: b.hosts, began: time.Now()}
	defer b.clients.close()
	if err := steps(ctx, b, repeat); err != nil {
		return cmp.Or(ctx.Err(), err) // an interrupt ends the node, which is an error of the steps' as well
	}
	if lost := b.clients.lost.Load(); lost > 0 {
		return fmt.Errorf("%d connections ended before they were closed", lost)
	}
	return nil
}

// add keeps a figure.
func (r *run) add(repeat int, dimension string, size int, phase, cost, unit string, value float64) {
	r.table.Add(figures.Row{Run: repeat, Source: figures.Real, Dimension: dimension, Size: float64(size), Phase: phase,
		Cost: cost, Unit: unit, Value: value})
}

// spend tells the processor time that the node spends while something goes on, in microseconds.
func (b *bench) spend(what func() error) (us float64, err error) {
	before, err := usageOf(b.node.Pid())
	if err != nil {
		return 0, err
	}
	if err := what(); err != nil {
		return 0, err
	}
	after, err := usageOf(b.node.Pid())
	return 1e6 * (after.processorTime - before.processorTime), err
}

// rest waits, unless the context ends.
func rest(ctx context.Context, span time.Duration) error {
	select {
	case <-time.After(span):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
