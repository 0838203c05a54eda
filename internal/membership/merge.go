package membership

import (
	"cmp"

	"gorseledge/internal/membership/wire"
)

// mergeUpdate merges what the member from reports about a member. Updates without a name, or with names or facts that
// are too long, are ignored.
func (m *Members) mergeUpdate(u *wire.Update, from string) {
	if !validUpdate(u) {
		return
	}
	if u.Name == m.self.Name {
		m.mergeSelfUpdate(u)
		return
	}
	peer := m.byName[u.Name]
	if peer == nil {
		m.mergeNewMember(u, from)
		return
	}
	order := compareOrder(u.Start, u.Incarnation, &peer.Member)
	if order < 0 {
		return
	}
	if order > 0 {
		peer.setFacts(u)
		m.setState(peer, Alive)
		m.enqueueUpdate(peer)
	}
	m.mergeState(peer, u, from)
}

// validUpdate reports whether an update has a name, and facts of a length that is accepted.
func validUpdate(u *wire.Update) bool {
	if u.Name == "" || len(u.Name) > maxFactBytes {
		return false
	}
	return len(u.Address) <= maxFactBytes && len(u.Zone) <= maxFactBytes && len(u.Build) <= maxFactBytes
}

// mergeNewMember adds a member that was not known, up to maxMembers of them.
func (m *Members) mergeNewMember(u *wire.Update, from string) {
	if len(m.byName) >= maxMembers {
		return
	}
	peer := m.addMember(u)
	m.enqueueUpdate(peer)
	if reportedState(u) == Suspect {
		m.suspect(peer, cmp.Or(u.By, from), false)
	}
}

// mergeState merges the reported state of a known member, of its present incarnation or a newer one. A member that
// announces itself that it leaves has left. Any other report that a member is gone only confirms a suspicion of it: a
// faulty member cannot make others declare a member dead that answers them.
func (m *Members) mergeState(peer *member, u *wire.Update, from string) {
	state := reportedState(u)
	if state == Alive {
		return
	}
	if state != Left || from != peer.Name {
		m.suspect(peer, cmp.Or(u.By, from), state == Left)
		return
	}
	if !peer.State.Gone() {
		m.setState(peer, Left)
		m.enqueueUpdate(peer)
	}
}

// mergeSelfUpdate merges what others report about this node. It refutes a suspicion with a new incarnation, and leaves
// where a later process has taken its name over at another address.
func (m *Members) mergeSelfUpdate(u *wire.Update) {
	state := reportedState(u)
	suspected := state == Suspect || state == Dead
	if suspected && u.Start == m.self.Start {
		// A report of an old incarnation counts as well: the refutation may not reach the member that sent it.
		m.lastSuspectedAt = m.now
	}
	order := compareOrder(u.Start, u.Incarnation, &m.self.Member)
	if m.left || order < 0 {
		return
	}
	if u.Start > m.self.Start {
		m.mergeLaterStart(u, state)
		return
	}
	if order == 0 && state == Alive {
		return
	}
	m.self.Incarnation = u.Incarnation
	m.announceSelf()
	if suspected {
		m.adjustHealth(1) // its answer to the probe was late
	}
}

// mergeLaterStart merges a report about a later process with this node's name. One that is alive at another address
// replaces this node. Any other report is of an earlier process of this node whose clock was ahead: this node takes a
// start after it.
func (m *Members) mergeLaterStart(u *wire.Update, state State) {
	if u.Address != m.self.Address && state == Alive {
		m.left = true
		successor := Member{Name: u.Name, Start: u.Start, Address: u.Address, Zone: u.Zone}
		m.effects = append(m.effects, Replaced{Successor: successor})
		return
	}
	m.self.Start = u.Start
	m.self.Incarnation = u.Incarnation
	m.announceSelf()
}
