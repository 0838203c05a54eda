package members

import (
	"fmt"

	"gorseledge/internal/membership"
)

// Node returns a node's core.
func (s *Simulation) Node(i int) *membership.Members { return s.nodes[i].Members }

// Replaced reports whether a process learned that a later one has its name.
func (s *Simulation) Replaced(i int) bool { return s.nodes[i].replaced }

// StateSeenBy returns the state in which a node sees the member with a name; false where it does not know it.
func (s *Simulation) StateSeenBy(i int, name string) (membership.State, bool) {
	member, known := s.nodes[i].Member(name)
	if !known {
		return membership.Dead, false
	}
	return member.State, true
}

// CheckAgreement returns nil where each running process sees exactly the running ones as alive. Otherwise the error
// names one that does not.
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

// checkAgreement returns an error where the node does not see exactly the running processes as alive.
func (n *node) checkAgreement(running map[string]bool) error {
	alive := 0
	for _, member := range n.All() {
		seenAlive := member.State == membership.Alive
		if seenAlive != running[member.Name] {
			return fmt.Errorf("%s sees %s as %v", n.name, member.Name, member.State)
		}
		if seenAlive {
			alive++
		}
	}
	if alive != len(running) {
		return fmt.Errorf("%s knows %d of %d", n.name, alive, len(running))
	}
	return nil
}

// FalseDeaths returns how often a process that runs now was declared dead by another, and a description of the first
// such event.
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
			first = fmt.Sprintf("%s declared %s dead at %.1f", s.nodes[e.Node].name, e.Name, e.At)
		}
	}
	return count, first
}

// sameDigests reports whether all nodes know the same about the same members.
func (s *Simulation) sameDigests() bool {
	for _, n := range s.nodes {
		if n.Digest() != s.nodes[0].Digest() {
			return false
		}
	}
	return true
}

// pendingUpdates returns the number of updates that all nodes together still gossip.
func (s *Simulation) pendingUpdates() float64 {
	sum := 0.0
	for _, n := range s.nodes {
		sum += float64(n.PendingUpdates())
	}
	return sum
}

// totals are messages and bytes that all nodes have sent.
type totals struct{ messages, bytes int }

// sentTotals returns what all nodes have sent since the start.
func (s *Simulation) sentTotals() totals {
	var t totals
	for i := range s.nodes {
		t.messages += s.SentMessages[i]
		t.bytes += s.SentBytes[i]
	}
	return t
}
