package rig

import (
	"testing"

	"gorseledge/internal/configfeed"
)

func version(revision uint64) configfeed.Version {
	return configfeed.Version{Epoch: 1, Revision: revision}
}

// accepted returns the event of a proposal that was accepted at a time.
func accepted(at float64, id string, revision uint64) Event {
	return Event{At: at, Kind: eventProposal, Control: &ControlEvent{ID: id, Outcome: string(configfeed.Accepted),
		Version: version(revision), Digest: "d" + id}}
}

// inForce returns the event of a version that the rig observed in force at a node.
func inForce(at float64, node int, id string, revision uint64) Event {
	return Event{At: at, Kind: eventConfig, Node: node, Control: &ControlEvent{Version: version(revision), Digest: "d" + id}}
}

// faultEvents returns the events of the start and end of a fault of control servers.
func faultEvents(f ControlFault) (begin, end Event) {
	return Event{At: f.At, Kind: eventControlFaultStart, Control: &ControlEvent{Fault: &f}},
		Event{At: f.At + f.Duration, Kind: eventControlFaultEnd, Control: &ControlEvent{Fault: &f}}
}

// heldProposals returns the event of the proposals that the writer holds at the end.
func heldProposals(at float64, ids ...string) Event {
	return Event{At: at, Kind: eventHeldProposals, Control: &ControlEvent{ProposalIDs: ids}}
}

// controlChecker is the checker of one rule.
type controlChecker func(*Script, []Event) []Violation

// withoutScript adapts a checker that needs no script.
func withoutScript(check func([]Event) []Violation) controlChecker {
	return func(_ *Script, events []Event) []Violation { return check(events) }
}

// controlCase is a history and the rule that a checker must find violated in it.
type controlCase struct {
	name   string
	check  controlChecker
	events []Event
	rule   string // rule that is violated; empty for none
}

// runControlCases checks that the checker of each case reports exactly one violation of the stated rule, or none.
func runControlCases(t *testing.T, s *Script, cases []controlCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := c.check(s, c.events)
			if c.rule == "" && len(violations) > 0 {
				t.Errorf("want no violation, got %v", violations)
			}
			if c.rule != "" && (len(violations) != 1 || violations[0].Rule != c.rule) {
				t.Errorf("want one violation of %q, got %v", c.rule, violations)
			}
		})
	}
}

// A node that returns to an older version, or that has entries in force that were never accepted under its version, must be
// reported. A node that lost its process starts without a version, which is allowed.
func TestControlCheckersReportWrongVersions(t *testing.T) {
	s := &Script{Nodes: 1, ControlServers: 5, InForceTimeout: 6}
	start, exit := Event{Kind: eventProcessStart}, Event{Kind: eventProcessExit}
	lost := Event{At: 3, Kind: eventProposal, Control: &ControlEvent{ID: "x", Outcome: outcomeUnknown, Digest: "dx"}}
	noOlderVersion, wholeChanges := withoutScript(checkNoOlderVersion), withoutScript(checkWholeChanges)
	runControlCases(t, s, []controlCase{
		{"version increases", noOlderVersion, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), inForce(3, 0, "a", 1),
			inForce(4, 0, "b", 2)}, ""},
		{"version decreases", noOlderVersion, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), inForce(3, 0, "b", 2),
			inForce(4, 0, "a", 1)}, RuleNoOlderVersion},
		{"version decreases during an upgrade", noOlderVersion, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2),
			inForce(3, 0, "b", 2), start, exit, inForce(4, 0, "a", 1)}, RuleNoOlderVersion},
		{"version decreases after a restart", noOlderVersion, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2),
			inForce(3, 0, "b", 2), exit, start, inForce(4, 0, "a", 1)}, ""},
		{"entries that were never proposed", wholeChanges, []Event{start, accepted(1, "a", 1), inForce(2, 0, "z", 1)},
			RuleWholeChanges},
		{"entries of another change", wholeChanges, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2),
			inForce(3, 0, "a", 2)}, RuleWholeChanges},
		{"entries of a proposal whose answer was lost", wholeChanges, []Event{start, lost, inForce(3, 0, "x", 1)}, ""},
	})
}

