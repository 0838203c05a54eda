package rig

import (
	"fmt"
	"slices"

	"gorseledge/internal/configfeed"
)

// The rules for control servers and the distribution of the configuration, as reports name them.
const (
	RuleNoOlderVersion         = "no node goes back to an older version"
	RuleWholeChanges           = "no node has only part of a change in force"
	RuleDurable                = "no accepted change is lost unless the disks that hold it are lost"
	RuleInForce                = "a change is in force at all nodes within the in_force time"
	RuleAccept                 = "a change is accepted after the last fault"
	RuleNoUnexpectedServerExit = "no control server ends without a fault that ends it"
)

// replicationTime is the time in seconds within which an accepted change reaches all servers that are running and not cut
// off.
const replicationTime = 5.0

// observationDelay is the maximum time in seconds from when a node has a version in force until the rig observes it.
const observationDelay = 0.5

// checkControl returns the violations of the rules for control servers and the configuration.
func checkControl(s *Script, events []Event) (out []Violation) {
	if s.ControlServers == 0 {
		return nil
	}
	out = append(out, checkNoOlderVersion(events)...)
	out = append(out, checkWholeChanges(events)...)
	out = append(out, checkDurable(s, events)...)
	out = append(out, checkInForce(s, events)...)
	out = append(out, checkAccept(events)...)
	for _, e := range events {
		if e.Kind == eventServerDied {
			out = append(out, Violation{RuleNoUnexpectedServerExit, e.At, fmt.Sprintf("c%d: %s", e.Control.Server, e.Note)})
		}
	}
	return out
}

// checkAccept checks that the last proposal was accepted. It is made after all faults and has no concurrent proposal.
func checkAccept(events []Event) (out []Violation) {
	for _, e := range slices.Backward(events) {
		if e.Kind != eventProposal {
			continue
		}
		if e.Control.Outcome != string(configfeed.Accepted) {
			text := fmt.Sprintf("the outcome of the last proposal is %q: %s", e.Control.Outcome, e.Note)
			out = append(out, Violation{RuleAccept, e.At, text})
		}
		return out
	}
	return out
}

// checkNoOlderVersion checks that the version of a node never decreases while a process of the node is running. A node that
// had no process in between starts without a version.
func checkNoOlderVersion(events []Event) (out []Violation) {
	processes := map[int]int{}
	versions := map[int]configfeed.Version{}
	for _, e := range events {
		switch e.Kind {
		case eventProcessStart:
			processes[e.Node]++
			if processes[e.Node] == 1 {
				delete(versions, e.Node)
			}
		case eventProcessExit:
			processes[e.Node]--
		case eventConfig:
			previous, current := versions[e.Node], e.Control.Version
			if current.Compare(previous) < 0 {
				text := fmt.Sprintf("n%d went from version %s back to %s", e.Node, previous, current)
				out = append(out, Violation{RuleNoOlderVersion, e.At, text})
			}
			versions[e.Node] = current
		}
	}
	return out
}

// checkWholeChanges checks that the entries that a node has in force under a version are those of a change that was accepted
// as this version. Also allowed are the entries of a proposal with an unknown outcome, because its answer was lost or
// reported a disk error: the writer may have accepted it all the same.
func checkWholeChanges(events []Event) (out []Violation) {
	accepted := map[configfeed.Version][]string{}
	unknownOutcome := map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == eventProposal && e.Control.Outcome == string(configfeed.Accepted), e.Kind == eventEpoch:
			accepted[e.Control.Version] = append(accepted[e.Control.Version], e.Control.Digest)
		case e.Kind == eventProposal && (e.Control.Outcome == outcomeUnknown || e.Control.Outcome == string(configfeed.Failed)):
			unknownOutcome[e.Control.Digest] = true
		}
	}
	for _, e := range events {
		if e.Kind != eventConfig || e.Control.Version == (configfeed.Version{}) {
			continue
		}
		c := e.Control
		if slices.Contains(accepted[c.Version], c.Digest) || unknownOutcome[c.Digest] {
			continue
		}
		text := fmt.Sprintf("n%d has digest %s in version %s, accepted were %v", e.Node, c.Digest, c.Version, accepted[c.Version])
		out = append(out, Violation{RuleWholeChanges, e.At, text})
	}
	return out
}

// activeControlFault is a fault of control servers with the interval in which it was active.
type activeControlFault struct {
	ControlFault
	interval
}

// activeControlFaults returns the faults of control servers, each with the interval from its start event to its end event. The
// interval ends at forever if the events contain no end.
func activeControlFaults(events []Event) (out []activeControlFault) {
	open := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case eventControlFaultStart:
			open[fmt.Sprint(*e.Control.Fault)] = len(out)
			out = append(out, activeControlFault{*e.Control.Fault, interval{e.At, forever}})
		case eventControlFaultEnd:
			out[open[fmt.Sprint(*e.Control.Fault)]].to = e.At
		}
	}
	return out
}

