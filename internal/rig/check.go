package rig

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Violation is a violation of one of the rules of a run. At is in seconds from the start of the rig.
type Violation struct {
	Rule string  `json:"rule"`
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

func (b Violation) String() string { return fmt.Sprintf("%.2f s: %s: %s", b.At, b.Rule, b.Text) }

// The rules of a run, as they stand in reports.
const (
	RuleDeath  = "no blameless member is held for dead"
	RuleAnswer = "each flow gets one final answer"
	RuleAgree  = "all agree within the stated time after the last fault"
	RuleKnown  = "a death is known everywhere within the stated time"
	RuleExit   = "no process ends by itself"
	RuleBudget = "all nodes together stay within a cold host's budget"
)

// excusePeriods is the number of periods after a fault in which others may still declare the affected member dead
// because of it: the longest suspicion time, lengthened by a node's local health score.
const excusePeriods = 120.0

// tolerablePeriods is the number of periods for which a process may be stopped, or cut off from all, without being
// declared dead: the shortest suspicion time.
const tolerablePeriods = 4.0

// tolerableLoss is the share of lost datagrams up to which a member must not be declared dead.
const tolerableLoss = 0.2

// interval is the time from the begin to the end of something, in seconds from the start of the rig.
type interval struct{ from, to float64 }

// Check returns the violations in a run, by their times. It reads the events of the result and the times that the script
// states; disagreement is what Run found when it waited for agreement, empty where all nodes agreed.
func Check(s *Script, r *Result, disagreement string) (out []Violation) {
	out = append(out, checkDeaths(s, r.Events)...)
	out = append(out, checkAnswers(r.Events)...)
	out = append(out, checkExits(r.Events)...)
	out = append(out, checkKnownDeaths(s, r.Events)...)
	out = append(out, checkBudgets(r.Events)...)
	out = append(out, checkControl(s, r.Events)...)
	if disagreement != "" {
		out = append(out, Violation{RuleAgree, endOf(r.Events), disagreement})
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return out
}

// endOf returns the time of the last event.
func endOf(events []Event) float64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].At
}

// episode is a fault with the time for which it lasted. One that was not over when the run ended, or that leaves its
// process down, lasts for ever.
type episode struct {
	Fault
	interval
}

var forever = math.Inf(1)

// episodes pairs the begin of each fault with its end.
func episodes(events []Event) (out []episode) {
	open := map[string]int{}
	for _, e := range events {
		if e.Fault == nil {
			continue
		}
		key := fmt.Sprintf("%v", *e.Fault)
		if e.What == eventFault {
			open[key] = len(out)
			out = append(out, episode{*e.Fault, interval{e.At, forever}})
		} else if i, begun := open[key]; begun && !(e.Fault.For == 0 && faultKinds[e.Fault.Kind].staysDown) {
			out[i].to = e.At
			delete(open, key)
		}
	}
	return out
}

// excusedIntervals returns, by node, the times in which others may declare it dead: it was down, stopped for long, cut
// off from or by all others, behind links with more loss or delay than the rules cover, or in a cut that leaves no path
// through another node.
func excusedIntervals(s *Script, events []Event) map[int][]interval {
	out := map[int][]interval{}
	for _, e := range episodes(events) {
		addExcuses(s, out, e.Fault, e.interval)
	}
	return out
}

// addExcuses adds to out the interval w for each node that the fault excuses.
func addExcuses(s *Script, out map[int][]interval, f Fault, w interval) {
	long := w.to-w.from >= tolerablePeriods*s.Period
	add := func(nodes []int) {
		for _, n := range nodes {
			out[n] = append(out[n], w)
		}
	}
	if faultKinds[f.Kind].endsProcess {
		add(f.Nodes)
	}
	switch f.Kind {
	case faultStop:
		if long || len(f.Nodes) > 1 {
			add(f.Nodes)
		}
	case faultCut:
		if !long {
			return
		}
		if len(f.To) == 0 { // no other node receives anything from it
			add(f.Nodes)
			if len(f.Nodes) > 1 { // the remaining nodes may be too few for a path
				for n := range s.Nodes {
					add([]int{n})
				}
			}
			return
		}
		if leavesPath(s, f) {
			return
		}
		add(f.Nodes)
		add(f.To)
	case faultLoss:
		if f.By > tolerableLoss && len(f.To) == 0 {
			add(f.Nodes)
		}
	case faultDelay: // longer than the timeout of a probe
		if f.By > s.Period/10 && len(f.To) == 0 {
			add(f.Nodes)
		}
	}
}

