package rig

import (
	"fmt"
	"slices"

	"gorseledge/internal/configfeed"
)

// The rules of the configuration's distribution.
const (
	RuleNoOlderVersion         = "no node goes back a revision"
	RuleWholeChanges           = "no node has a part of a change in force"
	RuleDurable                = "no accepted change is lost while its disk lives"
	RuleInForce                = "a change is in force everywhere within the stated time"
	RuleAccept                 = "after all faults a change is accepted"
	RuleNoUnexpectedServerExit = "no control server ends by itself"
)

// replicationTime is the time in seconds in which an accepted change reaches servers that are not cut off or down.
const replicationTime = 5.0

// observationDelay is the time in seconds by which the rig may see a node's version late.
const observationDelay = 0.5

// checkControl returns the violations of the rules of the configuration's distribution.
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

// checkAccept checks the last proposal, which is made after all faults and without a concurrent one.
func checkAccept(events []Event) (out []Violation) {
	for _, e := range slices.Backward(events) {
		if e.Kind != eventProposal {
			continue
		}
		if e.Control.Outcome != string(configfeed.Accepted) {
			out = append(out, Violation{RuleAccept, e.At, fmt.Sprintf("it was answered %s: %s", e.Control.Outcome, e.Note)})
		}
		return out
	}
	return out
}

// checkNoOlderVersion checks that the versions of a node only go up. A node that had no process for a while has lost its
// version and starts without one.
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
				text := fmt.Sprintf("n%d from %s to %s", e.Node, previous, current)
				out = append(out, Violation{RuleNoOlderVersion, e.At, text})
			}
			versions[e.Node] = current
		}
	}
	return out
}

// checkWholeChanges checks that a node has, under each version, the entries of a change that was accepted as that version, or
// of one whose answer was lost or came later.
func checkWholeChanges(events []Event) (out []Violation) {
	accepted := map[configfeed.Version][]string{}
	unknown := map[string]bool{}
	for _, e := range events {
		switch {
		case e.Kind == eventProposal && e.Control.Outcome == string(configfeed.Accepted), e.Kind == eventEpoch:
			accepted[e.Control.Version] = append(accepted[e.Control.Version], e.Control.Digest)
		case e.Kind == eventProposal && (e.Control.Outcome == outcomeUnknown || e.Control.Outcome == string(configfeed.Failed)):
			unknown[e.Control.Digest] = true
		}
	}
	for _, e := range events {
		if e.Kind != eventConfig || e.Control.Version == (configfeed.Version{}) {
			continue
		}
		c := e.Control
		if slices.Contains(accepted[c.Version], c.Digest) || unknown[c.Digest] {
			continue
		}
		text := fmt.Sprintf("n%d has digest %s under %s, accepted was %v", e.Node, c.Digest, c.Version, accepted[c.Version])
		out = append(out, Violation{RuleWholeChanges, e.At, text})
	}
	return out
}

// controlEpisode is a fault of control servers with the time for which it lasted.
type controlEpisode struct {
	ControlFault
	interval
}

// controlEpisodes pairs the begin of each fault of control servers with its end.
func controlEpisodes(events []Event) (out []controlEpisode) {
	open := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case eventControlFaultStart:
			open[fmt.Sprint(*e.Control.Fault)] = len(out)
			out = append(out, controlEpisode{*e.Control.Fault, interval{e.At, forever}})
		case eventControlFaultEnd:
			out[open[fmt.Sprint(*e.Control.Fault)]].to = e.At
		}
	}
	return out
}

// checkDurable checks that the writer holds every accepted change at the end, unless its disk was taken away after the
// change and other faults may have kept the change from the others.
func checkDurable(s *Script, events []Event) (out []Violation) {
	at := slices.IndexFunc(events, func(e Event) bool { return e.Kind == eventHeldProposals })
	if at < 0 {
		return nil
	}
	faults := controlEpisodes(events)
	for _, e := range events {
		if e.Kind != eventProposal || e.Control.Outcome != string(configfeed.Accepted) ||
			slices.Contains(events[at].Control.ProposalIDs, e.Control.ID) || mayBeLost(e.At, faults) {
			continue
		}
		text := fmt.Sprintf("%s was accepted as %s", e.Control.ID, e.Control.Version)
		out = append(out, Violation{RuleDurable, e.At, text})
	}
	return out
}

// mayBeLost reports whether a change that was accepted at a time need not be held any more.
func mayBeLost(accepted float64, faults []controlEpisode) bool {
	for _, lost := range faults {
		if !touchesDirectory(lost.ControlFault) || !slices.Contains(lost.Servers, 0) || lost.to < accepted {
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

// checkInForce checks that the waits of the rig for a version succeeded, and that each measured change was in force at all
// nodes in time.
func checkInForce(s *Script, events []Event) (out []Violation) {
	for _, e := range events {
		if e.Kind == eventNotInForce {
			out = append(out, Violation{RuleInForce, e.At, fmt.Sprintf("not within %g s: %s", s.InForceTimeout, e.Note)})
		}
	}
	for _, change := range measuredChanges(s, events) {
		if change.delay > s.InForceTimeout+observationDelay {
			out = append(out, Violation{RuleInForce, change.at,
				fmt.Sprintf("%s at n%d after %.2f s", change.version, change.lastNode, change.delay)})
		}
	}
	return out
}

// inForceTimes returns for each measured change the seconds until it was in force at the last node.
func inForceTimes(s *Script, events []Event) (times []float64) {
	for _, change := range measuredChanges(s, events) {
		times = append(times, change.delay)
	}
	return times
}

// measuredChange is an accepted change and the node that had it in force last.
type measuredChange struct {
	at       float64 // when it was accepted, in seconds from the start of the rig
	version  configfeed.Version
	delay    float64 // seconds until it was in force at the last node, infinite where it never was
	lastNode int     // index of that node
}

// measuredChanges returns the accepted changes in whose time at most one fault of control servers lasted, which was neither
// one of the writer's process nor a region's cut. Nodes that were not up for the whole time do not count.
func measuredChanges(s *Script, events []Event) (out []measuredChange) {
	faults := controlEpisodes(events)
	nodeFaults := episodes(events)
	end := endOf(events)
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
			took := firstInForce(events, node, e.Control.Version) - e.At
			if took > change.delay {
				change.delay = took
				change.lastNode = node
			}
		}
		out = append(out, change)
	}
	return out
}

// mayDelayChange reports whether faults of control servers may keep a change from nodes for longer than is stated: more
// than one at a time, one of the writer's process, a region's cut, or a restart of several servers.
func mayDelayChange(faults []controlEpisode, window interval) bool {
	lasting := 0
	for _, f := range faults {
		if f.from > window.to || f.to < window.from {
			continue
		}
		ofWriter := !controlKinds[f.Kind] && slices.Contains(f.Servers, 0)
		if ofWriter || f.Kind == faultRegion || len(f.Servers) > 1 {
			return true
		}
		lasting++
	}
	return lasting > 1
}

// hasProcessFault reports whether a node had a fault of its process within a time.
func hasProcessFault(faults []episode, node int, window interval) bool {
	return slices.ContainsFunc(faults, func(f episode) bool {
		return !faultKinds[f.Kind].onLink && slices.Contains(f.Nodes, node) && f.from <= window.to && f.to >= window.from
	})
}

// firstInForce returns when a node was first seen with a version or a newer one, or infinity.
func firstInForce(events []Event, node int, v configfeed.Version) float64 {
	for _, e := range events {
		if e.Kind == eventConfig && e.Node == node && e.Control.Version.Compare(v) >= 0 {
			return e.At
		}
	}
	return forever
}
