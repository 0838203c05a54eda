package rig

import (
	"slices"
	"testing"

	"gorseledge/internal/configfeed"
)

// serverFaults is a scenario for five servers and four nodes: a server stopped, one killed, one put back to an older state
// while it is cut off, a region cut off, a node restarted and one upgraded, all servers restarted.
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

func TestConfigurationIsInForceUnderServerFaults(t *testing.T) {
	r := runWithOptions(t, Options{Program: nodeProgram, Control: serverProgram, Seed: 1}, serverFaults)
	for _, b := range r.Violations {
		t.Error(b)
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
		t.Errorf("%d changes were accepted, %d of two at once were in conflict", accepted, conflicts)
	}
}

// onlyServerStopped is a scenario in which the only server of a node's region is stopped for longer than a change may take.
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

// onlyServerIsolated is a scenario in which the only server of a node's region reaches no other server, while all reach it.
// Changes are rare, so that the server has answered polls with nothing new by then.
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

// TestNodesLeaveAnIsolatedServer shows that the nodes learn that their server is isolated, also where it
// caches encoded answers.
func TestNodesLeaveAnIsolatedServer(t *testing.T) {
	r := runWithOptions(t, Options{Program: nodeProgram, Control: serverProgram, Seed: 7}, onlyServerIsolated)
	if len(r.Violations) > 0 || len(r.InForceTimes) == 0 {
		t.Errorf("violations: %v; %d changes were measured", r.Violations, len(r.InForceTimes))
	}
}

func TestNodeThatPollsOneStoppedServerIsDetected(t *testing.T) {
	late := func(b Violation) bool { return b.Rule == RuleInForce }
	t.Run("correct build", func(t *testing.T) {
		t.Parallel()
		r := runWithOptions(t, Options{Program: nodeProgram, Control: serverProgram, Seed: 1}, onlyServerStopped)
		if len(r.Violations) > 0 || len(r.InForceTimes) == 0 {
			t.Errorf("violations: %v; %d changes were measured", r.Violations, len(r.InForceTimes))
		}
	})
	t.Run("build that polls one server", func(t *testing.T) {
		t.Parallel()
		r := runWithOptions(t, Options{Program: singleServerProgram, Control: serverProgram, Seed: 1}, onlyServerStopped)
		if !slices.ContainsFunc(r.Violations, late) {
			t.Errorf("no late change is reported: %v", r.Violations)
		}
	})
}
