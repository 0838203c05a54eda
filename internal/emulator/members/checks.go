package members

import (
	"fmt"

	"gorseledge/internal/membership"
)

// Node returns a node's core.
func (s *Simulation) Node(i int) *membership.Members { return s.nodes[i].Members }

// Replaced reports whether a process was notified that a later process has its name.
func (s *Simulation) Replaced(i int) bool { return s.nodes[i].replaced }

// StateSeenBy returns the state that a node has for the named member, and false if it does not know the member.
func (s *Simulation) StateSeenBy(i int, name string) (membership.State, bool) {
	member, known := s.nodes[i].Member(name)
	if !known {
		return membership.Dead, false
	}
	return member.State, true
}

// CheckAgreement returns nil if the members that each running process considers alive are exactly the running ones. Otherwise
// the error describes the first process for which they are not.
func (s *Simulation) CheckAgreement() error {
	running := map[string]bool{}
	for _, n := range s.nodes {
		if !n.ended {
			running[n.name] = true
		}
	}
	for _, n := range s.nodes {
		if n.ended {
			continue
		}
		if err := n.checkAgreement(running); err != nil {
			return err
		}
	}
	return nil
}

// checkAgreement returns an error unless the members that the node considers alive are exactly the running ones.
func (n *node) checkAgreement(running map[string]bool) error {
	alive := 0
	for _, member := range n.All() {
		seenAlive := member.State == membership.Alive
		if seenAlive != running[member.Name] {
			return fmt.Errorf("node %s has state %v for member %s", n.name, member.State, member.Name)
		}
		if seenAlive {
			alive++
		}
	}
	if alive != len(running) {
		return fmt.Errorf("node %s knows %d of %d live members", n.name, alive, len(running))
	}
	return nil
}

// FalseDeaths returns how often a node declared a process dead that is still running, and a description of the first such
// event.
func (s *Simulation) FalseDeaths() (count int, first string) {
	running := map[string]bool{}
	for _, n := range s.nodes {
		if !n.ended {
			running[n.name] = true
		}
	}
	for _, e := range s.Events {
		if e.State != membership.Dead || !running[e.Name] {
			continue
		}
		count++
		if count == 1 {
			first = fmt.Sprintf("node %s declared %s dead at %.1f s", s.nodes[e.Node].name, e.Name, e.At)
		}
	}
	return count, first
}

// sameDigests reports whether all nodes have the same digest, and so the same knowledge of all members.
func (s *Simulation) sameDigests() bool {
	for _, n := range s.nodes {
		if n.Digest() != s.nodes[0].Digest() {
			return false
		}
	}
	return true
}

// pendingUpdates returns the number of updates that are still to be gossiped, summed over all nodes.
func (s *Simulation) pendingUpdates() float64 {
	sum := 0.0
	for _, n := range s.nodes {
		sum += float64(n.PendingUpdates())
	}
	return sum
}

// totals are the messages and bytes that all nodes together have sent.
type totals struct{ messages, bytes int }

// sentTotals returns the totals since the start of the simulation.
func (s *Simulation) sentTotals() totals {
	var t totals
	for i := range s.nodes {
		t.messages += s.SentMessages[i]
		t.bytes += s.SentBytes[i]
	}
	return t
}
