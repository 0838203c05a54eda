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
	memoryLimitMB = 4096 // that the node is configured with
	// microsecondsInSecond converts a process's processor time to the table's unit.
	microsecondsInSecond = 1e6
)

// bench is one node with its stand-ins. Its owner calls close.
type bench struct {
	node    *rig.StandaloneNode
	hosts   *standin.Hosts
	clients *clients
}

// startBench starts hosts and a node that has descriptors for so many connections. The node ends with the context.
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

// close ends the clients, the node and the hosts, in this order.
func (b *bench) close() {
	b.clients.close()
	b.node.Kill()
	b.hosts.Close()
}

// processorTime returns the processor time that the node spends while a function runs, in microseconds.
func (b *bench) processorTime(during func() error) (float64, error) {
	before, err := usageOf(b.node.PID())
	if err != nil {
		return 0, err
	}
	if err := during(); err != nil {
		return 0, err
	}
	after, err := usageOf(b.node.PID())
	return microsecondsInSecond * (after.processorTime - before.processorTime), err
}
