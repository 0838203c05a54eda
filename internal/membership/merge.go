package membership

import (
	"cmp"
	"slices"

	"gorseledge/internal/membership/wire"
)

// news is an update that still goes out, and how often it did.
type news struct {
	name string
	sent int
	at   float64
}

// merge takes what another knows of a member.
func (m *Members) merge(u *wire.Update, from string) {
	if u.Name == "" || len(u.Name) > 64 || len(u.Address) > 64 || len(u.Zone) > 64 || len(u.Build) > 64 {
		return
	}
	if u.Name == m.self.Name {
		m.aboutSelf(u)
		return
	}
	said := State(min(u.State, uint32(Left)))
	x := m.byName[u.Name]
	if x == nil {
		if len(m.byName) >= mostMembers {
			return
		}
		x = m.add(u)
		m.spread(x)
		if said == Suspect {
			m.suspect(x, cmp.Or(u.By, from), false)
		}
		return
	}
	order := newer(u.Start, u.Incarnation, &x.Member)
	if order < 0 {
		return
	}
	if order > 0 {
		x.facts(u)
		m.turn(x, Alive)
		m.spread(x)
	}
	switch {
	case said == Alive:
	case said == Left && from == x.Name:
		if !x.State.gone() {
			m.turn(x, Left)
			m.spread(x)
		}
	default: // also a death: who tells of one is one more accuser, and no more. Guards against a liar
		m.suspect(x, cmp.Or(u.By, from), said == Left)
	}
}

// aboutSelf takes what others say of this one.
func (m *Members) aboutSelf(u *wire.Update) {
	said := State(min(u.State, uint32(Left)))
	if u.Start == m.self.Start && (said == Suspect || said == Dead) { // also of old: they may not hear the answer
		m.accusedAt = m.now
	}
	switch order := newer(u.Start, u.Incarnation, &m.self.Member); {
	case m.left || order < 0:
	case u.Start > m.self.Start && u.Address != m.self.Address && said == Alive:
		m.left = true
		m.out = append(m.out, Replaced{Member{Name: u.Name, Start: u.Start, Address: u.Address, Zone: u.Zone}})
	case u.Start > m.self.Start: // an earlier process of this machine, whose clock was ahead
		m.self.Start, m.self.Incarnation = u.Start, u.Incarnation
		m.tellSelf()
	case order > 0 || said != Alive:
		m.self.Incarnation = u.Incarnation
		m.tellSelf()
		if said == Suspect || said == Dead {
			m.doubts(1) // it was slow to answer
		}
	}
}

// spread has the state of a member go out with the next messages.
func (m *Members) spread(x *member) {
	m.news = slices.DeleteFunc(m.news, func(n news) bool { return n.name == x.Name })
	m.news = append(m.news, news{name: x.Name, at: m.now})
}
