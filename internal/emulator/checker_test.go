package emulator

import (
	"testing"

	"gorseledge/internal/node"
	"gorseledge/placement"
)

// Guards against a rule that is never reported because its check has no effect. For each rule, a run with a node that
// violates it has to report that rule, and the same run with a correct node no violation at all.
func TestCheckerReportsEachRuleForFaultyNode(t *testing.T) {
	const releases = "[[fault]]\nat = 10\nkind = \"release\"\ncount = 4\nfor = 10\n"
	const departures = "[[fault]]\nat = 5\nkind = \"leave\"\nby = 1\nfor = 15\n" +
		"[[fault]]\nat = 5\nkind = \"errs\"\nhost = 1\nby = 1\nfor = 15\n[[fault]]\nat = 5\nkind = \"stall\"\nhost = 2\nfor = 15\n"
	dialTwice := func(c Core) Core {
		return &dialingTwice{c, map[node.ConnID]string{}, map[node.ConnID][]byte{}}
	}
	noSlowStart := func(r *placement.Settings) { r.SlowStartTime = 0 }
	for _, c := range []struct {
		name   string
		rule   Rule
		faults string
		seed   uint64
		wrap   func(Core) Core
		adjust func(r *placement.Settings)
	}{
		{"accepted connections are ignored", RuleOneAnswer, "", 3, func(c Core) Core { return &ignoringAccepts{c} }, nil},
		{"two answers to each flow", RuleOneAnswer, "", 3, func(c Core) Core { return &answeringTwice{c} }, nil},
		{"drains in the list are ignored", RuleNoFlowToWithdrawnHost, releases, 3,
			func(c Core) Core { return &ignoringDrains{c} }, nil},
		{"disabling a host is confirmed without effect", RuleNoFlowToWithdrawnHost, upgradesWhileDisabled, 3,
			func(c Core) Core { return &ignoringDisable{c} }, nil},
		{"a second attempt while one is in flight", RuleOneAttempt, "", 3, dialTwice, nil},
		{"a non-idempotent flow is sent twice", RuleNoDuplicateExecution, "", 3, dialTwice, nil},
		// The seed differs because a node without slow start happens to overload no host with seed 3.
		{"no slow start", RuleNoSlowStartOverload, drainUnderLoad, 4, nil, noSlowStart},
		{"the departure of clients is ignored", RuleNoAttemptAfterDeparture, departures, 3,
			func(c Core) Core { return &ignoringClientEnd{c} }, nil},
		{"a flow is held after the end", RuleNoResourcesHeld, "", 3, func(c Core) Core { return &holdingAfterEnd{c} }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parseScenario(t, faultlessScenario+c.faults)
			r := Run(s, c.seed, Options{WrapCore: c.wrap, AdjustSettings: c.adjust})
			found := false
			for _, v := range r.Violations {
				found = found || v.Rule == c.rule && v.Step > 0 && len(v.RecentTrace) > 0
			}
			if !found {
				t.Errorf("%s: got %d violations, want one of rule %q", c.name, len(r.Violations), c.rule)
			}
			if correct := Run(s, c.seed, Options{}); len(correct.Violations) > 0 {
				t.Errorf("%s: violation by the correct node: %v", c.name, correct.Violations[0])
			}
		})
	}
}
