package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"gorseledge/internal/membership/wire"
)

// State is the state of a member as another member sees it. The numbers are part of the wire format.
type State uint8

// The states of a member. A suspect member still counts as a member, because it has time to refute the suspicion.
const (
	Alive   State = iota // the member answers probes
	Suspect              // the member failed a probe, or another member reports that it did
	Dead                 // the member did not refute a suspicion in time
	Left                 // the member announced that it leaves the fleet
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state, as logs and views show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Gone reports whether the state is final for the member's incarnation: the member returns only with a newer one.
func (s State) Gone() bool { return s >= Dead }

// reportedState returns the state in an update. It returns Left for a state that this version does not know.
func reportedState(u *wire.Update) State { return State(min(u.State, uint32(Left))) }

// Member is what is known about a node of the fleet.
type Member struct {
	Name        string   // unique in the fleet
	Start       uint64   // start of its process in Unix microseconds; a process with a later start replaces this one
	Incarnation uint32   // raised by the member itself, to refute a suspicion or to announce new facts
	State       State    // state of the member in the view of this node
	Since       float64  // time at which this node set the state, in seconds
	Address     string   // address for messages between members
	Zone        string   // zone that the member announces for itself
	Build       string   // revision of the program that the member announces for itself
	Ready       bool     // whether the member accepts clients
	BadLinks    []uint32 // NameHash of each member that it reaches only through others, up to maxBadLinks of them
}

// NameHash returns the hash that stands for a member's name in a list of bad links.
func NameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// compareOrder compares the start and incarnation of an update with those of the known member, start first. The result is
// negative if the update is older than what is known, and positive if it is newer.
func compareOrder(start uint64, incarnation uint32, known *Member) int {
	return cmp.Or(cmp.Compare(start, known.Start), cmp.Compare(incarnation, known.Incarnation))
}

// Update returns the update about the member for a message.
func (m Member) Update() *wire.Update {
	return &wire.Update{
		Name:        m.Name,
		Start:       m.Start,
		Incarnation: m.Incarnation,
		State:       uint32(m.State),
		Address:     m.Address,
		Zone:        m.Zone,
		Build:       m.Build,
		Ready:       m.Ready,
		Bad:         slices.Clone(m.BadLinks),
	}
}

// member is a Member with the data that this node's failure detector keeps about it.
type member struct {
	Member
	suspicion        *suspicion // nil unless the state is Suspect
	badLink          bool       // the answer to the last probe of the member came only through other members
	nextCorrectionAt float64    // earliest time at which correctSender may correct the member again, in seconds
}

// update returns the update about the member for a message. For a suspect, it names the last member that reported the
// suspicion.
func (m *member) update() *wire.Update {
	u := m.Update()
	if m.State == Suspect && m.suspicion != nil {
		u.By = m.suspicion.lastReporter
	}
	return u
}

// setFacts copies what the member announced about itself from an update.
func (m *member) setFacts(u *wire.Update) {
	m.Start = u.Start
	m.Incarnation = u.Incarnation
	m.Address = u.Address
	m.Zone = u.Zone
	m.Build = u.Build
	m.Ready = u.Ready
	m.BadLinks = u.Bad[:min(len(u.Bad), maxBadLinks)]
}
