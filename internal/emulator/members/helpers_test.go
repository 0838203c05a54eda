package members

import (
	"math"
	"testing"

	"gorseledge/internal/membership"
)

// settled returns a simulation whose nodes know each other.
func settled(t *testing.T, o Options) *Simulation {
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
			t.Fatalf("%+v: the nodes do not know each other after %g s: %v", o, until-startTime, err)
		}
	}
}

// converge runs until all nodes agree, which has to be within so many seconds.
func converge(t *testing.T, s *Simulation, seconds float64) {
	t.Helper()
	for until := s.Now + seconds; ; s.Run(s.Now + 1) {
		err := s.CheckAgreement()
		if err == nil {
			return
		}
		if s.Now >= until {
			t.Fatalf("not agreed after %g s: %v", seconds, err)
		}
	}
}

// checkNoFalseDeaths fails where a process that runs was declared dead by another.
func checkNoFalseDeaths(t *testing.T, s *Simulation) {
	t.Helper()
	if count, first := s.FalseDeaths(); count > 0 {
		t.Errorf("seed %d: %d deaths of live members: %s", s.Seed, count, first)
	}
}

// checkNoDeathsBut fails where any member but the one named was declared dead.
func checkNoDeathsBut(t *testing.T, s *Simulation, name string) {
	t.Helper()
	for _, e := range s.Events {
		if e.State == membership.Dead && e.Name != name {
			t.Errorf("seed %d: n%04d declares %s dead at %.1f", s.Seed, e.Node, e.Name, e.At)
		}
	}
}

// cutBetween cuts the links between nodes that are separated, or restores them. Separated is called for each pair of
// nodes and each direction.
func cutBetween(s *Simulation, nodes int, cut bool, separated func(from, to int) bool) {
	for from := range nodes {
		for to := range nodes {
			if separated(from, to) {
				s.Cut(from, to, cut)
			}
		}
	}
}
