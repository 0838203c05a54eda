package rig

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"gorseledge/internal/rig/standin"
)

// costClientKey is the client key of all flows of a measurement.
const costClientKey = 7

// CPUCost is the processor time that a node's process uses, user and system, in microseconds.
type CPUCost struct {
	Start float64 // of a process from its start to its end, with one flow
	Flow  float64 // of a flow without lines
	Line  float64 // of a line to the host and back, one at a time
	Idle  float64 // of a second without clients
}

// Load is the work that a node does in a measurement.
type Load struct {
	Flows, Lines int
	Idle         time.Duration
}

// MeasureCosts measures the programs in turn, rounds times each, and returns the medians of each program.
func MeasureCosts(ctx context.Context, programs []string, rounds int, load Load) ([]CPUCost, error) {
	all := make([][]CPUCost, len(programs))
	for range rounds {
		for i, p := range programs {
			c, err := measureOnce(ctx, p, load)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", p, err)
			}
			all[i] = append(all[i], c)
		}
	}
	out := make([]CPUCost, len(programs))
	for i, of := range all {
		out[i] = CPUCost{
			Start: median(of, func(c CPUCost) float64 { return c.Start }),
			Flow:  median(of, func(c CPUCost) float64 { return c.Flow }),
			Line:  median(of, func(c CPUCost) float64 { return c.Line }),
			Idle:  median(of, func(c CPUCost) float64 { return c.Idle }),
		}
	}
	return out, nil
}

// median returns the median of one figure of the costs; of an even number, the upper one of the two in the middle.
func median(costs []CPUCost, figure func(CPUCost) float64) float64 {
	var values []float64
	for _, c := range costs {
		values = append(values, figure(c))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// measureOnce measures a program once.
func measureOnce(ctx context.Context, program string, load Load) (c CPUCost, err error) {
	if c.Start, err = processorTime(ctx, program, Load{}); err != nil {
		return c, err
	}
	// perUnit is the cost of one unit of a load, without that of the start.
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

// processorTime runs a node without a fleet, puts a load on it after a first flow and returns the processor time of its process, in microseconds.
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
	n, err := StartStandaloneNode(ctx, program, dir, hosts, smallNode)
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
		return 0, fmt.Errorf("a flow of %d lines ends by %q", load.Lines, f.Ended)
	}
	select {
	case <-time.After(load.Idle):
	case <-ctx.Done():
	}
	return n.Leave()
}

// costClients runs the flows of a measurement, one at a time.
type costClients struct {
	address string
	last    int // number of the last flow
}

// run runs one established flow. It retries, as a node that has just started accepts few flows.
func (c *costClients) run(ctx context.Context, lines int) (standin.Flow, error) {
	for from := time.Now(); ; {
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
		if time.Since(from) > shutdownTimeout || ctx.Err() != nil {
			return flow, fmt.Errorf("opening a flow: the node answers %q", flow.Answer)
		}
		time.Sleep(time.Millisecond)
	}
}
