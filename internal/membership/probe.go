package membership

import "gorseledge/internal/membership/wire"

// probe is the own probe in progress.
type probe struct {
	target           string
	sequence         uint64
	indirectAt       float64 // when other members are asked to probe the target
	indirectSent     bool    // they were asked
	answered         bool    // directly, or through another member
	answeredDirectly bool
	requests         int // members that were asked
	nacks            int // of them, those that got no answer either
}

// startProbe probes the next member, where there is one.
func (m *Members) startProbe() {
	peer := m.nextProbeTarget()
	if peer == nil {
		return
	}
	m.sequence++
	m.probe = &probe{
		target:     peer.Name,
		sequence:   m.sequence,
		indirectAt: m.now + m.config.ProbeTimeout*m.timeoutFactor(),
	}
	m.ping(peer, m.sequence)
}

// ping sends a ping to a member. A member that is not alive at this node gets this node's view of it, to be able to
// refute it (Lifeguard's buddy system).
func (m *Members) ping(peer *member, sequence uint64) {
	msg := &wire.Message{Kind: wire.Message_PING, Seq: sequence, About: peer.Name, At: m.self.Address}
	if peer.State != Alive {
		msg.Updates = append(msg.Updates, peer.update())
	}
	m.send(peer.Address, msg)
}

// nextProbeTarget returns the member to probe next: a suspect that this node verifies itself, or the next of the round;
// nil where there is none.
func (m *Members) nextProbeTarget() *member {
	if suspect := m.nextPriorityProbe(); suspect != nil {
		return suspect
	}
	for range m.others {
		if m.nextTarget >= len(m.others) {
			m.startRound()
		}
		peer := m.others[m.nextTarget]
		m.nextTarget++
		if !peer.State.Gone() {
			return peer
		}
	}
	return nil
}

// nextPriorityProbe returns the first member in the queue of priority probes that is still suspect; nil for none.
func (m *Members) nextPriorityProbe() *member {
	for len(m.priorityProbes) > 0 {
		peer := m.byName[m.priorityProbes[0]]
		m.priorityProbes = m.priorityProbes[1:]
		if peer != nil && peer.State == Suspect {
			return peer
		}
	}
	return nil
}

// startRound starts a new round of probes, in a new random order.
func (m *Members) startRound() {
	m.nextTarget = 0
	m.random.Shuffle(len(m.others), func(i, j int) { m.others[i], m.others[j] = m.others[j], m.others[i] })
}

// randomAlive returns up to count random members that are alive, except one.
func (m *Members) randomAlive(count int, except *member) (alive []*member) {
	for _, i := range m.random.Perm(len(m.others)) {
		peer := m.others[i]
		if peer == except || peer.State != Alive {
			continue
		}
		alive = append(alive, peer)
		if len(alive) == count {
			break
		}
	}
	return alive
}

// probeFailed handles a probe that got no answer, direct or indirect. The target is suspected, unless this node may be at
// fault itself.
func (m *Members) probeFailed(p *probe) {
	peer := m.byName[p.target]
	noHelp := p.requests == 0 && m.liveCount > 2
	if noHelp || p.requests > p.nacks { // members that were asked are silent as well: the fault may be this node's
		m.adjustHealth(1)
	}
	if peer == nil || m.isolated() {
		m.adjustHealth(1)
		return
	}
	m.suspect(peer, m.self.Name, false)
}

// probeAnswered handles an answer to the own probe in progress, from its target or through another member.
func (m *Members) probeAnswered(sequence uint64, direct bool) {
	p := m.probe
	if p == nil || p.sequence != sequence {
		return
	}
	peer := m.byName[p.target]
	if direct {
		p.answeredDirectly = true
	}
	peer.badLink = !p.answeredDirectly
	if !p.answered {
		p.answered = true
		m.adjustHealth(-1)
	}
	m.recordAlive(peer)
	m.announceBadLinks()
}
