package members

import (
	"fmt"
	"testing"
)

// Guards against live members that are declared dead because of the network: with 5% or 20% of the messages lost, and others
// delayed, duplicated and reordered, there must be no false death.
func TestLossCausesNoFalseDeaths(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%g lost, seed %d", loss, seed), func(t *testing.T) {
				s := newAgreedFleet(t, Options{Nodes: 20, Seed: seed})
				s.Loss = loss
				s.Delay = 0.05
				s.Duplicate = 0.1
				s.Run(s.Now + 120)
				checkNoFalseDeaths(t, s)
			})
		}
	}
}

// Guards against members that stay dead or suspect after heavy loss has ended.
func TestFleetRecoversFromHeavyLoss(t *testing.T) {
	s := newAgreedFleet(t, Options{Nodes: 20, Seed: 3})
	s.Loss = 0.4
	s.Delay = 0.3
	s.Run(s.Now + 60)
	s.Loss = 0
	s.Delay = 0.001
	awaitAgreement(t, s, 60)
}

// Guards against a member that is declared dead because some of the others cannot reach it directly. Indirect probes have to
// reach it, and the bad link has to be announced.
func TestMemberReachedThroughOthersStaysAlive(t *testing.T) {
	const nodes = 9
	for _, c := range []struct {
		name      string
		separated func(from, to int) bool
	}{
		{"one direction of a link", func(from, to int) bool { return from == 0 && to == 1 }},
		{"both directions of a link", func(from, to int) bool { return from+to == 1 }},
		{"two zones, both reachable from a third", func(from, to int) bool {
			return from%3 == 0 && to%3 == 1 || from%3 == 1 && to%3 == 0
		}},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := newAgreedFleet(t, Options{Nodes: nodes, Seed: seed, Zones: 3})
				cutBetween(s, nodes, true, c.separated)
				s.Run(s.Now + 120)
				checkNoFalseDeaths(t, s)
				announced := false
				for _, member := range s.Node(2).All() { // a node that all others can reach
					announced = announced || len(member.BadLinks) > 0
				}
				if !announced {
					t.Error("no bad link was announced")
				}
			})
		}
	}
}

// Guards against a node that declares all others dead because its own link is bad, in either direction. It must not declare any
// other dead, and has to become a live member again when the link is restored.
func TestIsolatedNodeDeclaresNoOtherDead(t *testing.T) {
	const nodes, isolated, isolatedName = 12, 4, "n0004"
	for _, c := range []struct {
		name      string
		separated func(from, to int) bool
	}{
		{"receives nothing", func(from, to int) bool { return to == isolated && from != isolated }},
		{"sends nothing", func(from, to int) bool { return from == isolated && to != isolated }},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				s := newAgreedFleet(t, Options{Nodes: nodes, Seed: seed})
				cutBetween(s, nodes, true, c.separated)
				s.Run(s.Now + 180)
				checkNoDeathsExcept(t, s, isolatedName)
				cutBetween(s, nodes, false, c.separated)
				awaitAgreement(t, s, 60)
			})
		}
	}
}

// Guards against a node that cannot send and declares others dead in a large fleet. There not every member probes a suspect
// itself, so the node has to learn from the others' messages that it is considered dead.
func TestNodeThatCannotSendInLargeFleetDeclaresNoOtherDead(t *testing.T) {
	t.Parallel() // one of the longest tests of the package
	const nodes, mute = 300, 4
	s := newAgreedFleet(t, Options{Nodes: nodes, Seed: 2})
	cutBetween(s, nodes, true, func(from, to int) bool { return from == mute && to != mute })
	s.Run(s.Now + 120)
	checkNoDeathsExcept(t, s, "n0004")
}

// Guards against partitions that stay separate after the network has healed, because each considers the members of the other dead
// and no longer sends them messages.
func TestPartitionedHalvesMergeAgain(t *testing.T) {
	const nodes = 20
	separated := func(from, to int) bool { return from%2 != to%2 }
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newAgreedFleet(t, Options{Nodes: nodes, Seed: seed})
			cutBetween(s, nodes, true, separated)
			s.Run(s.Now + 150)
			if live := s.Node(0).LiveCount(); live != nodes/2 {
				t.Errorf("%d live members in one half, want %d", live, nodes/2)
			}
			cutBetween(s, nodes, false, separated)
			awaitAgreement(t, s, 60)
		})
	}
}
