package rig

import (
	"testing"
)

// A seed must always generate the same faults, or a failed run could not be repeated. Generated process faults must affect at
// most a third of the nodes at once, or the remaining nodes could not be expected to agree.
func TestGeneratedFaultsAreReproducibleAndLeaveEnoughNodes(t *testing.T) {
	s := &Script{Nodes: 9, ProbePeriod: 0.25, Duration: 60, GeneratedFaults: 30}
	for seed := range uint64(20) {
		faults := s.GenerateFaults(seed)
		if len(faults) < 10 {
			t.Errorf("seed %d: %d faults, want at least 10", seed, len(faults))
		}
		for i, f := range s.GenerateFaults(seed) {
			if f.String() != faults[i].String() || f.At != faults[i].At {
				t.Fatalf("seed %d: fault %d is %s at %v s the first time and %s at %v s the second time, want equal faults", seed, i,
					faults[i], faults[i].At, f, f.At)
			}
		}
		for at := 0.0; at < 60; at += 0.1 {
			down := 0
			for _, f := range faults {
				if !faultKinds[f.Kind].onLink && at >= f.At && at < f.At+f.Duration {
					down++
				}
			}
			if down > 3 {
				t.Errorf("seed %d, %.1f s: %d nodes with process faults, want at most 3", seed, at, down)
			}
		}
	}
}
