package rig

import (
	"context"
	"fmt"
	"time"

	"gorseledge/internal/rig/standin"
)

const (
	timeout   = 2.0 // of a flow, in seconds
	grace     = 5.0 // for an answer that is late, which is judged then
	flowLines = 4
)

// traffic has clients come, each to a node that runs, until the first context ends; who is there stays to the
// end.
func (r *Rig) traffic(ctx, whole context.Context) {
	if r.script.Flows <= 0 {
		return
	}
	for id := 1; ; id++ {
		r.mu.Lock()
		gap := r.rand.ExpFloat64() / r.script.Flows
		n := r.nodes[r.rand.IntN(len(r.nodes))]
		key := r.rand.Uint64()
		r.mu.Unlock()
		select {
		case <-time.After(time.Duration(gap * 1e9)):
		case <-ctx.Done():
			return
		}
		if !n.up() { // the front has noticed
			continue
		}
		r.flows.Go(func() {
			began := r.history.now()
			f := standin.Play(whole, n.client, fmt.Sprintf("%08x", id), key, timeout, grace, flowLines, 250*time.Millisecond)
			if whole.Err() != nil { // the run is broken off
				return
			}
			r.history.add(Event{What: "flow", Node: n.i, Answer: string(f.Answer), Count: f.Answers, Ended: f.Ended, Began: began})
		})
	}
}

// budget adds up, every second, what the nodes that run take for their part of what all share: the module
// gives out half of a cold host's budget, by the number of nodes that it is told.
func (r *Rig) budget(ctx context.Context) {
	for {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return
		}
		sum := 0.0
		for _, a := range r.views(ctx) {
			if a.err == nil && a.view.Nodes > 0 {
				sum += 0.5 / float64(a.view.Nodes)
			}
		}
		if sum > 0 && ctx.Err() == nil {
			r.history.add(Event{What: "budget", Part: sum})
		}
	}
}
