package rig

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// exemptionPeriods is the number of probe periods after a fault during which other nodes may still declare the affected
// member dead: the longest suspicion timeout, extended by a node's local health score.
const exemptionPeriods = 120.0

// tolerablePeriods is the number of probe periods for which a process may be stopped, or cut off from all others, and must
// still not be declared dead: the shortest suspicion timeout.
const tolerablePeriods = 4.0

// tolerableLoss is the share of lost datagrams up to which a member must not be declared dead.
const tolerableLoss = 0.2

// sameFaultTime is the time in seconds after the start of a fault in which events of faults are considered to belong to
// this fault, not to a further one.
const sameFaultTime = 0.01

// interval is a span of time, in seconds from the start of the rig. Both ends belong to it.
type interval struct{ from, to float64 }

// endOf returns the time of the last event, or 0 if there are no events.
func endOf(events []Event) float64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].At
}

// episode is a fault with the interval in which it was active. The interval is without end if the fault had not ended when
// the run did, or if it leaves the process down for the rest of the run.
type episode struct {
	Fault
	interval
}

// forever is the end of an interval that does not end within the run.
var forever = math.Inf(1)

// episodes pairs the start of each fault of nodes or links with its end.
func episodes(events []Event) (out []episode) {
	open := map[string]int{}
	for _, e := range events {
		if e.Fault == nil {
			continue
		}
		key := fmt.Sprintf("%v", *e.Fault)
		if e.Kind == eventFaultStart {
			open[key] = len(out)
			out = append(out, episode{*e.Fault, interval{e.At, forever}})
			continue
		}
		i, begun := open[key]
		staysDown := e.Fault.Duration == 0 && faultKinds[e.Fault.Kind].staysDown
		if begun && !staysDown {
			out[i].to = e.At
			delete(open, key)
		}
	}
	return out
}

// exemptIntervals returns, by node, the intervals in which other nodes may declare it dead, because it was down, stopped for
// long, cut off from all others, behind links with more loss or delay than the rules cover, or in a cut that leaves no
// path through another node.
func exemptIntervals(s *Script, events []Event) map[int][]interval {
	out := map[int][]interval{}
	for _, e := range episodes(events) {
		addExemptions(s, out, e.Fault, e.interval)
	}
	return out
}

// addExemptions adds the interval of a fault to out for each node that others may declare dead because of the fault.
func addExemptions(s *Script, out map[int][]interval, f Fault, active interval) {
	long := active.to-active.from >= tolerablePeriods*s.ProbePeriod
	add := func(nodes []int) {
		for _, n := range nodes {
			out[n] = append(out[n], active)
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
		if len(f.To) == 0 { // no other node receives datagrams from it
			add(f.Nodes)
			if len(f.Nodes) > 1 { // the remaining nodes may have no path to each other either
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
		if f.Amount > tolerableLoss && len(f.To) == 0 {
			add(f.Nodes)
		}
	case faultDelay: // a delay above a tenth of the period is longer than the timeout of a probe
		if f.Amount > s.ProbePeriod/10 && len(f.To) == 0 {
			add(f.Nodes)
		}
	}
}

// leavesPath reports whether a cut leaves at least one node unaffected, through which all others can reach each other.
func leavesPath(s *Script, f Fault) bool {
	for n := range s.Nodes {
		if !slices.Contains(f.Nodes, n) && !slices.Contains(f.To, n) {
			return true
		}
	}
	return false
}

// nodeIndex returns the index in a node's name ("n3"), or -1 if there is no number after the n.
func nodeIndex(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil {
		return -1
	}
	return n
}
