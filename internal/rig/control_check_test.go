package rig

import (
	"testing"

	"gorseledge/internal/configfeed"
)

func version(revision uint64) configfeed.Version {
	return configfeed.Version{Epoch: 1, Revision: revision}
}

// accepted is a change that was accepted at a time.
func accepted(at float64, id string, revision uint64) Event {
	return Event{At: at, Kind: eventProposal, Control: &ControlEvent{ID: id, Outcome: string(configfeed.Accepted),
		Version: version(revision), Digest: "d" + id}}
}

// seen is a version that a node was seen with.
func seen(at float64, node int, id string, revision uint64) Event {
	return Event{At: at, Kind: eventConfig, Node: node, Control: &ControlEvent{Version: version(revision), Digest: "d" + id}}
}

// faultOf returns the begin and end of a fault of control servers.
func faultOf(f ControlFault) (begin, over Event) {
	return Event{At: f.At, Kind: eventControlFaultStart, Control: &ControlEvent{Fault: &f}},
		Event{At: f.At + f.Duration, Kind: eventControlFaultEnd, Control: &ControlEvent{Fault: &f}}
}

func marks(at float64, ids ...string) Event {
	return Event{At: at, Kind: eventHeldProposals, Control: &ControlEvent{ProposalIDs: ids}}
}

// controlChecker is one of the checkers; each case uses only the one of its rule.
type controlChecker func(*Script, []Event) []Violation

func eventsOnly(check func([]Event) []Violation) controlChecker {
	return func(_ *Script, events []Event) []Violation { return check(events) }
}

// controlCase is a history and the rule that a checker finds violated in it.
type controlCase struct {
	name   string
	check  controlChecker
	events []Event
	rule   string // that is violated; none where empty
}

// runControlCases checks that each case violates its rule once, or none.
func runControlCases(t *testing.T, s *Script, cases []controlCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := c.check(s, c.events)
			if c.rule == "" && len(violations) > 0 {
				t.Errorf("violated: %v", violations)
			}
			if c.rule != "" && (len(violations) != 1 || violations[0].Rule != c.rule) {
				t.Errorf("want %q violated, got %v", c.rule, violations)
			}
		})
	}
}

func TestControlCheckersReportViolationsOfVersions(t *testing.T) {
	s := &Script{Nodes: 1, ControlServers: 5, InForceTimeout: 6}
	start, exit := Event{Kind: eventProcessStart}, Event{Kind: eventProcessExit}
	lost := Event{At: 3, Kind: eventProposal, Control: &ControlEvent{ID: "x", Outcome: outcomeUnknown, Digest: "dx"}}
	noReturn, complete := eventsOnly(checkNoOlderVersion), eventsOnly(checkWholeChanges)
	runControlCases(t, s, []controlCase{
		{"version goes up", noReturn, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), seen(3, 0, "a", 1), seen(4, 0, "b", 2)}, ""},
		{"version goes back", noReturn, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), seen(3, 0, "b", 2), seen(4, 0, "a", 1)}, RuleNoOlderVersion},
		{"version goes back in an upgrade", noReturn, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), seen(3, 0, "b", 2), start, exit,
			seen(4, 0, "a", 1)}, RuleNoOlderVersion},
		{"older version after a restart", noReturn, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), seen(3, 0, "b", 2), exit, start,
			seen(4, 0, "a", 1)}, ""},
		{"entries of no change", complete, []Event{start, accepted(1, "a", 1), seen(2, 0, "z", 1)}, RuleWholeChanges},
		{"another change's entries", complete, []Event{start, accepted(1, "a", 1), accepted(2, "b", 2), seen(3, 0, "a", 2)}, RuleWholeChanges},
		{"a change whose answer was lost", complete, []Event{start, lost, seen(3, 0, "x", 1)}, ""},
	})
}

