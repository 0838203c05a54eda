package members

import (
	"fmt"
	"math"
	"testing"

	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
)

// Guards against nodes that cannot join because the first of their join addresses do not answer.
func TestFleetFormsWhileSomeJoinAddressesAreDead(t *testing.T) {
	s := New(Options{Nodes: 12, Seed: 5})
	s.Kill(0)
	s.Kill(1)
	awaitAgreement(t, s, 60)
}

// Guards against a restarted process that counts as an additional member or keeps its old address, and against a running process
// that is not notified when a later one with its name replaces it.
func TestRestartedProcessIsSameMember(t *testing.T) {
	s := newAgreedFleet(t, Options{Nodes: 8, Seed: 2})
	s.Kill(5)
	s.Run(s.Now + 1)
	restarted := s.Start("n0005", "10.0.9.9:7000")
	s.Run(s.Now + 30)
	for _, member := range s.Node(0).All() {
		if member.Name == "n0005" && (member.State != membership.Alive || member.Address != "10.0.9.9:7000") {
			t.Errorf("the restarted member is not alive at its new address: %+v", member)
		}
	}
	successor := s.Start("n0006", "10.0.9.10:7000") // while its predecessor is running
	s.Run(s.Now + 60)
	if !s.Replaced(6) || s.Replaced(restarted) || s.Replaced(successor) {
		t.Errorf("replaced: predecessor %v, successor %v, restarted %v", s.Replaced(6), s.Replaced(successor), s.Replaced(restarted))
	}
	if s.Node(0).LiveCount() != 8 {
		t.Errorf("%d live members, want 8", s.Node(0).LiveCount())
	}
}

// Guards against false reports of one faulty member: it repeatedly reports all others as dead or left. No live member must be
// declared dead, and the number of messages that the reports cause has to be bounded.
func TestFalseReportsAreNotBelieved(t *testing.T) {
	const nodes, reporter, reporterName = 15, 14, "n0014"
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			s := newAgreedFleet(t, Options{Nodes: nodes, Seed: seed})
			for k := range 40 {
				s.At(s.Now+float64(k)*0.5, func() {
					for to := range nodes - 1 {
						s.Inject(to, falseReport(s, reporterName, s.Node(reporter).Self().Start, nodes-1, k))
					}
				})
			}
			before := s.sentTotals().messages
			s.Run(s.Now + 20)
			sent := s.sentTotals().messages - before
			checkNoFalseDeaths(t, s)
			if rate := float64(sent) / nodes / 20; rate > 60 {
				t.Errorf("each member sends %.0f messages a second, want at most 60", rate)
			}
			awaitAgreement(t, s, 60)
		})
	}
}

// falseReport returns a message in which a member reports the first nodes as dead or, for odd numbers k, as left.
func falseReport(s *Simulation, from string, start uint64, nodes, k int) *wire.Message {
	message := &wire.Message{Kind: wire.Message_STATE, From: from, Start: start}
	for i := range nodes {
		self := s.Node(i).Self()
		message.Updates = append(message.Updates, &wire.Update{
			Name:        self.Name,
			Start:       self.Start,
			Incarnation: self.Incarnation,
			State:       uint32(membership.Dead + membership.State(k%2)),
			Address:     self.Address,
			By:          fmt.Sprintf("n%04d", k%nodes),
		})
	}
	return message
}

// Guards against a member that cannot refute a false death because the report has the highest possible incarnation.
func TestDeathWithHighestIncarnationIsRefuted(t *testing.T) {
	s := newAgreedFleet(t, Options{Nodes: 6, Seed: 1})
	self := s.Node(2).Self()
	s.Inject(0, &wire.Message{Kind: wire.Message_STATE, From: "n0005", Start: 1, Updates: []*wire.Update{{Name: self.Name,
		Start: self.Start, Incarnation: math.MaxUint32, State: uint32(membership.Dead), Address: self.Address}}})
	s.Run(s.Now + 20)
	checkNoFalseDeaths(t, s)
	awaitAgreement(t, s, 60)
}
