package membership

import (
	"cmp"

	"gorseledge/internal/membership/wire"
)

// mergeUpdate merges an update that the member named from sent into this node's view. Updates that are not valid or older
// than the view are ignored.
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

// validUpdate reports whether an update has a name and none of its strings is longer than maxFactBytes.
func validUpdate(u *wire.Update) bool {
	if u.Name == "" || len(u.Name) > maxFactBytes {
		return false
	}
	return len(u.Address) <= maxFactBytes && len(u.Zone) <= maxFactBytes && len(u.Build) <= maxFactBytes
}

// mergeNewMember adds a member that was not known, unless maxMembers are known already.
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

// mergeState merges the reported state of a known member, if the update is for its current incarnation or a newer one.
// A member that itself announces that it leaves is set to left. Any other report that a member is dead or has left only
// starts or confirms a suspicion, so that a faulty member cannot make others declare a member dead that answers them.
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

// mergeSelfUpdate handles an update about this node. It refutes a suspicion with a new incarnation. If a process with a
// later start uses this node's name at another address, this node leaves.
func (m *Members) mergeSelfUpdate(u *wire.Update) {
	state := reportedState(u)
	suspected := state == Suspect || state == Dead
	if suspected && u.Start == m.self.Start {
		// A report about an old incarnation counts as well: its sender may not receive this node's refutations.
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
		m.adjustHealth(1) // this node may have answered a probe too late
	}
}

// mergeLaterStart handles an update about a process with this node's name and a later start. If that process is alive at
// another address, it replaces this node. Otherwise the update is about an earlier process of this node whose clock was
// ahead, and this node adopts that start with a newer incarnation.
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
