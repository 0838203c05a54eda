// Package membership detects which nodes of a fleet are alive. It implements SWIM (Das, Gupta, Motivala 2002) with the
// extensions of Lifeguard (Dadgar, Phillips, Currey 2018). It does no I/O and reads no clock: Tick and Receive take the
// time in seconds and return messages to send and changes of members. All randomness comes from the seed.
package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"gorseledge/internal/membership/wire"
)

// State is the state of a member as another member sees it.
type State uint8

// The states. A suspect member still counts as a member: it has time to refute the suspicion.
const (
	Alive State = iota
	Suspect
	Dead
	Left // it announced that it leaves
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state, as logs and views show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// gone reports whether a member cannot come back from the state under the same incarnation.
func (s State) gone() bool { return s >= Dead }

// Member is what is known about a node of the fleet.
type Member struct {
	Name        string
	Start       uint64 // start of its process, Unix microseconds: a later process takes the name over
	Incarnation uint32 // raised by the member itself, to refute a suspicion or to announce new facts
	State       State
	Since       float64  // when it got this state at this node, in seconds
	Address     string   // for messages between members
	Zone, Build string   // facts that it announces about itself
	Ready       bool     // it takes clients
	BadLinks    []uint32 // Number of each member that it reaches only through others, maxBadLinks at most
}

// NameHash returns the hash that stands for a name in the list of bad links.
func NameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// compareOrder compares two statements of a member about itself by their age: start first, then incarnation.
func compareOrder(start uint64, incarnation uint32, m *Member) int {
	return cmp.Or(cmp.Compare(start, m.Start), cmp.Compare(incarnation, m.Incarnation))
}

// member is a Member with what this node needs for failure detection.
type member struct {
	Member
	suspicion *suspicion
	badLink   bool    // it answers only through others
	correctAt float64 // when correctSender may correct it again
}

// update returns the update about a member for a message.
func (m *member) update() *wire.Update {
	u := &wire.Update{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, State: uint32(m.State),
		Address: m.Address, Zone: m.Zone, Build: m.Build, Ready: m.Ready, Bad: slices.Clone(m.BadLinks)}
	if m.State == Suspect && m.suspicion != nil {
		u.By = m.suspicion.last
	}
	return u
}

// setFacts sets what a member announced about itself.
func (m *member) setFacts(u *wire.Update) {
	m.Start, m.Incarnation = u.Start, u.Incarnation
	m.Address, m.Zone, m.Build, m.Ready = u.Address, u.Zone, u.Build, u.Ready
	m.BadLinks = u.Bad[:min(len(u.Bad), maxBadLinks)]
}
