package membership

import (
	"maps"
	"slices"

	"gorseledge/internal/membership/wire"
)

// probe is the one that is under way.
type probe struct {
	name            string
	seq             uint64
	askAt           float64 // when others are asked to help
	asked, answered bool
	direct          bool
	helpers, nacks  int
}

// helping is a probe for another member.
type helping struct {
	name, about string // who asked, and whom for
	seq         uint64 // of its probe
	nackAt, end float64
	nacked      bool
}

// slow is by how much this node's times are longer, as it doubts itself.
func (m *Members) slow() float64 { return float64(1 + m.doubt) }

// round ends the probe under way and begins the next.
func (m *Members) round() {
	m.roundAt = m.now + m.Period*m.slow()
	m.pieces = mostPieces
	if p := m.probe; p != nil && !p.answered {
		m.failed(p)
	}
	m.probe = nil
	m.judge()
	m.exchange()
	x := m.target()
	if x == nil {
		return
	}
	m.seq++
	m.probe = &probe{name: x.Name, seq: m.seq, askAt: m.now + m.Timeout*m.slow()}
	m.ping(x, m.seq)
}

func (m *Members) ping(x *member, seq uint64) {
	msg := &wire.Message{Kind: wire.Message_PING, Seq: seq, About: x.Name, At: m.self.Address}
	if x.State != Alive { // it has to know, to answer for itself (Lifeguard's buddy system)
		msg.Updates = append(msg.Updates, x.update())
	}
	m.send(x.Address, msg)
}

// target is whom to probe next: who is under a suspicion that this node wants to see for itself, else in
// turn.
func (m *Members) target() *member {
	for len(m.verify) > 0 {
		x := m.byName[m.verify[0]]
		m.verify = m.verify[1:]
		if x != nil && x.State == Suspect {
			return x
		}
	}
	for range m.others {
		if m.next >= len(m.others) {
			m.next = 0
			m.rand.Shuffle(len(m.others), func(i, j int) { m.others[i], m.others[j] = m.others[j], m.others[i] })
		}
		x := m.others[m.next]
		m.next++
		if !x.State.gone() {
			return x
		}
	}
	return nil
}

// some draws members that live, without one.
func (m *Members) some(n int, without *member) (out []*member) {
	for _, i := range m.rand.Perm(len(m.others)) {
		if x := m.others[i]; x != without && x.State == Alive {
			if out = append(out, x); len(out) == n {
				break
			}
		}
	}
	return out
}

// helpers draws members that are to probe another: of several zones, and none that is known not to reach it.
func (m *Members) helpers(x *member) (out []*member) {
	drawn := m.some(len(m.others), x)
	zones := map[string]bool{}
	for _, fresh := range [2]bool{true, false} {
		for _, h := range drawn {
			if len(out) == m.Helpers {
				return out
			}
			if zones[h.Zone] == fresh || h.badLink || slices.Contains(h.Bad, Number(x.Name)) ||
				slices.Contains(x.Bad, Number(h.Name)) || slices.Contains(out, h) {
				continue
			}
			zones[h.Zone] = true
			out = append(out, h)
		}
	}
	return out
}

// askOthers asks some members to probe whom this node could not reach in time.
func (m *Members) askOthers() {
	p := m.probe
	if p == nil || p.asked || p.answered || m.now < p.askAt {
		return
	}
	p.asked = true
	x := m.byName[p.name]
	for _, h := range m.helpers(x) {
		p.helpers++
		m.send(h.Address, &wire.Message{Kind: wire.Message_PING_REQ, Seq: p.seq, About: p.name, At: x.Address})
	}
}

// failed takes a probe that nobody answered.
func (m *Members) failed(p *probe) {
	x := m.byName[p.name]
	if p.helpers > p.nacks || p.helpers == 0 && m.living > 2 {
		m.doubts(1) // those who were to help did not answer either: the fault may be here
	}
	if x == nil || m.deaf() {
		m.doubts(1)
		return
	}
	m.suspect(x, m.self.Name, false)
}

// answered takes an answer to the probe under way, direct or by way of another.
func (m *Members) answered(seq uint64, direct bool) {
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
		m.doubts(-1)
	}
	m.proved(x)
	m.tellBad()
}

// tellBad tells the others which links of this node's are bad, not too often.
func (m *Members) tellBad() {
	var bad []uint32
	for _, x := range m.others {
		if x.badLink && !x.State.gone() {
			bad = append(bad, Number(x.Name))
		}
	}
	slices.Sort(bad)
	bad = bad[:min(len(bad), mostBad)]
	if m.now >= m.factsAt && !slices.Equal(bad, m.self.Bad) {
		m.factsAt = m.now + factsPeriods*m.Period
		m.self.Bad = bad
		m.tellSelf()
	}
}

// help says no for those who did not answer a probe made for another, in the order in which it was asked: the same
// seed is to give the same messages.
func (m *Members) help() {
	for _, seq := range slices.Sorted(maps.Keys(m.helping)) {
		h := m.helping[seq]
		if !h.nacked && m.now >= h.nackAt {
			h.nacked = true
			m.helping[seq] = h
			if x := m.byName[h.name]; x != nil && !m.Plain {
				m.send(x.Address, &wire.Message{Kind: wire.Message_NACK, Seq: h.seq, About: h.about})
			}
		}
		if m.now >= h.end {
			delete(m.helping, seq)
		}
	}
}
