package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const maxHelping = 64 // concurrent probes for other members

// send sends a message with as much news as fits, the least sent first.
func (m *Members) send(to string, msg *wire.Message) {
	if to == "" || to == m.self.Address {
		return
	}
	msg.From, msg.Start = m.self.Name, m.self.Start
	left := m.MaxMessageBytes - proto.Size(msg)
	slices.SortStableFunc(m.news, func(a, b news) int { return cmp.Compare(a.sent, b.sent) })
	times := int(math.Ceil(spreadFactor * math.Log10(float64(m.living+1))))
	kept := m.news[:0]
	for i, n := range m.news {
		x := m.find(n.name)
		if x == nil {
			continue
		}
		u := x.update()
		if size := proto.Size(u) + 3; size <= left {
			left -= size
			msg.Updates = append(msg.Updates, u)
			n.sent++
		} else if i > 8 {
			kept = append(kept, m.news[i:]...)
			break
		}
		if n.sent < times && m.now-n.at < newsPeriods*m.Period {
			kept = append(kept, n)
		}
	}
	m.news = kept
	m.effects = append(m.effects, Send{to, msg})
}

// Receive handles a message and returns the effects, which are valid until the next call. The caller has verified that
// the message is authentic and not a replay.
func (m *Members) Receive(now float64, msg *wire.Message) []Effect {
	m.advanceClock(now)
	if m.left || msg.From == "" || msg.From == m.self.Name && msg.Start == m.self.Start {
		return m.effects
	}
	if msg.From == m.self.Name { // another process of this node's name
		for _, u := range msg.Updates {
			if u.Name == m.self.Name {
				m.mergeAboutSelf(u)
			}
		}
		if !m.left && msg.Start < m.self.Start && msg.At != "" && msg.At != m.self.Address && m.messagesLeft > 0 {
			m.messagesLeft-- // tells the older process that it is replaced
			m.sendMember(msg.At, m.self)
		}
		return m.effects
	}
	m.heardAt = m.now
	for _, u := range msg.Updates[:min(len(msg.Updates), 64)] {
		m.mergeUpdate(u, msg.From)
	}
	x := m.byName[msg.From]
	if x != nil && msg.Start == x.Start {
		m.recordAlive(x)
	}
	if m.left {
		return m.effects
	}
	m.correctSender(x, msg)
	switch msg.Kind {
	case wire.Message_PING:
		m.answerPing(x, msg)
	case wire.Message_ACK:
		if h, ok := m.helping[msg.Seq]; ok && h.about == msg.From {
			if asker := m.byName[h.name]; asker != nil {
				m.send(asker.Address, &wire.Message{Kind: wire.Message_ACK, Seq: h.seq, About: h.about})
			}
			delete(m.helping, msg.Seq)
		} else if m.probe != nil && m.probe.name == msg.From {
			m.probeAnswered(msg.Seq, true)
		} else if m.probe != nil && m.probe.name == msg.About {
			m.probeAnswered(msg.Seq, false)
		}
	case wire.Message_NACK:
		if p := m.probe; p != nil && p.seq == msg.Seq && p.name == msg.About {
			p.nacks++
		}
	case wire.Message_PING_REQ:
		m.probeForOther(x, msg)
	case wire.Message_STATE:
		m.receiveState(x, msg)
	case wire.Message_JOIN:
		if x != nil {
			m.sendState(x.Address, true)
		}
	}
	return m.effects
}

// correctSender tells the sender of a message how this node sees it where that is not alive, or that a later process has
// its name. The sender can refute it.
func (m *Members) correctSender(x *member, msg *wire.Message) {
	if x == nil || m.now < x.correctAt {
		return
	}
	to := x.Address
	if msg.Start < x.Start {
		to = msg.At
	} else if x.State == Alive {
		return
	}
	x.correctAt = m.now + m.Period/2
	m.sendMember(to, x)
}

// answerPing answers a ping. One for another name was sent to a wrong address and is ignored.
func (m *Members) answerPing(x *member, msg *wire.Message) {
	if msg.About != m.self.Name {
		return
	}
	to := msg.At
	if x != nil && msg.Start == x.Start {
		to = x.Address
	}
	m.send(to, &wire.Message{Kind: wire.Message_ACK, Seq: msg.Seq})
}