// leavesPath reports whether a cut leaves a node untouched, so that all others can be reached through it.
func leavesPath(s *Script, f Fault) bool {
	for n := range s.Nodes {
		if !slices.Contains(f.Nodes, n) && !slices.Contains(f.To, n) {
			return true
		}
	}
	return false
}

// nodeIndex returns the index of a node by its name, -1 where the name is not one of the rig's.
func nodeIndex(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil {
		return -1
	}
	return n
}

// checkDeaths checks that no node without a fault of its own is declared dead. The fault of the node that declares it
// does not count: one that was stopped or cut off must not accuse others when it is back.
func checkDeaths(s *Script, events []Event) (out []Violation) {
	intervals := excusedIntervals(s, events)
	for _, e := range events {
		if e.What != eventMember || e.State != memberDead {
			continue
		}
		excused := false
		for _, w := range intervals[nodeIndex(e.Member)] {
			excused = excused || e.At >= w.from && e.At <= w.to+excusePeriods*s.Period
		}
		if !excused {
			out = append(out, Violation{RuleDeath, e.At, fmt.Sprintf("n%d holds %s for dead", e.Node, e.Member)})
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
		if e.What != eventFlow {
			continue
		}
		excused := false
		for _, w := range disturbed[e.Node] {
			excused = excused || w.from <= e.At && w.to >= e.Began
		}
		switch {
		case e.Count > 1:
			out = append(out, Violation{RuleAnswer, e.At, fmt.Sprintf("a flow through n%d got %d answers", e.Node, e.Count)})
		case excused:
		case e.Count == 0 || e.Answer == "failed" || e.Answer == "up" && e.Ended == "cut":
			out = append(out, Violation{RuleAnswer, e.At, fmt.Sprintf("a flow through n%d: %s %s", e.Node, e.Answer, e.Ended)})
		}
	}
	return out
}

// checkExits checks that a process ends only because of a fault that ends it.
func checkExits(events []Event) (out []Violation) {
	for i, e := range events {
		if e.What != eventExit {
			continue
		}
		asked := false
		for _, f := range events[:i] {
			asked = asked || f.What == eventFault && f.Fault != nil && faultKinds[f.Fault.Kind].endsProcess &&
				slices.Contains(f.Fault.Nodes, e.Node)
		}
		if !asked {
			out = append(out, Violation{RuleExit, e.At, fmt.Sprintf("n%d ended: %s", e.Node, e.Note)})
		}
	}
	return out
}

// checkKnownDeaths checks that all nodes without a fault of their own declare a process that stays down dead within the
// script's liveness time.
func checkKnownDeaths(s *Script, events []Event) (out []Violation) {
	for _, f := range events {
		if f.What != eventFault || !faultKinds[f.Fault.Kind].staysDown ||
			f.Fault.For < s.Liveness+excusePeriods*s.Period && f.Fault.For > 0 {
			continue
		}
		for _, dead := range f.Fault.Nodes {
			for n := range s.Nodes {
				if n == dead || affectedAfter(events, n, f.At) || affectedAfter(events, dead, f.At+0.01) {
					continue
				}
				heard := false
				for _, e := range events {
					heard = heard || e.What == eventMember && e.Node == n && nodeIndex(e.Member) == dead && e.State == memberDead &&
						e.At >= f.At && e.At <= f.At+s.Liveness
				}
				if end := endOf(events); !heard && end >= f.At+s.Liveness {
					out = append(out, Violation{RuleKnown, f.At + s.Liveness, fmt.Sprintf("n%d does not know that n%d is dead", n, dead)})
				}
			}
		}
	}
	return out
}

// checkBudgets checks that all nodes together never gave out more than a cold host's budget.
func checkBudgets(events []Event) (out []Violation) {
	for _, e := range events {
		if e.What == eventBudget && e.Part > 1 {
			out = append(out, Violation{RuleBudget, e.At, fmt.Sprintf("%.2f of it", e.Part)})
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
