package emulator

import (
	"testing"

	"gorseledge/internal/node"
	"gorseledge/placement"
)

// Each checker finds a node that is wrong in just that way, and no violation of a correct one.
func TestCheckerFindsFaultyNode(t *testing.T) {
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
		{"connections are not handled", RuleOneAnswer, "", 3, func(c Core) Core { return &ignoringAccepts{c} }, nil},
		{"two answers", RuleOneAnswer, "", 3, func(c Core) Core { return &answeringTwice{c} }, nil},
		{"drains in the list are ignored", RuleNothingToDraining, releases, 3, func(c Core) Core { return &ignoringDrains{c} }, nil},
		{"a host is only reported as disabled", RuleNothingToDraining, upgradesWhileDisabled, 3,
			func(c Core) Core { return &ignoringDisable{c} }, nil},
		{"two attempts in flight", RuleOneAttempt, "", 3, dialTwice, nil},
		{"a non-idempotent flow sent twice", RuleNoSecondEffect, "", 3, dialTwice, nil},
		// With seed 3 a node without slow start overloads no host.
		{"no slow start", RuleNoColdHostOverloaded, drainingCrowd, 4, nil, noSlowStart},
		{"a client's departure is not noticed", RuleNoAttemptAfterLeaving, departures, 3,
			func(c Core) Core { return &ignoringClientEnd{c} }, nil},
		{"something is held to the end", RuleNothingHeld, "", 3, func(c Core) Core { return &holdingAfterEnd{c} }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := parseScenario(t, calmScenario+c.faults)
			r := Run(s, c.seed, Options{WrapCore: c.wrap, AdjustSettings: c.adjust})
			found := false
			for _, v := range r.Violations {
				found = found || v.Rule == c.rule && v.Step > 0 && len(v.RecentTrace) > 0
			}
			if !found {
				t.Errorf("%s: %d violations, none of %q", c.name, len(r.Violations), c.rule)
			}
			if correct := Run(s, c.seed, Options{}); len(correct.Violations) > 0 {
				t.Errorf("%s: the correct node broke %v", c.name, correct.Violations[0])
			}
		})
	}
}
