package serving

import (
	"context"
	"fmt"
	"time"

	"gorseledge/internal/rig"
	"gorseledge/internal/rig/standin"
)

const (
	hostCount     = 4
	memoryLimitMB = 4096 // memory limit in the node's configuration
	// microsecondsInSecond converts CPU time in seconds to the unit of the table.
	microsecondsInSecond = 1e6
)

// bench is one node process with its simulated hosts and clients. The caller of startBench must call close.
type bench struct {
	node    *rig.StandaloneNode
	hosts   *standin.Hosts
	clients *clients
}

// startBench starts the hosts and a node whose descriptor limit allows the given number of connections. The node process
// ends when the context does.
func startBench(ctx context.Context, o Options, connections int, dir string) (*bench, error) {
	hosts, err := standin.StartHosts(hostCount)
	if err != nil {
		return nil, fmt.Errorf("starting the hosts: %w", err)
	}
	limits := rig.NodeLimits{
		Cores:    o.Cores,
		MemoryMB: memoryLimitMB,
		Sockets:  descriptorsPerFlow*connections + spareDescriptors,
	}
	node, err := rig.StartStandaloneNode(ctx, o.Program, dir, hosts, limits)
	if err != nil {
		hosts.Close()
		return nil, fmt.Errorf("starting the node: %w", err)
	}
	return &bench{
		node:    node,
		hosts:   hosts,
		clients: &clients{node: node.Client, hosts: hosts, began: time.Now()},
	}, nil
}

// close shuts down the clients, then the node, then the hosts.
func (b *bench) close() {
	b.clients.close()
	b.node.Kill()
	b.hosts.Close()
}

// processorTime runs the given function and returns the CPU time that the node uses while the function runs, in microseconds.
func (b *bench) processorTime(run func() error) (float64, error) {
	before, err := readUsage(b.node.PID())
	if err != nil {
		return 0, err
	}
	if err := run(); err != nil {
		return 0, err
	}
	after, err := readUsage(b.node.PID())
	return microsecondsInSecond * (after.cpuSeconds - before.cpuSeconds), err
}