// An accepted change that the writer lost must be reported, unless the writer's disk was lost before other servers had the
// change for certain.
func TestControlCheckersReportLostChanges(t *testing.T) {
	s := &Script{Nodes: 1, ControlServers: 5, InForceTimeout: 6}
	writerWipe := ControlFault{At: 20, Kind: faultWipe, Servers: []int{0}, Duration: 1}
	otherStop := ControlFault{At: 15, Kind: faultStop, Servers: []int{2}, Duration: 8}
	otherWipe := ControlFault{At: 0, Kind: faultWipe, Servers: []int{1}, Duration: 3}
	wiped, started := faultEvents(writerWipe)
	stopped, continued := faultEvents(otherStop)
	otherWiped, otherStarted := faultEvents(otherWipe)
	allWiped, allStarted := faultEvents(ControlFault{At: 20, Kind: faultWipe, Servers: []int{0, 1, 2}, Duration: 1})
	runControlCases(t, s, []controlCase{
		{"all changes held", checkDurable, []Event{accepted(1, "a", 1), heldProposals(30, "a")}, ""},
		{"one change lost", checkDurable, []Event{accepted(1, "a", 1), accepted(2, "b", 2), heldProposals(30, "b")}, RuleDurable},
		{"change lost, only another server's disk was wiped", checkDurable, []Event{otherWiped, accepted(1, "a", 1),
			otherStarted, heldProposals(30)}, RuleDurable},
		{"change lost, other servers had it before the writer's disk was wiped", checkDurable, []Event{accepted(1, "a", 1),
			wiped, started, heldProposals(30)}, RuleDurable},
		{"writer's disk wiped right after the change", checkDurable, []Event{accepted(19, "a", 1), wiped, started,
			heldProposals(30)}, ""},
		{"writer's disk wiped while another server was stopped", checkDurable, []Event{accepted(1, "a", 1), stopped, wiped,
			started, continued, heldProposals(30)}, ""},
		{"several disks wiped at once", checkDurable, []Event{accepted(1, "a", 1), allWiped, allStarted, heldProposals(30)}, ""},
		{"change accepted after the wipe and lost", checkDurable, []Event{wiped, started, accepted(27, "a", 1),
			heldProposals(30)}, RuleDurable},
	})
}

// Changes that come into force late, a rejected last proposal and servers that end by themselves must be reported. A delay
// that a cut of a region explains is allowed.
func TestControlCheckersReportLateChangesAndEndedServers(t *testing.T) {
	s := &Script{Nodes: 1, ControlServers: 5, InForceTimeout: 6}
	start := Event{Kind: eventProcessStart}
	stop := ControlFault{At: 11, Kind: faultStop, Servers: []int{2}, Duration: 4}
	stopped, continued := faultEvents(stop)
	regionCut, regionBack := faultEvents(ControlFault{At: 11, Kind: faultRegion, Region: "south", Duration: 4})
	accept := withoutScript(checkAccept)
	runControlCases(t, s, []controlCase{
		{"in force in time", checkInForce, []Event{start, accepted(10, "a", 1), inForce(15, 0, "a", 1), heldProposals(30, "a")}, ""},
		{"in force late", checkInForce, []Event{start, accepted(10, "a", 1), inForce(17, 0, "a", 1), heldProposals(30, "a")},
			RuleInForce},
		{"in force late while one server is stopped", checkInForce, []Event{start, accepted(10, "a", 1), stopped, continued,
			inForce(17, 0, "a", 1), heldProposals(30, "a")}, RuleInForce},
		{"in force late while a region is cut off", checkInForce, []Event{start, accepted(10, "a", 1), regionCut, regionBack,
			inForce(17, 0, "a", 1), heldProposals(30, "a")}, ""},
		{"never in force", checkInForce, []Event{start, accepted(10, "a", 1), heldProposals(30, "a")}, RuleInForce},
		{"not in force after all faults", checkInForce, []Event{{Kind: eventNotInForce, Note: "n0"}}, RuleInForce},
		{"proposal rejected after all faults", accept, []Event{{Kind: eventProposal,
			Control: &ControlEvent{Outcome: string(configfeed.NotReady)}}},
			RuleAccept},
		{"server ended by itself", checkControl, []Event{{Kind: eventServerDied, Control: &ControlEvent{Server: 1}}},
			RuleNoUnexpectedServerExit},
		{"server ended by the rig", checkControl, []Event{{Kind: eventServerExit, Control: &ControlEvent{Server: 1}}}, ""},
	})
}
