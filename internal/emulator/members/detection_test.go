package members

import (
	"fmt"
	"testing"

	"gorseledge/internal/membership"
)

const maxDatagramMessageBytes = 208 // of a message that fits into a datagram of the fleet

func TestDeathAndLeaveAreDetected(t *testing.T) {
	for _, nodes := range []int{3, 10, 60} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", nodes, seed), func(t *testing.T) {
				s := settled(t, Options{Nodes: nodes, Seed: seed})
				s.Run(s.Now + 30)
				checkNoFalseDeaths(t, s)
				s.Kill(1)
				converge(t, s, 60)
				s.Leave(nodes - 1)
				converge(t, s, 30)
				s.Run(s.Now + 10)
				if state, _ := s.StateSeenBy(0, s.nodes[nodes-1].name); state != membership.Left {
					t.Errorf("the node that left is seen as %v", state)
				}
				if s.LargestMessage > maxDatagramMessageBytes {
					t.Errorf("a message of %d bytes", s.LargestMessage)
				}
			})
		}
	}
}

// A paused process is a member again by refutation, and does not consider others suspect or dead on resuming.
func TestPausedNodeRefutesAndSuspectsNobody(t *testing.T) {
	const paused, pausedName = 5, "n0005"
	for _, pause := range []float64{0.2, 1.5, 3, 20} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%g s, seed %d", pause, seed), func(t *testing.T) {
				s := settled(t, Options{Nodes: 12, Seed: seed})
				s.Run(s.Node(paused).NextTick() + 1e-6) // it has sent a probe: the answer comes while it is paused
				s.Pause(paused)
				s.Run(s.Now + pause)
				before := len(s.Events)
				s.Resume(paused)
				converge(t, s, 60)
				for _, e := range s.Events[before:] {
					if e.Node == paused && e.State != membership.Alive && e.Name != pausedName {
						t.Errorf("on resuming it sees %s as %v", e.Name, e.State)
					}
				}
				if count, first := s.FalseDeaths(); count > 0 && pause < 4 {
					t.Errorf("%s", first)
				}
			})
		}
	}
}

func TestNodesPausedTogetherDeclareNobodyDead(t *testing.T) {
	const nodes = 30
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := settled(t, Options{Nodes: nodes, Seed: seed})
			for i := range nodes {
				s.Pause(i)
			}
			s.Run(s.Now + 20)
			for i := range nodes {
				s.Resume(i)
			}
			s.Run(s.Now + 40)
			checkNoFalseDeaths(t, s)
			converge(t, s, 30)
		})
	}
}

// A tenth of a large fleet is paused for two periods again and again, so that updates crowd out updates. A member that
// refuted in time, but whose refutation one of the others did not receive, is not declared dead there.
func TestLiveMembersSurviveManyUpdates(t *testing.T) {
	t.Parallel() // one of the longest here
	o := Options{Nodes: 300, Seed: 12}
	stalls := Stalls{Fraction: 0.1, Duration: 2, Interval: 15}
	m := MeasureDetection(o, stalls, SettlePeriods(o.Nodes), 120)
	if m.FalseDeaths > 0 || m.KnownFraction < 1 {
		t.Errorf("%.0f deaths of live members an hour, a real death known to %.3f of the members", m.FalseDeaths, m.KnownFraction)
	}
}
