package emulator

import (
	"bytes"
	"runtime"
	"testing"
)

func TestCalmFleetServesNearlyAllAndBreaksNoRule(t *testing.T) {
	r := Run(parseScenario(t, calmScenario), 1, Options{})
	if r.Established < 200 || r.ServedShare < 0.97 || len(r.Violations) > 0 || r.Unanswered > 0 {
		t.Errorf("%d of %d established, service %.3f, %d unanswered, violations %v", r.Established, r.Requested, r.ServedShare,
			r.Unanswered, r.Violations)
	}
}

func TestSameSeedGivesSameTrace(t *testing.T) {
	s := parseScenario(t, "drawn_faults = 6\n"+calmScenario)
	for _, c := range []struct {
		name    string
		permute bool
	}{
		{"in order", false},
		{"permuted", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			first := traceWithProcessors(t, s, c.permute, 1)
			if !bytes.Equal(first, traceWithProcessors(t, s, c.permute, 4)) {
				t.Errorf("permuted %v: traces of one seed differ", c.permute)
			}
		})
	}
	if Run(s, 5, Options{}).TraceHash == Run(s, 6, Options{}).TraceHash {
		t.Error("two seeds gave one trace")
	}
}

// traceWithProcessors returns the trace of a run with so many processors.
func traceWithProcessors(t *testing.T, s Scenario, permute bool, processors int) []byte {
	t.Helper()
	previous := runtime.GOMAXPROCS(processors)
	defer runtime.GOMAXPROCS(previous)
	var trace bytes.Buffer
	Run(s, 5, Options{Trace: &trace, Permute: permute})
	return trace.Bytes()
}

func TestDrawnFaultsBreakNoRule(t *testing.T) {
	for seed := range uint64(6) {
		r := Run(parseScenario(t, "drawn_faults = 5\n"+calmScenario), seed, Options{Permute: seed%2 == 1})
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}

func TestDrawnFleetsBreakNoRule(t *testing.T) {
	s := parseScenario(t, "drawn_fleet = true\ndrawn_faults = 8\n"+calmScenario)
	s.Duration = 20
	for seed := range uint64(8) {
		for _, v := range Run(s, seed, Options{Permute: seed%2 == 1}).Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}
