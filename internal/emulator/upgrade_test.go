package emulator

import (
	"strings"
	"testing"
)

// Guards against upgrades that lose connections or have clients migrate: the successor has to continue each connection.
func TestUpgradesKeepAllConnections(t *testing.T) {
	withoutDisabling := strings.Replace(upgradesWhileDisabled, `kind = "hand"`, `kind = "roster_late"`, 1)
	s := parseScenario(t, faultlessScenario+withoutDisabling)
	for seed := range uint64(4) {
		r := Run(s, seed, Options{Permute: seed%2 == 1})
		if r.Disconnected > 0 || r.Migrated > 0 || r.ServedShare < 0.97 || len(r.Violations) > 0 || r.Unanswered > 0 {
			t.Errorf("seed %d: got %d disconnected, %d migrated, %d unanswered, served share %.3f and violations %v; want none of "+
				"these and a served share of at least 0.97", seed, r.Disconnected, r.Migrated, r.Unanswered, r.ServedShare, r.Violations)
		}
	}
}

// Guards against upgrades that violate a rule when they coincide with kills, outages of discovery or disabled hosts, and
// against upgrades that make a run depend on more than its seed.
func TestUpgradesDuringFaultsCauseNoViolations(t *testing.T) {
	s := parseScenario(t, "drawn_faults = 6\n"+faultlessScenario+upgradesWhileDisabled)
	for seed := range uint64(12) {
		r := Run(s, seed, Options{Permute: seed%2 == 1})
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		if seed == 3 && r.TraceHash != Run(s, seed, Options{Permute: true}).TraceHash {
			t.Errorf("two runs with seed %d have different traces, want equal ones", seed)
		}
	}
}
