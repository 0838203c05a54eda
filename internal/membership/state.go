package membership

import (
	"slices"

	"gorseledge/internal/membership/wire"
)

// setState sets the state of a member and reports the change. It ends the member's suspicion unless the state is Suspect.
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
	m.effects = append(m.effects, Changed{Member: peer.Member, Previous: previous})
}

// addMember adds a member that was not known, as alive or gone. A suspicion is up to the caller.
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

// insertIntoRound gives a member a random place in the order of probes, so that no member waits for long.
func (m *Members) insertIntoRound(peer *member) {
	at := m.random.IntN(len(m.others) + 1)
	m.others = slices.Insert(m.others, at, peer)
	if at < m.nextTarget {
		m.nextTarget++
	}
}