// probeForOther probes a member at the request of another member.
func (m *Members) probeForOther(x *member, msg *wire.Message) {
	if x == nil || len(m.helping) >= maxHelping {
		return
	}
	about := m.byName[msg.About]
	if about == nil {
		return
	}
	m.seq++
	m.helping[m.seq] = helping{name: msg.From, about: msg.About, seq: msg.Seq, nackAt: m.now + m.ProbeTimeout,
		end: m.now + m.Period*float64(1+maxHealthScore)}
	m.ping(about, m.seq)
}

// exchangeState compares the whole state with a random member, and greets an address of the config and a gone member.
// This guards against two halves of a fleet that hold each other for dead for good.
func (m *Members) exchangeState() {
	if m.now < m.exchangeAt {
		return
	}
	m.exchangeAt = m.now + exchangePeriods*m.Period*(0.75+0.5*m.rand.Float64())
	alone := m.living == 1
	if alone {
		m.exchangeAt = m.now + m.Period
	}
	var gone []*member
	join := slices.DeleteFunc(slices.Clone(m.Join), func(at string) bool { return at == m.self.Address })
	for _, x := range m.others {
		if x.State.gone() {
			gone = append(gone, x)
		} else if i := slices.Index(join, x.Address); i >= 0 {
			join = slices.Delete(join, i, i+1)
		}
	}
	slices.SortFunc(gone, func(a, b *member) int { return cmp.Compare(a.Address, b.Address) })
	if len(join) > 0 {
		m.sendJoin(join[m.rand.IntN(len(join))])
		if alone { // the first address may be of a node as new as this one
			m.sendJoin(join[m.rand.IntN(len(join))])
		}
	}
	// The gone member is told its state, as it may receive messages while its own are lost. This guards against
	// such a member declaring others dead: in a fleet of 300, one that was not told did so twice within two minutes.
	if len(gone) > 0 {
		x := gone[m.rand.IntN(len(gone))]
		m.sendJoin(x.Address, x.update())
	}
	for _, x := range m.randomAlive(1, nil) {
		m.send(x.Address, &wire.Message{Kind: wire.Message_STATE, Hash: m.hash(), Again: true})
	}
}

// sendJoin asks the member at an address for its state, and sends it this node's and the given updates.
func (m *Members) sendJoin(at string, more ...*wire.Update) {
	m.send(at, &wire.Message{Kind: wire.Message_JOIN, At: m.self.Address, Updates: append(more, m.self.update())})
}

// sendMember sends what is known of one member.
func (m *Members) sendMember(to string, x *member) {
	m.send(to, &wire.Message{Kind: wire.Message_STATE, Updates: []*wire.Update{x.update()}})
}

// receiveState answers the state of another member with that of this node, where the two differ.
func (m *Members) receiveState(x *member, msg *wire.Message) {
	if x != nil && msg.Again && msg.Hash != m.hash() {
		m.sendState(x.Address, len(msg.Updates) == 0)
	}
}

// sendState sends the whole state, or as much of it as this period allows, in a random order with this node first. Where
// again is true, the first message asks for an answer.
func (m *Members) sendState(to string, again bool) {
	all, hash := append([]*member{m.self}, m.others...), m.hash()
	m.rand.Shuffle(len(all)-1, func(i, j int) { all[i+1], all[j+1] = all[j+1], all[i+1] })
	for len(all) > 0 && m.messagesLeft > 0 {
		m.messagesLeft--
		msg := &wire.Message{Kind: wire.Message_STATE, From: m.self.Name, Start: m.self.Start, Hash: hash, Again: again}
		size := proto.Size(msg)
		for len(all) > 0 {
			u := all[0].update()
			if size += proto.Size(u) + 3; size > m.MaxMessageBytes && len(msg.Updates) > 0 {
				break
			}
			msg.Updates = append(msg.Updates, u)
			all = all[1:]
		}
		again = false // only the first message asks
		m.effects = append(m.effects, Send{to, msg})
	}
}
