package members

import (
	"fmt"
	"testing"

	"gorseledge/internal/membership"
)

const maxDatagramMessageBytes = 208 // largest message that fits into a datagram of the fleet

// Guards against deaths and departures that are not detected by all members, false deaths at rest, and messages that are too
// large for a datagram.
func TestDeathAndLeaveAreDetected(t *testing.T) {
	for _, nodes := range []int{3, 10, 60} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d nodes, seed %d", nodes, seed), func(t *testing.T) {
				s := newAgreedFleet(t, Options{Nodes: nodes, Seed: seed})
				s.Run(s.Now + 30)
				checkNoFalseDeaths(t, s)
				s.Kill(1)
				awaitAgreement(t, s, 60)
				s.Leave(nodes - 1)
				awaitAgreement(t, s, 30)
				s.Run(s.Now + 10)
				if state, _ := s.StateSeenBy(0, s.nodes[nodes-1].name); state != membership.Left {
					t.Errorf("the node that left has state %v, want left", state)
				}
				if s.LargestMessage > maxDatagramMessageBytes {
					t.Errorf("the largest message has %d bytes, want at most %d", s.LargestMessage, maxDatagramMessageBytes)
				}
			})
		}
	}
}

// Guards against a process that, after a pause, suspects the members whose answers arrived during the pause, or does not become
// a live member again by refuting its own suspicion or death.
func TestPausedNodeRefutesAndSuspectsNoOther(t *testing.T) {
	const paused, pausedName = 5, "n0005"
	for _, pause := range []float64{0.2, 1.5, 3, 20} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%g s, seed %d", pause, seed), func(t *testing.T) {
				s := newAgreedFleet(t, Options{Nodes: 12, Seed: seed})
				s.Run(s.Node(paused).NextTick() + 1e-6) // after its probe is sent, so that the answer arrives during the pause
				s.Pause(paused)
				s.Run(s.Now + pause)
				before := len(s.Events)
				s.Resume(paused)
				awaitAgreement(t, s, 60)
				for _, e := range s.Events[before:] {
					if e.Node == paused && e.State != membership.Alive && e.Name != pausedName {
						t.Errorf("after the pause it considers %s %v", e.Name, e.State)
					}
				}
				if count, first := s.FalseDeaths(); count > 0 && pause < 4 {
					t.Errorf("%s", first)
				}
			})
		}
	}
}

// Guards against false deaths after all nodes were paused at the same time, when every timer is overdue and no probe was
// answered.
func TestNodesPausedTogetherDeclareNoneDead(t *testing.T) {
	const nodes = 30
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newAgreedFleet(t, Options{Nodes: nodes, Seed: seed})
			for i := range nodes {
				s.Pause(i)
			}
			s.Run(s.Now + 20)
			for i := range nodes {
				s.Resume(i)
			}
			s.Run(s.Now + 40)
			checkNoFalseDeaths(t, s)
			awaitAgreement(t, s, 30)
		})
	}
}

// Guards against false deaths when there are more updates than messages can carry: a member that did not receive a refutation
// in time must not declare the refuting member dead. A tenth of a large fleet is paused for two periods repeatedly.
func TestLiveMembersSurviveManyUpdates(t *testing.T) {
	t.Parallel() // one of the longest tests of the package
	o := Options{Nodes: 300, Seed: 12}
	stalls := Stalls{Fraction: 0.1, Duration: 2, Interval: 15}
	m := MeasureDetection(o, stalls, SettlePeriods(o.Nodes), 120)
	if m.FalseDeaths > 0 || m.KnownFraction < 1 {
		t.Errorf("%.0f false deaths an hour, real death known to %.3f of the members, want 0 and 1", m.FalseDeaths, m.KnownFraction)
	}
}
