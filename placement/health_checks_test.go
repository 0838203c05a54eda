package placement

import (
	"math"
	"testing"
)

// If a node's first health checks of a server were slow, later ones look normal in comparison and would hide an overload. The
// shortest round trip at any server therefore bounds the one with which they are compared.
func TestRoundTripsAreComparedWithTheBestServer(t *testing.T) {
	for _, c := range []struct {
		name       string
		best       float64 // round trip at another server in seconds
		first      float64 // first round trip at this server in seconds
		second     float64 // second round trip at this server in seconds
		overloaded bool
	}{
		{"first check slow, second slower", 0.0014, 0.006, 0.0105, true},
		{"first check slow, second similar", 0.0014, 0.0043, 0.0045, false},
		{"all servers equally far away", 0.006, 0.006, 0.0105, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(3, func(s *Settings) { s.TimeHealthChecks = true })
			b.establish(0, 9)
			b.HealthChecked(b.now, b.serverIndex(0), Served, roundTripOnly(c.best))
			for _, roundTrip := range []float64{c.first, c.second} {
				b.now++
				b.HealthChecked(b.now, b.serverIndex(1), Served, roundTripOnly(roundTrip))
			}
			threshold := b.serverAt(1).threshold
			if (threshold.overloadedAt == b.now) != c.overloaded {
				t.Errorf("last overloaded at %g, now %g, threshold %g", threshold.overloadedAt, b.now, threshold.load)
			}
		})
	}
}

// If no message delays are reported, an overload would go unnoticed. The round trips of health checks show it instead.
func TestLongRoundTripLowersThreshold(t *testing.T) {
	for _, c := range []struct {
		name       string
		timed      bool
		shortest   float64 // seconds
		roundTrip  float64 // seconds
		outcome    Outcome
		overloaded bool
		lowered    bool
	}{
		{"three times the shortest: overloaded", true, 0.004, 0.014, Served, true, true},
		{"twice the shortest: threshold lowered", true, 0.004, 0.008, Served, false, true},
		{"a little over the shortest", true, 0.004, 0.0045, Served, false, false},
		{"less than a millisecond over a very short one", true, 0.0005, 0.0012, Served, false, false},
		{"a failed check is ignored", true, 0.004, 0.014, Failed, false, false},
		{"not timed", false, 0.004, 0.014, Served, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(3, func(s *Settings) { s.TimeHealthChecks = c.timed })
			b.establish(0, 9)
			for place := range 3 {
				b.HealthChecked(b.now, b.serverIndex(place), Served, roundTripOnly(c.shortest))
				b.HealthChecked(b.now, b.serverIndex(place), c.outcome, roundTripOnly(c.roundTrip))
				threshold := b.serverAt(place).threshold
				overloaded := threshold.overloadedAt == b.now
				lowered := !math.IsInf(threshold.load, 1)
				if overloaded != c.overloaded || lowered != c.lowered {
					t.Errorf("overloaded %v, threshold %g", overloaded, threshold.load)
				}
			}
		})
	}
}

// Health checks cost their server work, so those of many nodes could overload it. The interval at which a node checks a
// server in use grows with the number of nodes. Slow servers are checked more often.
func TestRateOfTimedHealthChecks(t *testing.T) {
	for _, c := range []struct {
		name            string
		timed           bool
		connections     int
		roundTrip       float64 // seconds
		atLeast, atMost int     // checks in 20 s
	}{
		{"not slow", true, 3, 0.004, 11, 16}, // one check in 1.5 s with two nodes
		{"slow", true, 3, 0.02, 24, 45},
		{"not in use", true, 0, 0.004, 0, 0},
		{"not timed", false, 3, 0.004, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBalancer(1, func(s *Settings) { s.TimeHealthChecks = c.timed })
			b.establish(0, c.connections)
			b.serverAt(0).check.shortestRoundTrip = 0.004
			b.serverAt(0).check.inFlight = false
			checks := 0
			for range 80 {
				for _, decision := range b.advance(housekeepingInterval) {
					if decision.Action == CheckHealth {
						checks++
						b.HealthChecked(b.now, decision.Server, Served, roundTripOnly(c.roundTrip))
					}
				}
			}
			if checks < c.atLeast || checks > c.atMost {
				t.Errorf("%d checks in 20 s, want %d to %d", checks, c.atLeast, c.atMost)
			}
		})
	}
}
