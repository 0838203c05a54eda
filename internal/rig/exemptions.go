package rig

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// exemptionPeriods is the number of periods after a fault in which others may still declare the affected member dead
// because of it: the longest suspicion time, lengthened by a node's local health score.
const exemptionPeriods = 120.0

// tolerablePeriods is the number of periods for which a process may be stopped, or cut off from all, without being
// declared dead: the shortest suspicion time.
const tolerablePeriods = 4.0

// tolerableLoss is the share of lost datagrams up to which a member must not be declared dead.
const tolerableLoss = 0.2

// sameFaultTime is the time in seconds after the begin of a fault in which no other fault is looked for.
const sameFaultTime = 0.01

// interval is the time from the begin to the end of something, in seconds from the start of the rig.
type interval struct{ from, to float64 }

// endOf returns the time of the last event.
func endOf(events []Event) float64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].At
}

// episode is a fault with the time for which it lasted. One that was not over when the run ended, or that leaves its
// process down, lasts forever.
type episode struct {
	Fault
	interval
}

// forever is the end of an interval that does not end within the run.
var forever = math.Inf(1)

// episodes pairs the begin of each fault with its end.
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

// exemptIntervals returns, by node, the times in which others may declare it dead: it was down, stopped for long, cut
// off from or by all others, behind links with more loss or delay than the rules cover, or in a cut that leaves no path
// through another node.
func exemptIntervals(s *Script, events []Event) map[int][]interval {
	out := map[int][]interval{}
	for _, e := range episodes(events) {
		addExemptions(s, out, e.Fault, e.interval)
	}
	return out
}

// addExemptions adds to out the interval w for each node that the fault excuses.
func addExemptions(s *Script, out map[int][]interval, f Fault, w interval) {
	long := w.to-w.from >= tolerablePeriods*s.ProbePeriod
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
		if f.Amount > tolerableLoss && len(f.To) == 0 {
			add(f.Nodes)
		}
	case faultDelay: // longer than the timeout of a probe
		if f.Amount > s.ProbePeriod/10 && len(f.To) == 0 {
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
