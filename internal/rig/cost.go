package rig

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"gorseledge/internal/rig/standin"
)

// costLimits are those of the rig's nodes.
var costLimits = Limits{Cores: 1, MemoryMB: 128, Sockets: 512}

// Cost is the CPU time of a node's process, user and system, in microseconds.
type Cost struct {
	Start float64 // from its start to its end, with one flow
	Flow  float64 // of a flow of no lines
	Line  float64 // of a line to the host and back, alone on its way
	Idle  float64 // of a second without clients
}

// Load is what a node is given to do to be measured.
type Load struct {
	Flows, Lines int
	Idle         time.Duration
}

// Costs measures built nodes in turn, so many rounds, and gives the median of each.
func Costs(ctx context.Context, programs []string, rounds int, load Load) ([]Cost, error) {
	all := make([][]Cost, len(programs))
	for range rounds {
		for i, p := range programs {
			c, err := cost(ctx, p, load)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", p, err)
			}
			all[i] = append(all[i], c)
		}
	}
	out := make([]Cost, len(programs))
	for i, of := range all {
		median := func(get func(Cost) float64) float64 {
			var xs []float64
			for _, c := range of {
				xs = append(xs, get(c))
			}
			slices.Sort(xs)
			return xs[len(xs)/2]
		}
		out[i] = Cost{
			Start: median(func(c Cost) float64 { return c.Start }),
			Flow:  median(func(c Cost) float64 { return c.Flow }),
			Line:  median(func(c Cost) float64 { return c.Line }),
			Idle:  median(func(c Cost) float64 { return c.Idle }),
		}
	}
	return out, nil
}

func cost(ctx context.Context, program string, load Load) (c Cost, err error) {
	if c.Start, err = spent(ctx, program, Load{}); err != nil {
		return c, err
	}
	for _, m := range []struct {
		to   *float64
		load Load
		per  float64
	}{{&c.Flow, Load{Flows: load.Flows}, float64(load.Flows)}, {&c.Line, Load{Lines: load.Lines}, float64(load.Lines)},
		{&c.Idle, Load{Idle: load.Idle}, load.Idle.Seconds()}} {
		whole, err := spent(ctx, program, m.load)
		if err != nil {
			return c, err
		}
		*m.to = (whole - c.Start) / m.per
	}
	return c, nil
}

// spent starts a node alone, gives it a load after a first flow and tells what CPU time its process took.
func spent(ctx context.Context, program string, load Load) (us float64, err error) {
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
	n, err := StartSingle(ctx, program, dir, hosts, costLimits)
	if err != nil {
		return 0, err
	}
	defer n.Kill()
	// flow plays one that is established; a node that has just begun takes few.
	id := 0
	flow := func(lines int) (f standin.Flow, err error) {
		for from := time.Now(); ; {
			id++
			f = standin.Play(ctx, n.Client, fmt.Sprintf("%08x", id), 7, timeout, grace, lines, 0)
			if f.Answer == standin.Up {
				return f, nil
			}
			if time.Since(from) > leaveWithin || ctx.Err() != nil {
				return f, fmt.Errorf("it does not serve: %s", f.Answer)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if _, err := flow(0); err != nil {
		return 0, err
	}
	for range load.Flows {
		if _, err := flow(0); err != nil {
			return 0, err
		}
	}
	f, err := flow(load.Lines)
	if err != nil {
		return 0, err
	}
	if f.Ended != "client" {
		return 0, fmt.Errorf("a flow of %d lines ends by %q", load.Lines, f.Ended)
	}
	select {
	case <-time.After(load.Idle):
	case <-ctx.Done():
	}
	return n.Leave()
}
