package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const meetWithin = 60.0 // seconds, for all to find each other at the start

// Result is what came of a run.
type Result struct {
	Seed    uint64
	Faults  []Fault
	Events  []Event
	Breaks  []Break
	Calls   int // flows
	Answers map[string]int
	Met     float64 // seconds until all had found each other
	Agreed  float64 // seconds after the last fault until all agreed
	Deaths  []Death // of processes that were killed for long enough that all had time to know
	Nodes   int
}

// Summary is the last line of a run.
func (r *Result) Summary() string {
	return fmt.Sprintf("SEED %d: %d calls, %d faults, broken %d", r.Seed, r.Calls, len(r.Faults), len(r.Breaks))
}

// Play plays a script once. Whatever happens, nothing that it started is left when it returns.
func Play(ctx context.Context, s *Script, o Options) (res *Result, err error) {
	h, err := newHistory(o.History)
	if err != nil {
		return nil, err
	}
	r := &Rig{Options: o, script: s, history: h, relays: map[[2]int]*relay{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		rand:   rand.New(rand.NewPCG(o.Seed, 11))}
	defer func() {
		r.close()
		whole := res != nil && err == nil
		if cerr := h.close(whole); err == nil {
			err = cerr
		}
	}()
	if err := r.raise(); err != nil {
		return nil, err
	}
	res = &Result{Seed: o.Seed, Faults: s.Draw(o.Seed), Nodes: s.Nodes, Answers: map[string]int{}}
	flowing, stopFlows := context.WithCancel(ctx)
	defer stopFlows()
	defer r.tell(flowing)()
	var against string
	if res.Met, against, err = r.agree(ctx, meetWithin); err != nil {
		return nil, err
	}
	if against != "" {
		return nil, fmt.Errorf("the nodes have not found each other within %g s: %s", meetWithin, against)
	}
	r.say("all %d have found each other after %.1f s", s.Nodes, res.Met)
	for _, n := range r.nodes {
		if err := n.copyDir(); err != nil {
			return nil, err
		}
	}
	r.flows.Go(func() { r.traffic(flowing, ctx) })
	r.flows.Go(func() { r.budget(flowing) })
	if err := r.befall(ctx, res.Faults); err != nil {
		return nil, err
	}
	if res.Agreed, against, err = r.agree(ctx, s.Settle); err != nil {
		return nil, err
	}
	if against == "" {
		r.history.add(Event{What: "agree", Note: fmt.Sprintf("%.2f s after the last fault", res.Agreed)})
	}
	stopFlows()
	r.flows.Wait()
	res.Events = h.all()
	for _, e := range res.Events {
		if e.What == "flow" {
			res.Calls++
			res.Answers[e.Answer]++
		}
	}
	res.Breaks, res.Deaths = Judge(s, res, against), Deaths(s, res.Events)
	return res, nil
}
