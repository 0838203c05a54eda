package membership

import (
	"maps"
	"slices"

	"gorseledge/internal/membership/wire"
)

// probe is the probe in progress.
type probe struct {
	name            string
	seq             uint64
	askAt           float64 // when other members are asked to probe
	asked, answered bool
	direct          bool
	helpers, nacks  int
}

// helping is a probe at the request of another member.
type helping struct {
	name, about string // the requester, and the member to probe
	seq         uint64 // of the requester's probe
	nackAt, end float64
	nacked      bool
}

// timeFactor returns the factor of this node's timeouts, which grow with its local health score.
func (m *Members) timeFactor() float64 { return float64(1 + m.healthScore) }

// startRound ends the probe in progress, expires suspicions and starts the next probe.
func (m *Members) startRound() {
	m.roundAt = m.now + m.Period*m.timeFactor()
	m.messagesLeft = maxStateMessages
	if p := m.probe; p != nil && !p.answered {
		m.probeFailed(p)
	}
	m.probe = nil
	m.expireSuspicions()
	m.exchangeState()
	x := m.nextTarget()
	if x == nil {
		return
	}
	m.seq++
	m.probe = &probe{name: x.Name, seq: m.seq, askAt: m.now + m.ProbeTimeout*m.timeFactor()}
	m.ping(x, m.seq)
}

// ping sends a ping to a member.
func (m *Members) ping(x *member, seq uint64) {
	msg := &wire.Message{Kind: wire.Message_PING, Seq: seq, About: x.Name, At: m.self.Address}
	if x.State != Alive { // the member has to know it, to refute it (Lifeguard's buddy system)
		msg.Updates = append(msg.Updates, x.update())
	}
	m.send(x.Address, msg)
}

// nextTarget returns the member to probe next: a suspect that this node verifies itself, or the next of the round; nil
// where there is none.
func (m *Members) nextTarget() *member {
	for len(m.probeFirst) > 0 {
		x := m.byName[m.probeFirst[0]]
		m.probeFirst = m.probeFirst[1:]
		if x != nil && x.State == Suspect {
			return x
		}
	}
	for range m.others {
		if m.nextProbe >= len(m.others) {
			m.nextProbe = 0
			m.rand.Shuffle(len(m.others), func(i, j int) { m.others[i], m.others[j] = m.others[j], m.others[i] })
		}
		x := m.others[m.nextProbe]
		m.nextProbe++
		if !x.State.gone() {
			return x
		}
	}
	return nil
}

// randomAlive returns up to n random members that are alive, except one.
func (m *Members) randomAlive(n int, without *member) (out []*member) {
	for _, i := range m.rand.Perm(len(m.others)) {
		if x := m.others[i]; x != without && x.State == Alive {
			if out = append(out, x); len(out) == n {
				break
			}
		}
	}
	return out
}

// chooseHelpers returns random members to probe another member: of different zones as far as possible, and none with a
// known bad link to it.
func (m *Members) chooseHelpers(x *member) (out []*member) {
	drawn := m.randomAlive(len(m.others), x)
	zones := map[string]bool{}
	for _, fresh := range [2]bool{true, false} {
		for _, h := range drawn {
			if len(out) == m.IndirectProbes {
				return out
			}
			if zones[h.Zone] == fresh || h.badLink || slices.Contains(h.BadLinks, NameHash(x.Name)) ||
				slices.Contains(x.BadLinks, NameHash(h.Name)) || slices.Contains(out, h) {
				continue
			}
			zones[h.Zone] = true
			out = append(out, h)
		}
	}
	return out
}

// requestIndirectProbes asks some members to probe the target of a probe that was not answered in time.
func (m *Members) requestIndirectProbes() {
	p := m.probe
	if p == nil || p.asked || p.answered || m.now < p.askAt {
		return
	}
	p.asked = true
	x := m.byName[p.name]
	for _, h := range m.chooseHelpers(x) {
		p.helpers++
		m.send(h.Address, &wire.Message{Kind: wire.Message_PING_REQ, Seq: p.seq, About: p.name, At: x.Address})
	}
}

// probeFailed handles a probe that got no answer, direct or indirect.
func (m *Members) probeFailed(p *probe) {
	x := m.byName[p.name]
	if p.helpers > p.nacks || p.helpers == 0 && m.living > 2 {
		m.adjustHealth(1) // no helper answered either: the fault may be this node's
	}
	if x == nil || m.isolated() {
		m.adjustHealth(1)
		return
	}
	m.suspect(x, m.self.Name, false)
}

// probeAnswered handles an answer to the probe in progress, from its target or through a helper.
func (m *Members) probeAnswered(seq uint64, direct bool) {
	p := m.probe
	if p == nil || p.seq != seq {
		return
	}
	x := m.byName[p.name]
	if direct {
		p.direct = true
	}
	if x.badLink = !p.direct; !p.answered {
		p.answered = true
		m.adjustHealth(-1)
	}
	m.recordAlive(x)
	m.announceBadLinks()
}

// announceBadLinks announces which members this node reaches only through others, at most once in badLinkPeriods.
func (m *Members) announceBadLinks() {
	var bad []uint32
	for _, x := range m.others {
		if x.badLink && !x.State.gone() {
			bad = append(bad, NameHash(x.Name))
		}
	}
	slices.Sort(bad)
	bad = bad[:min(len(bad), maxBadLinks)]
	if m.now >= m.factsAt && !slices.Equal(bad, m.self.BadLinks) {
		m.factsAt = m.now + badLinkPeriods*m.Period
		m.self.BadLinks = bad
		m.announceSelf()
	}
}

// sendNacks answers requests for probes that got no answer in time, in the order of the requests: the same seed gives the
// same messages.
func (m *Members) sendNacks() {
	for _, seq := range slices.Sorted(maps.Keys(m.helping)) {
		h := m.helping[seq]
		if !h.nacked && m.now >= h.nackAt {
			h.nacked = true
			m.helping[seq] = h
			if x := m.byName[h.name]; x != nil && !m.WithoutLifeguard {
				m.send(x.Address, &wire.Message{Kind: wire.Message_NACK, Seq: h.seq, About: h.about})
			}
		}
		if m.now >= h.end {
			delete(m.helping, seq)
		}
	}
}
