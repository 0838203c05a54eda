package membership

import (
	"slices"

	"gorseledge/internal/membership/wire"
)

// turn puts a member into a state.
func (m *Members) turn(x *member, to State) {
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
	m.out = append(m.out, Changed{Member: x.Member, Was: was, By: by})
}

// add takes a member that was not known.
func (m *Members) add(u *wire.Update) *member {
	x := &member{Member: Member{Name: u.Name, State: Alive, Since: m.now}}
	x.facts(u)
	if s := State(min(u.State, uint32(Left))); s.gone() {
		x.State = s
	} else {
		m.living++
	}
	m.byName[u.Name] = x
	at := m.rand.IntN(len(m.others) + 1) // a random place in the round, so that nobody is passed over for long
	m.others = slices.Insert(m.others, at, x)
	if at < m.next {
		m.next++
	}
	m.out = append(m.out, Changed{Member: x.Member, New: true})
	return x
}
