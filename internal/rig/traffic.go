package rig

import (
	"context"
	"fmt"
	"time"

	"gorseledge/internal/rig/standin"
)

const (
	flowTimeout     = 2 * time.Second        // time within which a client expects an answer
	lateAnswerGrace = 5 * time.Second        // time after flowTimeout in which a late answer is still recorded
	flowLines       = 4                      // lines that a client sends on an established flow
	flowLineGap     = 250 * time.Millisecond // pause after each line
	budgetInterval  = time.Second            // interval between records of the granted budget

	// ownBudgetShare is the share of a cold host's budget that all nodes together may grant.
	ownBudgetShare = 0.5
)

// traffic starts clients at random times, each at a random node that is up, until ctx ends. A client runs until its flow has
// ended or runContext ends.
func (r *Rig) traffic(ctx, runContext context.Context) {
	if r.script.FlowRate <= 0 {
		return
	}
	for id := 1; ; id++ {
		r.mu.Lock()
		gap := r.rand.ExpFloat64() / r.script.FlowRate
		n := r.nodes[r.rand.IntN(len(r.nodes))]
		key := r.rand.Uint64()
		r.mu.Unlock()
		select {
		case <-time.After(time.Duration(gap * 1e9)):
		case <-ctx.Done():
			return
		}
		if !n.up() { // a balancer in front that checks the health of the nodes would send it no client
			continue
		}
		r.flows.Go(func() {
			began := r.history.now()
			f := standin.RunFlow(runContext, standin.FlowRequest{
				Address: n.clientAddress,
				ID:      fmt.Sprintf("%08x", id),
				Key:     key,
				Timeout: flowTimeout,
				Grace:   lateAnswerGrace,
				Lines:   flowLines,
				Gap:     flowLineGap,
			})
			if runContext.Err() != nil { // the run was interrupted
				return
			}
			r.history.add(Event{Kind: eventFlow, Node: n.index, Answer: string(f.Answer), AnswerCount: f.Answers, Ending: string(f.Ended),
				StartedAt: began})
		})
	}
}

// recordBudget records at intervals the share of a cold host's budget that all running nodes grant together. Each node grants
// ownBudgetShare divided by the number of nodes in its view of the fleet.
func (r *Rig) recordBudget(ctx context.Context) {
	for {
		select {
		case <-time.After(budgetInterval):
		case <-ctx.Done():
			return
		}
		sum := 0.0
		for _, a := range r.views(ctx) {
			if a.err == nil && a.view.Nodes > 0 {
				sum += ownBudgetShare / float64(a.view.Nodes)
			}
		}
		if sum > 0 && ctx.Err() == nil {
			r.history.add(Event{Kind: eventBudget, BudgetShare: sum})
		}
	}
}
