package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const joinTimeout = 60.0 // seconds until all nodes have to have found each other

// Result is the outcome of a run. Times are seconds.
type Result struct {
	Seed          uint64
	Faults        []Fault
	ControlFaults []ControlFault
	Events        []Event
	Violations    []Violation    `json:"Breaks"`
	Requests      int            `json:"Calls"` // flows and proposed changes
	Answers       map[string]int // flows by their answer
	JoinTime      float64        `json:"Met"`    // until all nodes had found each other
	AgreementTime float64        `json:"Agreed"` // from the end of the last fault until all agreed, -1 where they did not
	Changes       map[string]int // proposed changes of configuration by their outcome
	InForceTimes  []float64      `json:"InForce"` // from each accepted change without cuts until it was in force at the last node
	Deaths        []Death        // of processes that were down for long enough that all had time to know
	Nodes         int
}

// Summary returns the last line of the report of a run.
func (r *Result) Summary() string {
	return fmt.Sprintf("SEED %d: %d calls, %d faults, broken %d", r.Seed, r.Requests, r.FaultCount(), len(r.Violations))
}

// Run runs a script once and checks it. An error means that the run itself failed, not that a rule was broken. When
// Run returns, nothing that it started is running, whatever happened.
func Run(ctx context.Context, s *Script, o Options) (res *Result, err error) {
	h, err := newHistory(o.History)
	if err != nil {
		return nil, err
	}
	r := &Rig{Options: o, script: s, history: h, relays: map[nodeLink]*Relay{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		rand:   rand.New(rand.NewPCG(o.Seed, 11))}
	defer func() {
		r.close()
		complete := res != nil && err == nil
		closeErr := h.close(complete)
		if err == nil {
			err = closeErr
		}
	}()
	if err := r.start(); err != nil {
		return nil, err
	}
	res = &Result{Seed: o.Seed, Faults: s.GenerateFaults(o.Seed), ControlFaults: s.GenerateControlFaults(o.Seed), Nodes: s.Nodes, Answers: map[string]int{}}
	disagreement, err := r.runScript(ctx, res)
	if err != nil {
		return nil, err
	}
	res.Events = h.all()
	res.countRequests()
	res.Violations = Check(s, res, disagreement)
	res.Deaths = Deaths(s, res.Events)
	res.InForceTimes = inForceTimes(s, res.Events)
	return res, nil
}

// runScript waits until the nodes have found each other, applies the faults with clients coming and waits until the nodes
// agree. It returns the disagreement that is left, empty where there is none.
func (r *Rig) runScript(ctx context.Context, res *Result) (disagreement string, err error) {
	flowing, stopFlows := context.WithCancel(ctx)
	defer stopFlows()
	defer r.reportProgress(flowing)()
	if err := r.awaitJoin(ctx, res); err != nil {
		return "", err
	}
	for _, n := range r.nodes {
		if err := n.copyDir(); err != nil {
			return "", err
		}
	}
	r.flows.Go(func() { r.traffic(flowing, ctx) })
	r.flows.Go(func() { r.recordBudget(flowing) })
	if err := r.injectFaults(ctx, res.Faults); err != nil {
		return "", err
	}
	if res.AgreementTime, disagreement, err = r.awaitAgreement(ctx, r.script.SettleTimeout); err != nil {
		return "", err
	}
	if disagreement == "" {
		r.history.add(Event{Kind: eventAgreement, Note: fmt.Sprintf("%.2f s after the last fault", res.AgreementTime)})
	}
	stopFlows()
	r.flows.Wait()
	return disagreement, nil
}

// injectFaults applies the faults of nodes and of control servers, with changes of configuration going on, and waits until
// the configuration is in force after them.
func (r *Rig) injectFaults(ctx context.Context, faults []Fault) error {
	if r.control == nil {
		return r.applyFaults(ctx, faults)
	}
	return r.control.runWithFaults(ctx, func() error { return r.applyFaults(ctx, faults) })
}

// awaitJoin waits until all nodes have found each other, which is an error where it takes too long.
func (r *Rig) awaitJoin(ctx context.Context, res *Result) (err error) {
	var disagreement string
	if res.JoinTime, disagreement, err = r.awaitAgreement(ctx, joinTimeout); err != nil {
		return err
	}
	if disagreement != "" {
		return fmt.Errorf("the nodes have not found each other within %g s: %s", joinTimeout, disagreement)
	}
	r.progressf("all %d have found each other after %.1f s", len(r.nodes), res.JoinTime)
	return nil
}

// FaultCount returns the number of faults, of nodes and of control servers.
func (r *Result) FaultCount() int { return len(r.Faults) + len(r.ControlFaults) }

// countRequests counts the flows and the proposed changes among the events, in all and by answer.
func (r *Result) countRequests() {
	r.Changes = map[string]int{}
	for _, e := range r.Events {
		switch e.Kind {
		case eventFlow:
			r.Requests++
			r.Answers[e.Answer]++
		case eventProposal:
			r.Requests++
			r.Changes[e.Control.Outcome]++
		}
	}
}
