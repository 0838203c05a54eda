package membership

import (
	"slices"

	"gorseledge/internal/membership/wire"
)

// setState sets the state of a member and adds a Changed effect. It ends the suspicion of the member unless the new state
// is Suspect.
func (m *Members) setState(peer *member, to State) {
	previous := peer.State
	if to != Suspect && peer.suspicion != nil {
		peer.suspicion = nil
		m.suspectCount--
	}
	if previous == to {
		return
	}
	if previous.Gone() && !to.Gone() {
		m.liveCount++
	}
	if !previous.Gone() && to.Gone() {
		m.liveCount--
	}
	peer.State = to
	peer.Since = m.now
	change := Changed{Member: peer.Member, Previous: previous}
	if peer.suspicion != nil {
		change.SuspectedBy = peer.suspicion.lastReporter
	}
	m.effects = append(m.effects, change)
}

// addMember adds a member that was not known, as alive, dead or left. If the update reports a suspicion, the caller starts
// it.
func (m *Members) addMember(u *wire.Update) *member {
	peer := &member{Member: Member{Name: u.Name, State: Alive, Since: m.now}}
	peer.setFacts(u)
	if state := reportedState(u); state.Gone() {
		peer.State = state
	} else {
		m.liveCount++
	}
	m.byName[u.Name] = peer
	m.insertIntoRound(peer)
	m.effects = append(m.effects, Changed{Member: peer.Member, New: true})
	return peer
}

// insertIntoRound inserts a member at a random position of the probe order, as SWIM does to bound the time until the
// member is probed.
func (m *Members) insertIntoRound(peer *member) {
	at := m.random.IntN(len(m.others) + 1)
	m.others = slices.Insert(m.others, at, peer)
	if at < m.nextTarget {
		m.nextTarget++
	}
}