// checkDurable checks that the writer holds every accepted change at the end of the run. Exempt are changes that may be lost
// because the writer's directory was wiped or rolled back before the other servers had the change.
func checkDurable(s *Script, events []Event) (out []Violation) {
	at := slices.IndexFunc(events, func(e Event) bool { return e.Kind == eventHeldProposals })
	if at < 0 {
		return nil
	}
	faults := activeControlFaults(events)
	for _, e := range events {
		if e.Kind != eventProposal || e.Control.Outcome != string(configfeed.Accepted) ||
			slices.Contains(events[at].Control.ProposalIDs, e.Control.ID) || mayBeLost(e.At, faults) {
			continue
		}
		text := fmt.Sprintf("the writer no longer holds proposal %s, accepted as version %s", e.Control.ID, e.Control.Version)
		out = append(out, Violation{RuleDurable, e.At, text})
	}
	return out
}

// mayBeLost reports whether a change that was accepted at a time may be lost at the end of the run. It may be if the writer's
// directory was lost before the change was replicated, together with other directories, or near another fault of control
// servers, which may have prevented the replication or the recovery.
func mayBeLost(accepted float64, faults []activeControlFault) bool {
	for _, lost := range faults {
		if !changesDirectory(lost.ControlFault) || !slices.Contains(lost.Servers, 0) || lost.to < accepted {
			continue
		}
		if lost.from < accepted+replicationTime || len(lost.Servers) > 1 {
			return true
		}
		for _, other := range faults {
			if other.interval != lost.interval && other.from < lost.to+replicationTime && other.to > accepted {
				return true
			}
		}
	}
	return false
}

// checkInForce checks that the rig never waited in vain for the writer's version to be in force at all nodes, and that each
// measured change was in force at all nodes within the in_force time.
func checkInForce(s *Script, events []Event) (out []Violation) {
	for _, e := range events {
		if e.Kind == eventNotInForce {
			text := fmt.Sprintf("the writer's version is not in force within %g s: %s", s.InForceTimeout, e.Note)
			out = append(out, Violation{RuleInForce, e.At, text})
		}
	}
	for _, change := range measuredChanges(s, events) {
		if change.delay > s.InForceTimeout+observationDelay {
			out = append(out, Violation{RuleInForce, change.at,
				fmt.Sprintf("version %s in force at n%d after %.2f s", change.version, change.lastNode, change.delay)})
		}
	}
	return out
}

// inForceTimes returns for each measured change the time in seconds until it was in force at the last node.
func inForceTimes(s *Script, events []Event) (times []float64) {
	for _, change := range measuredChanges(s, events) {
		times = append(times, change.delay)
	}
	return times
}

// measuredChange is an accepted change with the time that it took to be in force at all nodes.
type measuredChange struct {
	at       float64 // when it was accepted, in seconds from the start of the rig
	version  configfeed.Version
	delay    float64 // seconds until it was in force at the last node, infinite if it never was
	lastNode int     // index of the node that had it in force last
}

// measuredChanges returns the accepted changes that no fault of control servers may have delayed: see mayDelayChange. Nodes
// with a process fault around the change are not considered.
func measuredChanges(s *Script, events []Event) (out []measuredChange) {
	faults := activeControlFaults(events)
	nodeFaults := activeFaults(events)
	end := lastEventTime(events)
	for _, e := range events {
		if e.Kind != eventProposal || e.Control.Outcome != string(configfeed.Accepted) {
			continue
		}
		window := interval{e.At - s.InForceTimeout, e.At + s.InForceTimeout}
		if window.to > end || mayDelayChange(faults, window) {
			continue
		}
		change := measuredChange{at: e.At, version: e.Control.Version}
		for node := range s.Nodes {
			if hasProcessFault(nodeFaults, node, window) {
				continue
			}
			delay := firstInForce(events, node, e.Control.Version) - e.At
			if delay > change.delay {
				change.delay = delay
				change.lastNode = node
			}
		}
		out = append(out, change)
	}
	return out
}

// mayDelayChange reports whether faults of control servers in a window may keep a change from nodes for longer than the
// in_force time. That holds for a fault of the writer's process, a region that is cut off, a fault of several servers, and
// for more than one fault in the window.
func mayDelayChange(faults []activeControlFault, window interval) bool {
	active := 0
	for _, f := range faults {
		if f.from > window.to || f.to < window.from {
			continue
		}
		ofWriter := !controlKinds[f.Kind] && slices.Contains(f.Servers, 0)
		if ofWriter || f.Kind == faultRegion || len(f.Servers) > 1 {
			return true
		}
		active++
	}
	return active > 1
}

// hasProcessFault reports whether a fault of a node's process was active within a window.
func hasProcessFault(faults []activeFault, node int, window interval) bool {
	return slices.ContainsFunc(faults, func(f activeFault) bool {
		return !faultKinds[f.Kind].onLink && slices.Contains(f.Nodes, node) && f.from <= window.to && f.to >= window.from
	})
}

// firstInForce returns when the rig first observed a version or a newer one in force at a node, or infinity.
func firstInForce(events []Event, node int, v configfeed.Version) float64 {
	for _, e := range events {
		if e.Kind == eventConfig && e.Node == node && e.Control.Version.Compare(v) >= 0 {
			return e.At
		}
	}
	return forever
}
