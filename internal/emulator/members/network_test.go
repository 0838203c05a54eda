package members

import (
	"fmt"
	"testing"
)

// With up to 20% of the messages lost, and with delayed, duplicated and reordered ones, no live member is declared dead.
func TestLossCausesNoFalseDeaths(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%g lost, seed %d", loss, seed), func(t *testing.T) {
				s := settled(t, Options{Nodes: 20, Seed: seed})
				s.Loss = loss
				s.Delay = 0.05
				s.Duplicate = 0.1
				s.Run(s.Now + 120)
				checkNoFalseDeaths(t, s)
			})
		}
	}
}

func TestFleetRecoversFromHeavyLoss(t *testing.T) {
	s := settled(t, Options{Nodes: 20, Seed: 3})
	s.Loss = 0.4
	s.Delay = 0.3
	s.Run(s.Now + 60)
	s.Loss = 0
	s.Delay = 0.001
	converge(t, s, 60)
}

// A member that is reached through another one stays a member, and the bad link is announced.
func TestMemberReachedThroughOthersStaysAlive(t *testing.T) {
	const nodes = 9
	for _, c := range []struct {
		name      string
		separated func(from, to int) bool
	}{
		{"one direction of a link", func(from, to int) bool { return from == 0 && to == 1 }},
		{"both directions of a link", func(from, to int) bool { return from+to == 1 }},
		{"two zones that a third one reaches", func(from, to int) bool {
			return from%3 == 0 && to%3 == 1 || from%3 == 1 && to%3 == 0
		}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := settled(t, Options{Nodes: nodes, Seed: seed, Zones: 3})
				cutBetween(s, nodes, true, c.separated)
				s.Run(s.Now + 120)
				checkNoFalseDeaths(t, s)
				announced := false
				for _, member := range s.Node(2).All() { // a node that all others reach
					announced = announced || len(member.BadLinks) > 0
				}
				if !announced {
					t.Error("no bad link is announced")
				}
			})
		}
	}
}

// A node that receives nothing, or that no other receives, declares none of the others dead, and is a member again
// afterwards.
func TestIsolatedNodeDeclaresNobodyDead(t *testing.T) {
	const nodes, isolated, isolatedName = 12, 4, "n0004"
	for _, c := range []struct {
		name      string
		separated func(from, to int) bool
	}{
		{"receives nothing", func(from, to int) bool { return to == isolated && from != isolated }},
		{"not heard", func(from, to int) bool { return from == isolated && to != isolated }},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := settled(t, Options{Nodes: nodes, Seed: seed})
				cutBetween(s, nodes, true, c.separated)
				s.Run(s.Now + 180)
				checkNoDeathsBut(t, s, isolatedName)
				cutBetween(s, nodes, false, c.separated)
				converge(t, s, 60)
			})
		}
	}
}

// In a fleet that is too large for all members to probe a suspect themselves, a node that is not heard learns that it is
// considered dead, and declares none of the others dead.
func TestNodeNotHeardInALargeFleetDeclaresNobodyDead(t *testing.T) {
	t.Parallel() // one of the longest here
	const nodes, notHeard = 300, 4
	s := settled(t, Options{Nodes: nodes, Seed: 2})
	cutBetween(s, nodes, true, func(from, to int) bool { return from == notHeard && to != notHeard })
	s.Run(s.Now + 120)
	checkNoDeathsBut(t, s, "n0004")
}

func TestPartitionedHalvesMergeAgain(t *testing.T) {
	const nodes = 20
	separated := func(from, to int) bool { return from%2 != to%2 }
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := settled(t, Options{Nodes: nodes, Seed: seed})
			cutBetween(s, nodes, true, separated)
			s.Run(s.Now + 150)
			if live := s.Node(0).LiveCount(); live != nodes/2 {
				t.Errorf("%d live members in one half, want %d", live, nodes/2)
			}
			cutBetween(s, nodes, false, separated)
			converge(t, s, 60)
		})
	}
}
