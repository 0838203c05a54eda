package emulator

import (
	"strings"
	"testing"
)

func TestUpgradesBreakAndMigrateNoConnection(t *testing.T) {
	withoutDisabling := strings.Replace(upgradesWhileDisabled, `kind = "hand"`, `kind = "roster_late"`, 1)
	s := parseScenario(t, calmScenario+withoutDisabling)
	for seed := range uint64(4) {
		r := Run(s, seed, Options{Permute: seed%2 == 1})
		if r.Disconnected > 0 || r.Migrated > 0 || r.ServedShare < 0.97 || len(r.Violations) > 0 || r.Unanswered > 0 {
			t.Errorf("seed %d: %d broken, %d migrated, %d unanswered, service %.3f, violations %v", seed, r.Disconnected, r.Migrated,
				r.Unanswered, r.ServedShare, r.Violations)
		}
	}
}

// An upgrade at any moment breaks no rule, also beside kills, outages of discovery and disabled hosts, and the same seed
// gives the same trace.
func TestUpgradesAmongFaultsBreakNoRule(t *testing.T) {
	s := parseScenario(t, "drawn_faults = 6\n"+calmScenario+upgradesWhileDisabled)
	for seed := range uint64(12) {
		r := Run(s, seed, Options{Permute: seed%2 == 1})
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		if seed == 3 && r.TraceHash != Run(s, seed, Options{Permute: true}).TraceHash {
			t.Error("traces of one seed differ")
		}
	}
}
