package rig

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"gorseledge/internal/rig/standin"
)

// costClientKey is the client key of all flows in a measurement.
const costClientKey = 7

// CPUCost is the CPU time, user and system, that a node's process uses for parts of its work, in microseconds.
type CPUCost struct {
	Start float64 // for a process from its start to its end, with two flows without lines
	Flow  float64 // for a flow without lines
	Line  float64 // for a line to the host and back, with one line at a time
	Idle  float64 // for a second without clients
}

// Load is the work that a node does in a measurement.
type Load struct {
	Flows int           // flows without lines, one after the other
	Lines int           // lines of one further flow
	Idle  time.Duration // time without clients
}

// MeasureCosts measures each program the given number of rounds, alternating between the programs, and returns the medians
// of each.
func MeasureCosts(ctx context.Context, programs []string, rounds int, load Load) ([]CPUCost, error) {
	all := make([][]CPUCost, len(programs))
	for range rounds {
		for i, p := range programs {
			c, err := measureOnce(ctx, p, load)
			if err != nil {
				return nil, fmt.Errorf("measuring %s: %w", p, err)
			}
			all[i] = append(all[i], c)
		}
	}
	out := make([]CPUCost, len(programs))
	for i, costs := range all {
		out[i] = CPUCost{
			Start: median(costs, func(c CPUCost) float64 { return c.Start }),
			Flow:  median(costs, func(c CPUCost) float64 { return c.Flow }),
			Line:  median(costs, func(c CPUCost) float64 { return c.Line }),
			Idle:  median(costs, func(c CPUCost) float64 { return c.Idle }),
		}
	}
	return out, nil
}

// median returns the median of one field of the costs. Of an even number of costs, it returns the upper of the two middle
// values.
func median(costs []CPUCost, field func(CPUCost) float64) float64 {
	var values []float64
	for _, c := range costs {
		values = append(values, field(c))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// measureOnce measures the costs of a program in one round.
func measureOnce(ctx context.Context, program string, load Load) (c CPUCost, err error) {
	if c.Start, err = processorTime(ctx, program, Load{}); err != nil {
		return c, err
	}
	// perUnit returns the cost of one unit of a load, without the cost of the start.
	perUnit := func(load Load, units float64) (float64, error) {
		total, err := processorTime(ctx, program, load)
		return (total - c.Start) / units, err
	}
	if c.Flow, err = perUnit(Load{Flows: load.Flows}, float64(load.Flows)); err != nil {
		return c, err
	}
	if c.Line, err = perUnit(Load{Lines: load.Lines}, float64(load.Lines)); err != nil {
		return c, err
	}
	c.Idle, err = perUnit(Load{Idle: load.Idle}, load.Idle.Seconds())
	return c, err
}

// processorTime runs a node without a fleet, runs a first flow and then the load through it, and returns the CPU time of its
// process in microseconds.
func processorTime(ctx context.Context, program string, load Load) (us float64, err error) {
	dir, err := os.MkdirTemp("", "cost")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	hosts, err := standin.StartHosts(2)
	if err != nil {
		return 0, err
	}
	defer hosts.Close()
	n, err := StartStandaloneNode(ctx, program, dir, hosts, nodeLimits)
	if err != nil {
		return 0, err
	}
	defer n.Kill()
	clients := &costClients{address: n.Client}
	if _, err := clients.run(ctx, 0); err != nil {
		return 0, err
	}
	for range load.Flows {
		if _, err := clients.run(ctx, 0); err != nil {
			return 0, err
		}
	}
	f, err := clients.run(ctx, load.Lines)
	if err != nil {
		return 0, err
	}
	if f.Ended != standin.EndedByClient {
		return 0, fmt.Errorf("a flow of %d lines ended by %q, want %q", load.Lines, f.Ended, standin.EndedByClient)
	}
	select {
	case <-time.After(load.Idle):
	case <-ctx.Done():
	}
	return n.Leave()
}

// costClients runs the flows of a measurement one at a time.
type costClients struct {
	address string
	last    int // number of the last flow, for its ID
}

// run opens a flow, sends its lines and closes it. It retries until the flow is established, because a node that has just
// started accepts few flows.
func (c *costClients) run(ctx context.Context, lines int) (standin.Flow, error) {
	for began := time.Now(); ; {
		c.last++
		flow := standin.RunFlow(ctx, standin.FlowRequest{
			Address: c.address,
			ID:      fmt.Sprintf("%08x", c.last),
			Key:     costClientKey,
			Timeout: flowTimeout,
			Grace:   lateAnswerGrace,
			Lines:   lines,
		})
		if flow.Answer == standin.Established {
			return flow, nil
		}
		if time.Since(began) > shutdownTimeout || ctx.Err() != nil {
			return flow, fmt.Errorf("opening a flow through %s: last answer %q", c.address, flow.Answer)
		}
		time.Sleep(time.Millisecond)
	}
}
