package rig

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// exemptionPeriods is the number of probe periods after the end of a fault within which other nodes may declare the affected
// member dead. It covers the longest suspicion timeout, including the extension by a node's local health score.
const exemptionPeriods = 120.0

// maxToleratedFaultPeriods bounds the stops and cuts that a member must survive: if one lasts for fewer probe periods, the
// member must not be declared dead. It is the shortest suspicion timeout of a fleet of up to ten nodes.
const maxToleratedFaultPeriods = 4.0

// maxToleratedLoss is the highest share of lost datagrams, 0 to 1, at which no member may be declared dead.
const maxToleratedLoss = 0.2

// toleratedDelayDivisor is the divisor of the probe period that yields the highest delay of a delay fault at which no member may
// be declared dead. Such a fault adds as much jitter as delay, so that a higher delay can exceed the timeout of a direct probe,
// a fifth of the period.
const toleratedDelayDivisor = 10

// sameFaultTime is a time in seconds. Fault events of a node within this time after the start of a fault are attributed to
// that fault and not counted as another one.
const sameFaultTime = 0.01

// interval is a closed interval of time, in seconds since the start of the rig.
type interval struct{ from, to float64 }

// lastEventTime returns the time of the last event, or 0 if there are no events.
func lastEventTime(events []Event) float64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].At
}

// activeFault is a fault with the interval in which it was active. The interval ends at forever if the fault was still active
// at the end of the run or left the process down for the rest of the run.
type activeFault struct {
	Fault
	interval
}

// forever is the end of an interval that does not end within the run.
var forever = math.Inf(1)

// activeFaults returns the faults of nodes and links that the events contain, each with the interval from its start event to
// its end event.
func activeFaults(events []Event) (out []activeFault) {
	open := map[string]int{}
	for _, e := range events {
		if e.Fault == nil {
			continue
		}
		key := fmt.Sprintf("%v", *e.Fault)
		if e.Kind == eventFaultStart {
			open[key] = len(out)
			out = append(out, activeFault{*e.Fault, interval{e.At, forever}})
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

// exemptIntervals returns, by node, the intervals in which other nodes may declare it dead. These are the intervals in which
//   - a fault ended its process,
//   - it was stopped for maxToleratedFaultPeriods or longer, or together with other nodes,
//   - it was cut off, for maxToleratedFaultPeriods or longer, from all other nodes, or by a cut that leaves no path through
//     an unaffected node,
//   - its links to all other nodes had a loss above maxToleratedLoss or a delay above a tenth of the probe period.
//
// If a cut isolates several nodes from all others, the intervals of every node contain it. Loss and delay on links to selected
// nodes do not exempt any node.
func exemptIntervals(s *Script, events []Event) map[int][]interval {
	out := map[int][]interval{}
	for _, e := range activeFaults(events) {
		addExemptions(s, out, e.Fault, e.interval)
	}
	return out
}

// addExemptions adds the interval of a fault to out for each node that others may declare dead because of the fault.
func addExemptions(s *Script, out map[int][]interval, f Fault, active interval) {
	exceedsTolerance := active.to-active.from >= maxToleratedFaultPeriods*s.ProbePeriod
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
		if exceedsTolerance || len(f.Nodes) > 1 {
			add(f.Nodes)
		}
	case faultCut:
		if !exceedsTolerance {
			return
		}
		if len(f.To) == 0 { // no other node receives datagrams from the nodes of the fault
			add(f.Nodes)
			if len(f.Nodes) > 1 { // the cut may leave no path between the remaining nodes either
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
		if f.Amount > maxToleratedLoss && len(f.To) == 0 {
			add(f.Nodes)
		}
	case faultDelay:
		if f.Amount > s.ProbePeriod/toleratedDelayDivisor && len(f.To) == 0 {
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
