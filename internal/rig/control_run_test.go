package rig

import (
	"slices"
	"testing"

	"gorseledge/internal/configfeed"
)

// serverFaults is a script for five servers and four nodes. One server is stopped, one is killed, and one is rolled back to an
// older state while it is cut off. A region is cut off, one node is restarted and one is upgraded. All servers are restarted,
// and the writer is rolled back.
const serverFaults = `
nodes = 4
lasts = 22
settle = 30
period = 0.5
flows = 2
control = 5
applies = 2
in_force = 15

[[control_fault]]
at = 1
kind = "stop"
servers = [1]
for = 3

[[control_fault]]
at = 2
kind = "kill"
servers = [3]
for = 1

[[fault]]
at = 3
kind = "restart"
nodes = [1]
for = 0.5

[[control_fault]]
at = 5
kind = "cut"
servers = [4]
for = 3

[[control_fault]]
at = 6
kind = "rollback"
servers = [4]
for = 0.5

[[fault]]
at = 7
kind = "upgrade"
nodes = [2]
for = 2

[[control_fault]]
at = 9
kind = "region"
region = "south"
for = 4

[[control_fault]]
at = 14
kind = "restart"
servers = [0, 1, 2, 3, 4]
for = 1

[[control_fault]]
at = 17
kind = "rollback"
servers = [0]
for = 0.5
`

// Faults of control servers must not lose accepted changes, return nodes to older versions or keep changes from them. The run
// must contain accepted changes and conflicts, otherwise the rules would hold for lack of events.
func TestConfigurationIsInForceUnderServerFaults(t *testing.T) {
	r := runWithOptions(t, Options{Program: nodeProgram, Control: serverProgram, Seed: 1}, serverFaults)
	for _, violation := range r.Violations {
		t.Error(violation)
	}
	accepted, conflicts := 0, 0
	for _, e := range r.Events {
		if e.Kind != eventProposal {
			continue
		}
		switch configfeed.OutcomeKind(e.Control.Outcome) {
		case configfeed.Accepted:
			accepted++
		case configfeed.Conflict:
			conflicts++
		}
	}
	if accepted < 5 || conflicts == 0 {
		t.Errorf("%d changes were accepted, want at least 5; %d were in conflict, want at least 1", accepted, conflicts)
	}
}

// onlyServerStopped is a script in which the only server of a node's region is stopped for longer than the in_force time.
const onlyServerStopped = `
nodes = 3
lasts = 24
settle = 30
period = 0.5
flows = 2
control = 5
applies = 3
in_force = 8

[[control_fault]]
at = 1
kind = "stop"
servers = [2]
for = 20
`

// onlyServerIsolated is a script in which the only server of a node's region reaches no other server, while all others and the
// nodes reach it. Changes are rare, so that the server has answered polls without a new version before it is isolated.
const onlyServerIsolated = `
nodes = 3
lasts = 24
settle = 30
period = 0.5
flows = 2
control = 5
applies = 0.3
in_force = 8

[[control_fault]]
at = 4
kind = "cut"
servers = [2]
for = 18
`

// A node that polls an isolated server receives no new versions. The node must notice this from the server's answers and poll
// another server, even though the server caches its encoded answers.
func TestNodesLeaveIsolatedServer(t *testing.T) {
	r := runWithOptions(t, Options{Program: nodeProgram, Control: serverProgram, Seed: 7}, onlyServerIsolated)
	if len(r.Violations) > 0 || len(r.InForceTimes) == 0 {
		t.Errorf("violations %v, want none; %d measured changes, want at least 1", r.Violations, len(r.InForceTimes))
	}
}

// A node that polls only one server receives no changes while that server is stopped. The run must report this for a build
// with this fault, and must report nothing for the correct build.
func TestNodeThatPollsOneStoppedServerIsDetected(t *testing.T) {
	isLateChange := func(v Violation) bool { return v.Rule == RuleInForce }
	t.Run("correct build", func(t *testing.T) {
		t.Parallel()
		r := runWithOptions(t, Options{Program: nodeProgram, Control: serverProgram, Seed: 1}, onlyServerStopped)
		if len(r.Violations) > 0 || len(r.InForceTimes) == 0 {
			t.Errorf("violations %v, want none; %d measured changes, want at least 1", r.Violations, len(r.InForceTimes))
		}
	})
	t.Run("build that polls one server", func(t *testing.T) {
		t.Parallel()
		r := runWithOptions(t, Options{Program: singleServerProgram, Control: serverProgram, Seed: 1}, onlyServerStopped)
		if !slices.ContainsFunc(r.Violations, isLateChange) {
			t.Errorf("got violations %v, want at least one of %q", r.Violations, RuleInForce)
		}
	})
}
