package members

import (
	"math"
	"testing"

	"gorseledge/internal/membership"
)

// newAgreedFleet returns a simulation that has run until all nodes know each other.
func newAgreedFleet(t *testing.T, o Options) *Simulation {
	t.Helper()
	s := New(o)
	limit := startTime + 60*math.Log10(10+float64(o.Nodes))
	for until := startTime + 5; ; until += 5 {
		s.Run(until)
		err := s.CheckAgreement()
		if err == nil {
			return s
		}
		if until > limit {
			t.Fatalf("%+v: the nodes do not agree after %g s: %v", o, until-startTime, err)
		}
	}
}

// awaitAgreement runs the simulation until all nodes agree, and fails the test if that takes longer than the given seconds.
func awaitAgreement(t *testing.T, s *Simulation, seconds float64) {
	t.Helper()
	for until := s.Now + seconds; ; s.Run(s.Now + 1) {
		err := s.CheckAgreement()
		if err == nil {
			return
		}
		if s.Now >= until {
			t.Fatalf("the nodes do not agree after %g s: %v", seconds, err)
		}
	}
}

// checkNoFalseDeaths fails the test if a running process was declared dead.
func checkNoFalseDeaths(t *testing.T, s *Simulation) {
	t.Helper()
	if count, first := s.FalseDeaths(); count > 0 {
		t.Errorf("seed %d: %d false deaths, first: %s", s.Seed, count, first)
	}
}

// checkNoDeathsExcept fails the test if any member except the named one was declared dead.
func checkNoDeathsExcept(t *testing.T, s *Simulation, name string) {
	t.Helper()
	for _, e := range s.Events {
		if e.State == membership.Dead && e.Name != name {
			t.Errorf("seed %d: node n%04d declared %s dead at %.1f s", s.Seed, e.Node, e.Name, e.At)
		}
	}
}

// cutBetween cuts or restores the links for which separated returns true. Separated is called for each direction between each
// pair of nodes.
func cutBetween(s *Simulation, nodes int, cut bool, separated func(from, to int) bool) {
	for from := range nodes {
		for to := range nodes {
			if separated(from, to) {
				s.Cut(from, to, cut)
			}
		}
	}
}
