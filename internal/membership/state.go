package membership

import (
	"slices"

	"gorseledge/internal/membership/wire"
)

// setState sets the state of a member, ends its suspicion unless it is suspect and reports the change.
func (m *Members) setState(x *member, to State) {
	was := x.State
	if to != Suspect && x.suspicion != nil {
		x.suspicion = nil
		m.suspected--
	}
	if was == to {
		return
	}
	if was.gone() != to.gone() {
		if to.gone() {
			m.living--
		} else {
			m.living++
		}
	}
	x.State, x.Since = to, m.now
	by := ""
	if to == Suspect && x.suspicion != nil {
		by = x.suspicion.last
	}
	m.effects = append(m.effects, Changed{Member: x.Member, Previous: was, SuspectedBy: by})
}

// addMember adds a member that was not known, as alive or gone; a suspicion is up to the caller.
func (m *Members) addMember(u *wire.Update) *member {
	x := &member{Member: Member{Name: u.Name, State: Alive, Since: m.now}}
	x.setFacts(u)
	if s := State(min(u.State, uint32(Left))); s.gone() {
		x.State = s
	} else {
		m.living++
	}
	m.byName[u.Name] = x
	at := m.rand.IntN(len(m.others) + 1) // a random place in the round, so that no member waits for long
	m.others = slices.Insert(m.others, at, x)
	if at < m.nextProbe {
		m.nextProbe++
	}
	m.effects = append(m.effects, Changed{Member: x.Member, New: true})
	return x
}
