package membership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"gorseledge/internal/membership/wire"
)

// State is the state of a member as another member sees it. Its numbers are those of the wire.
type State uint8

// The states of a member. A suspect member still counts as a member, because it has time to refute the suspicion.
const (
	Alive   State = iota // it answers probes
	Suspect              // it failed a probe, or another member reports that it did
	Dead                 // it did not refute a suspicion in time
	Left                 // it announced that it leaves the fleet
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the name of the state, as logs and views show it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Gone reports whether a member cannot come back from the state under the same incarnation.
func (s State) Gone() bool { return s >= Dead }

// reportedState returns the state in an update. A state that this version does not know counts as Left.
func reportedState(u *wire.Update) State { return State(min(u.State, uint32(Left))) }

// Member is what is known about a node of the fleet.
type Member struct {
	Name        string   // unique in the fleet
	Start       uint64   // start of its process, Unix microseconds: a later process takes the name over
	Incarnation uint32   // raised by the member itself, to refute a suspicion or to announce new facts
	State       State    // as this node sees it
	Since       float64  // when it got this state at this node, in seconds
	Address     string   // for messages between members
	Zone        string   // a fact that it announces about itself
	Build       string   // revision of its program, which it announces as well
	Ready       bool     // it accepts clients
	BadLinks    []uint32 // NameHash of each member that it reaches only through others, maxBadLinks at most
}

// NameHash returns the hash that stands for a member's name in a list of bad links.
func NameHash(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// compareOrder compares two statements of a member about itself by their age: start first, then incarnation. The result
// is negative where the given one is older than what is known.
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

// member is a Member with what this node needs for failure detection.
type member struct {
	Member
	suspicion        *suspicion // nil unless the state is Suspect
	badLink          bool       // its last answer to a probe came only through others
	nextCorrectionAt float64    // when correctSender may correct it again, in seconds
}

// update returns the update about the member for a message, with the member that reported its suspicion last.
func (m *member) update() *wire.Update {
	u := m.Update()
	if m.State == Suspect && m.suspicion != nil {
		u.By = m.suspicion.lastReporter
	}
	return u
}

// setFacts sets what the member announced about itself.
func (m *member) setFacts(u *wire.Update) {
	m.Start = u.Start
	m.Incarnation = u.Incarnation
	m.Address = u.Address
	m.Zone = u.Zone
	m.Build = u.Build
	m.Ready = u.Ready
	m.BadLinks = u.Bad[:min(len(u.Bad), maxBadLinks)]
}
