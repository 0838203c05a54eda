package emulator

import "testing"

// Guards against a limit that stays in force after the faults that set it have ended, which hides what a fleet does after a
// fault: two faults of one kind overlap, and each value holds exactly as long as the fault that began last.
func TestLimitEndsWithItsFaults(t *testing.T) {
	for _, c := range []struct {
		kind  FaultKind
		limit func(*simulation) float64
	}{
		{faultListCallRateLimit, func(s *simulation) float64 { return s.discovery.callRate.value() }},
		{faultStoreSlow, func(s *simulation) float64 { return s.store.callLimit.value() }},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			s := newSimulation(parseScenario(t, faultlessScenario), 1, Options{})
			normal := c.limit(s)
			require := func(when string, want float64) {
				t.Helper()
				if got := c.limit(s); got != want {
					t.Errorf("%s: limit %g, want %g", when, got, want)
				}
			}
			s.inject(Fault{Kind: c.kind, Amount: 30, Duration: 2}) // ends first
			s.inject(Fault{Kind: c.kind, Amount: 20, Duration: 6})
			require("after the second fault began", 20)
			s.runUntil(3)
			require("after the first fault ended", 20)
			s.inject(Fault{Kind: c.kind, Amount: 40, Duration: 1}) // ends within the second one
			require("within a third fault", 40)
			s.runUntil(5)
			require("after the third fault ended", 20)
			s.runUntil(7)
			require("after all faults have ended", normal)
		})
	}
}
