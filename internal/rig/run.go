package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const joinTimeout = 60.0 // seconds within which all nodes must list each other as alive after their start

// Result is the outcome of a run. Times are in seconds.
type Result struct {
	Seed          uint64
	Faults        []Fault
	ControlFaults []ControlFault
	Events        []Event
	Violations    []Violation    `json:"Breaks"`
	Requests      int            `json:"Calls"` // number of flows and proposed changes
	Answers       map[string]int // number of flows by answer
	JoinTime      float64        `json:"Met"`    // from the start of the nodes until they all agreed
	AgreementTime float64        `json:"Agreed"` // from the end of the last fault until all nodes agreed, or -1
	Changes       map[string]int // number of proposed changes of the configuration by outcome
	InForceTimes  []float64      `json:"InForce"` // times of measured changes until in force at all nodes
	Deaths        []Death        // processes that were down for long, and their detection
	Nodes         int            // number of nodes
}

// Summary returns the last line of a run's report.
func (r *Result) Summary() string {
	return fmt.Sprintf("SEED %d: %d calls, %d faults, broken %d", r.Seed, r.Requests, r.FaultCount(), len(r.Violations))
}

// Run runs a script once and checks the rules. An error means that the run itself failed; violations of rules are part of
// the result. When Run returns, also with an error, all processes and goroutines that it started have ended.
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
	res = &Result{Seed: o.Seed, Faults: s.GenerateFaults(o.Seed), ControlFaults: s.GenerateControlFaults(o.Seed),
		Nodes: s.Nodes, Answers: map[string]int{}}
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

// runScript waits until all nodes agree, injects the faults while clients open flows, and waits until all nodes agree again.
// It returns the last disagreement, or an empty string if the nodes agreed in time.
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

// injectFaults injects the faults of nodes and returns when the script is over. If the script has control servers, it also
// injects their faults, proposes changes of the configuration, and afterwards waits until the configuration is in force.
func (r *Rig) injectFaults(ctx context.Context, faults []Fault) error {
	if r.control == nil {
		return r.applyFaults(ctx, faults)
	}
	return r.control.runWithFaults(ctx, func() error { return r.applyFaults(ctx, faults) })
}

// awaitJoin waits until all nodes list each other as alive. It returns an error if they do not within joinTimeout.
func (r *Rig) awaitJoin(ctx context.Context, res *Result) (err error) {
	var disagreement string
	if res.JoinTime, disagreement, err = r.awaitAgreement(ctx, joinTimeout); err != nil {
		return err
	}
	if disagreement != "" {
		return fmt.Errorf("the nodes do not list each other as alive after %g s: %s", joinTimeout, disagreement)
	}
	r.progressf("all %d nodes list each other as alive after %.1f s", len(r.nodes), res.JoinTime)
	return nil
}

// FaultCount returns the number of faults of nodes, links and control servers.
func (r *Result) FaultCount() int { return len(r.Faults) + len(r.ControlFaults) }

// countRequests counts the flows and proposed changes among the events, in total, by answer and by outcome.
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
