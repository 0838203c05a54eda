package membership

import (
	"cmp"
	"slices"

	"gorseledge/internal/membership/wire"
)

// news is an update that still has to be sent with other messages, and how often it was sent.
type news struct {
	name string
	sent int
	at   float64
}

// mergeUpdate merges what the member from says about a member. Updates with names or facts that are too long are
// ignored.
func (m *Members) mergeUpdate(u *wire.Update, from string) {
	if u.Name == "" || len(u.Name) > 64 || len(u.Address) > 64 || len(u.Zone) > 64 || len(u.Build) > 64 {
		return
	}
	if u.Name == m.self.Name {
		m.mergeAboutSelf(u)
		return
	}
	said := State(min(u.State, uint32(Left)))
	x := m.byName[u.Name]
	if x == nil {
		if len(m.byName) >= maxMembers {
			return
		}
		x = m.addMember(u)
		m.enqueueNews(x)
		if said == Suspect {
			m.suspect(x, cmp.Or(u.By, from), false)
		}
		return
	}
	order := compareOrder(u.Start, u.Incarnation, &x.Member)
	if order < 0 {
		return
	}
	if order > 0 {
		x.setFacts(u)
		m.setState(x, Alive)
		m.enqueueNews(x)
	}
	switch {
	case said == Alive:
	case said == Left && from == x.Name:
		if !x.State.gone() {
			m.setState(x, Left)
			m.enqueueNews(x)
		}
	default: // a reported death only confirms a suspicion, which guards against a member that lies
		m.suspect(x, cmp.Or(u.By, from), said == Left)
	}
}

// mergeAboutSelf merges what others say about this node. It refutes a suspicion with a new incarnation, and leaves where
// a later process has taken its name over at another address.
func (m *Members) mergeAboutSelf(u *wire.Update) {
	said := State(min(u.State, uint32(Left)))
	if u.Start == m.self.Start && (said == Suspect || said == Dead) { // also of an old incarnation: the refutation may not reach them
		m.accusedAt = m.now
	}
	switch order := compareOrder(u.Start, u.Incarnation, &m.self.Member); {
	case m.left || order < 0:
	case u.Start > m.self.Start && u.Address != m.self.Address && said == Alive:
		m.left = true
		m.effects = append(m.effects, Replaced{Member{Name: u.Name, Start: u.Start, Address: u.Address, Zone: u.Zone}})
	case u.Start > m.self.Start: // of an earlier process of this node, whose clock was ahead
		m.self.Start, m.self.Incarnation = u.Start, u.Incarnation
		m.announceSelf()
	case order > 0 || said != Alive:
		m.self.Incarnation = u.Incarnation
		m.announceSelf()
		if said == Suspect || said == Dead {
			m.adjustHealth(1) // its answer to the probe was late
		}
	}
}

// enqueueNews has the state of a member sent with the next messages.
func (m *Members) enqueueNews(x *member) {
	m.news = slices.DeleteFunc(m.news, func(n news) bool { return n.name == x.Name })
	m.news = append(m.news, news{name: x.Name, at: m.now})
}
