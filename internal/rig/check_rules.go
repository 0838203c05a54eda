package rig

import (
	"fmt"
	"slices"
)

// checkDeaths checks that no node without a fault of its own is declared dead. The fault of the node that declares it
// does not count: one that was stopped or cut off must not declare others dead when it is back.
func checkDeaths(s *Script, events []Event) (out []Violation) {
	intervals := exemptIntervals(s, events)
	for _, e := range events {
		if e.Kind != eventMember || e.State != memberDead {
			continue
		}
		excused := slices.ContainsFunc(intervals[nodeIndex(e.Member)], func(w interval) bool {
			return e.At >= w.from && e.At <= w.to+exemptionPeriods*s.ProbePeriod
		})
		if !excused {
			out = append(out, Violation{RuleNoFalseDeath, e.At, fmt.Sprintf("n%d holds %s for dead", e.Node, e.Member)})
		}
	}
	return out
}

// checkAnswers checks that each flow got exactly one final answer and was not cut off, unless its node was killed, stopped
// or asked to leave during it. More than one answer is never excused.
func checkAnswers(events []Event) (out []Violation) {
	disturbed := map[int][]interval{}
	for _, e := range episodes(events) {
		if faultKinds[e.Kind].onLink {
			continue
		}
		for _, n := range e.Nodes {
			disturbed[n] = append(disturbed[n], interval{e.from, e.to + 1}) // until the front sees that it is back
		}
	}
	for _, e := range events {
		if e.Kind != eventFlow {
			continue
		}
		excused := slices.ContainsFunc(disturbed[e.Node], func(w interval) bool {
			return w.from <= e.At && w.to >= e.StartedAt
		})
		switch {
		case e.AnswerCount > 1:
			out = append(out, Violation{RuleOneAnswer, e.At, fmt.Sprintf("a flow through n%d got %d answers", e.Node, e.AnswerCount)})
		case excused:
		case e.AnswerCount == 0 || e.Answer == "failed" || e.Answer == "up" && e.Ending == "cut":
			out = append(out, Violation{RuleOneAnswer, e.At, fmt.Sprintf("a flow through n%d: %s %s", e.Node, e.Answer, e.Ending)})
		}
	}
	return out
}

// checkExits checks that a process ends only because of a fault that ends it.
func checkExits(events []Event) (out []Violation) {
	for i, e := range events {
		if e.Kind != eventProcessExit {
			continue
		}
		endedByFault := slices.ContainsFunc(events[:i], func(f Event) bool {
			return f.Kind == eventFaultStart && f.Fault != nil && faultKinds[f.Fault.Kind].endsProcess &&
				slices.Contains(f.Fault.Nodes, e.Node)
		})
		if !endedByFault {
			out = append(out, Violation{RuleNoUnexpectedExit, e.At, fmt.Sprintf("n%d ended: %s", e.Node, e.Note)})
		}
	}
	return out
}

// checkKnownDeaths checks that all nodes without a fault of their own declare a process that stays down dead within the
// script's liveness time.
func checkKnownDeaths(s *Script, events []Event) (out []Violation) {
	for _, f := range events {
		if !endsForLong(s, f) || endOf(events) < f.At+s.DetectionTimeout {
			continue
		}
		for _, dead := range f.Fault.Nodes {
			out = append(out, checkKnownDeath(s, events, dead, f.At)...)
		}
	}
	return out
}

// endsForLong reports whether an event is the begin of a fault that leaves a process down for long enough that all
// nodes have to declare it dead.
func endsForLong(s *Script, e Event) bool {
	if e.Kind != eventFaultStart || !faultKinds[e.Fault.Kind].staysDown {
		return false
	}
	return e.Fault.Duration >= s.DetectionTimeout+exemptionPeriods*s.ProbePeriod || e.Fault.Duration <= 0
}

// checkKnownDeath checks that all nodes without a fault of their own declare a node dead that went down at a time.
func checkKnownDeath(s *Script, events []Event, dead int, at float64) (out []Violation) {
	if affectedAfter(events, dead, at+sameFaultTime) {
		return nil
	}
	for n := range s.Nodes {
		if n == dead || affectedAfter(events, n, at) || declaredDead(events, n, dead, interval{at, at + s.DetectionTimeout}) {
			continue
		}
		text := fmt.Sprintf("n%d does not know that n%d is dead", n, dead)
		out = append(out, Violation{RuleDeathDetected, at + s.DetectionTimeout, text})
	}
	return out
}

// declaredDead reports whether a node declared another one dead within a time.
func declaredDead(events []Event, node, dead int, within interval) bool {
	return slices.ContainsFunc(events, func(e Event) bool {
		return e.Kind == eventMember && e.Node == node && nodeIndex(e.Member) == dead && e.State == memberDead &&
			e.At >= within.from && e.At <= within.to
	})
}

// checkBudgets checks that all nodes together never granted more than a cold host's budget.
func checkBudgets(events []Event) (out []Violation) {
	for _, e := range events {
		if e.Kind == eventBudget && e.BudgetShare > 1 {
			out = append(out, Violation{RuleBudget, e.At, fmt.Sprintf("%.2f of it", e.BudgetShare)})
		}
	}
	return out
}

// affectedAfter reports whether a fault affected a node at or after a time.
func affectedAfter(events []Event, n int, after float64) bool {
	for _, e := range events {
		if e.Fault != nil && e.At >= after && (slices.Contains(e.Fault.Nodes, n) || len(e.Fault.To) == 0 && faultKinds[e.Fault.Kind].onLink ||
			slices.Contains(e.Fault.To, n)) {
			return true
		}
	}
	return false
}