func TestControlCheckersReportLostChanges(t *testing.T) {
	s := &Script{Nodes: 1, ControlServers: 5, InForceTimeout: 6}
	wipe := ControlFault{At: 20, Kind: faultWipe, Servers: []int{0}, Duration: 1}
	stop := ControlFault{At: 15, Kind: faultStop, Servers: []int{2}, Duration: 8}
	other := ControlFault{At: 0, Kind: faultWipe, Servers: []int{1}, Duration: 3}
	wiped, started := faultOf(wipe)
	stopped, continued := faultOf(stop)
	otherWiped, otherStarted := faultOf(other)
	allWiped, allStarted := faultOf(ControlFault{At: 20, Kind: faultWipe, Servers: []int{0, 1, 2}, Duration: 1})
	runControlCases(t, s, []controlCase{
		{"all changes held", checkDurable, []Event{accepted(1, "a", 1), marks(30, "a")}, ""},
		{"one change lost", checkDurable, []Event{accepted(1, "a", 1), accepted(2, "b", 2), marks(30, "b")}, RuleDurable},
		{"lost though another's disk was wiped", checkDurable, []Event{otherWiped, accepted(1, "a", 1), otherStarted, marks(30)}, RuleDurable},
		{"lost though all others had it", checkDurable, []Event{accepted(1, "a", 1), wiped, started, marks(30)}, RuleDurable},
		{"lost with the disk at once", checkDurable, []Event{accepted(19, "a", 1), wiped, started, marks(30)}, ""},
		{"lost with the disk while another was stopped", checkDurable, []Event{accepted(1, "a", 1), stopped, wiped, started, continued,
			marks(30)}, ""},
		{"lost with several disks at once", checkDurable, []Event{accepted(1, "a", 1), allWiped, allStarted, marks(30)}, ""},
		{"lost after the disk was wiped", checkDurable, []Event{wiped, started, accepted(27, "a", 1), marks(30)}, RuleDurable},
	})
}

func TestControlCheckersReportLateChangesAndEndedServers(t *testing.T) {
	s := &Script{Nodes: 1, ControlServers: 5, InForceTimeout: 6}
	start := Event{Kind: eventProcessStart}
	late := ControlFault{At: 11, Kind: faultStop, Servers: []int{2}, Duration: 4}
	lateStopped, lateContinued := faultOf(late)
	regionCut, regionBack := faultOf(ControlFault{At: 11, Kind: faultRegion, Region: "south", Duration: 4})
	accept := eventsOnly(checkAccept)
	runControlCases(t, s, []controlCase{
		{"in force in time", checkInForce, []Event{start, accepted(10, "a", 1), seen(15, 0, "a", 1), marks(30, "a")}, ""},
		{"in force late", checkInForce, []Event{start, accepted(10, "a", 1), seen(17, 0, "a", 1), marks(30, "a")}, RuleInForce},
		{"late with a server stopped", checkInForce, []Event{start, accepted(10, "a", 1), lateStopped, lateContinued, seen(17, 0, "a", 1),
			marks(30, "a")}, RuleInForce},
		{"late with a region cut off", checkInForce, []Event{start, accepted(10, "a", 1), regionCut, regionBack, seen(17, 0, "a", 1),
			marks(30, "a")}, ""},
		{"never in force", checkInForce, []Event{start, accepted(10, "a", 1), marks(30, "a")}, RuleInForce},
		{"late after all faults", checkInForce, []Event{{Kind: eventNotInForce, Note: "n0"}}, RuleInForce},
		{"rejected after all faults", accept, []Event{{Kind: eventProposal, Control: &ControlEvent{Outcome: string(configfeed.NotReady)}}},
			RuleAccept},
		{"a server that ended", checkControl, []Event{{Kind: eventServerDied, Control: &ControlEvent{Server: 1}}}, RuleNoUnexpectedServerExit},
		{"a server that was ended", checkControl, []Event{{Kind: eventServerExit, Control: &ControlEvent{Server: 1}}}, ""},
	})
}
