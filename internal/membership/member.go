// Package membership tells who of a fleet lives: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's answers (Dadgar,
// Phillips, Currey 2018). It does no I/O and reads no clock: Tick and Receive take the time in seconds and give what
// to send and what has changed. All chance comes from the seed.
package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"gorseledge/internal/membership/wire"
)

// State is what a member knows of another.
type State uint8

// The states. A member that is suspect still counts as one: it has time to answer.
const (
	Alive State = iota
	Suspect
	Dead
	Left // it said that it goes
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// gone tells whether the state is one that a member does not come back from under the same incarnation.
func (s State) gone() bool { return s >= Dead }

// Member is a node as the others know it.
type Member struct {
	Name        string
	Start       uint64 // of its process, Unix microseconds: a later one takes the name over
	Incarnation uint32 // raised by the member itself, to refute what is said of it and to tell new facts
	State       State
	Since       float64  // when it came into this state, here
	Address     string   // for messages among members
	Zone, Build string   // facts that it tells of itself
	Ready       bool     // it takes clients
	Bad         []uint32 // Number of each member that it reaches by way of others only, a few at the most
}

// Number stands for a name in the list of bad links.
func Number(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// newer compares the order in which a member told of itself.
func newer(start uint64, incarnation uint32, m *Member) int {
	return cmp.Or(cmp.Compare(start, m.Start), cmp.Compare(incarnation, m.Incarnation))
}

// member is one with what this node needs to judge it.
type member struct {
	Member
	suspicion *suspicion
	badLink   bool    // it answers by way of others only
	correctAt float64 // when it may be told again what is known of it
}

// update gives what goes out about a member.
func (m *member) update() *wire.Update {
	u := &wire.Update{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, State: uint32(m.State),
		Address: m.Address, Zone: m.Zone, Build: m.Build, Ready: m.Ready, Bad: slices.Clone(m.Bad)}
	if m.State == Suspect && m.suspicion != nil {
		u.By = m.suspicion.last
	}
	return u
}

// facts takes what a member told of itself.
func (m *member) facts(u *wire.Update) {
	m.Start, m.Incarnation = u.Start, u.Incarnation
	m.Address, m.Zone, m.Build, m.Ready = u.Address, u.Zone, u.Build, u.Ready
	m.Bad = u.Bad[:min(len(u.Bad), mostBad)]
}
