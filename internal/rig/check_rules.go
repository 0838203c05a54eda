package rig

import (
	"fmt"
	"slices"
)

// checkDeaths checks that no node is declared dead without a fault of its own. A fault of the declaring node is no
// exemption: a node that was stopped or cut off must not declare others dead when it is back.
func checkDeaths(s *Script, events []Event) (out []Violation) {
	intervals := exemptIntervals(s, events)
	for _, e := range events {
		if e.Kind != eventMember || e.State != memberDead {
			continue
		}
		exempt := slices.ContainsFunc(intervals[nodeIndex(e.Member)], func(i interval) bool {
			return e.At >= i.from && e.At <= i.to+exemptionPeriods*s.ProbePeriod
		})
		if !exempt {
			out = append(out, Violation{RuleNoFalseDeath, e.At, fmt.Sprintf("n%d holds %s for dead", e.Node, e.Member)})
		}
	}
	return out
}

// checkAnswers checks that each flow got exactly one final answer and was not cut off. A flow during which its node had a
// process fault is exempt, but must not get more than one answer either.
func checkAnswers(events []Event) (out []Violation) {
	faulty := map[int][]interval{}
	for _, e := range activeFaults(events) {
		if faultKinds[e.Kind].onLink {
			continue
		}
		for _, n := range e.Nodes {
			faulty[n] = append(faulty[n], interval{e.from, e.to + 1}) // a second for the balancer in front to notice
		}
	}
	for _, e := range events {
		if e.Kind != eventFlow {
			continue
		}
		exempt := slices.ContainsFunc(faulty[e.Node], func(i interval) bool {
			return i.from <= e.At && i.to >= e.StartedAt
		})
		switch {
		case e.AnswerCount > 1:
			out = append(out, Violation{RuleOneAnswer, e.At, fmt.Sprintf("a flow through n%d got %d answers", e.Node, e.AnswerCount)})
		case exempt:
		case e.AnswerCount == 0 || e.Answer == "failed" || e.Answer == "up" && e.Ending == "cut":
			text := fmt.Sprintf("a flow through n%d: answer %q, ending %q", e.Node, e.Answer, e.Ending)
			out = append(out, Violation{RuleOneAnswer, e.At, text})
		}
	}
	return out
}

// checkExits checks that a process of a node ends only after a fault that ends processes of this node.
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

// checkKnownDeaths checks that a process that stays down is declared dead within the script's liveness time by all nodes
// that have no fault of their own.
func checkKnownDeaths(s *Script, events []Event) (out []Violation) {
	for _, f := range events {
		if !requiresDetection(s, f) || lastEventTime(events) < f.At+s.DetectionTimeout {
			continue
		}
		for _, dead := range f.Fault.Nodes {
			out = append(out, checkKnownDeath(s, events, dead, f.At)...)
		}
	}
	return out
}

// requiresDetection reports whether an event begins a fault that keeps a process down for so long that all nodes must declare it
// dead.
func requiresDetection(s *Script, e Event) bool {
	if e.Kind != eventFaultStart || !faultKinds[e.Fault.Kind].staysDown {
		return false
	}
	return e.Fault.Duration >= s.DetectionTimeout+exemptionPeriods*s.ProbePeriod || e.Fault.Duration <= 0
}

// checkKnownDeath checks that a node that went down at a time is declared dead by all nodes without a fault of their own.
// If the dead node has another fault later, nothing is checked.
func checkKnownDeath(s *Script, events []Event, dead int, at float64) (out []Violation) {
	if affectedAfter(events, dead, at+sameFaultTime) {
		return nil
	}
	for n := range s.Nodes {
		if n == dead || affectedAfter(events, n, at) || declaredDead(events, n, dead, interval{at, at + s.DetectionTimeout}) {
			continue
		}
		text := fmt.Sprintf("n%d did not declare n%d dead", n, dead)
		out = append(out, Violation{RuleDeathDetected, at + s.DetectionTimeout, text})
	}
	return out
}

// declaredDead reports whether a node declared another one dead within an interval.
func declaredDead(events []Event, node, dead int, within interval) bool {
	return slices.ContainsFunc(events, func(e Event) bool {
		return e.Kind == eventMember && e.Node == node && nodeIndex(e.Member) == dead && e.State == memberDead &&
			e.At >= within.from && e.At <= within.to
	})
}

// checkBudgets checks that all nodes together never grant more than a cold host's budget.
func checkBudgets(events []Event) (out []Violation) {
	for _, e := range events {
		if e.Kind == eventBudget && e.BudgetShare > 1 {
			out = append(out, Violation{RuleBudget, e.At, fmt.Sprintf("all nodes together grant %.2f of the budget", e.BudgetShare)})
		}
	}
	return out
}

// affectedAfter reports whether a fault that affects a node began or ended at or after a time.
func affectedAfter(events []Event, n int, after float64) bool {
	for _, e := range events {
		if e.Fault != nil && e.At >= after && (slices.Contains(e.Fault.Nodes, n) || len(e.Fault.To) == 0 && faultKinds[e.Fault.Kind].onLink ||
			slices.Contains(e.Fault.To, n)) {
			return true
		}
	}
	return false
}
