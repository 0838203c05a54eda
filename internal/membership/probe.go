package membership

import "gorseledge/internal/membership/wire"

// probe is the state of the probe that this node started in the current period.
type probe struct {
	target           string  // name of the probed member
	sequence         uint64  // sequence number of the ping
	indirectAt       float64 // time at which other members are asked to probe the target, in seconds
	indirectSent     bool    // whether other members were asked
	answered         bool    // whether an answer arrived, directly or through another member
	answeredDirectly bool    // whether one of the answers came from the target itself
	requests         int     // number of members that were asked to probe the target
	nacks            int     // number of those members that reported that they got no answer either
}

// startProbe starts a probe of the next member, if there is one.
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

// ping sends a ping to a member. If this node considers the member suspect, dead or left, the ping reports that state, so
// that the member can refute it (Lifeguard's buddy system).
func (m *Members) ping(peer *member, sequence uint64) {
	msg := &wire.Message{Kind: wire.Message_PING, Seq: sequence, About: peer.Name, At: m.self.Address}
	if peer.State != Alive {
		msg.Updates = append(msg.Updates, peer.update())
	}
	m.send(peer.Address, msg)
}

// nextProbeTarget returns the member to probe next: a suspect from the queue of priority probes, or else the next member
// of the round that is neither dead nor left. It returns nil if there is no such member.
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

// nextPriorityProbe removes and returns the first member in the queue of priority probes that is still suspect. It returns
// nil if there is none.
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

// randomAlive returns up to count random members that are alive. It returns neither the excluded member nor this node.
func (m *Members) randomAlive(count int, excluded *member) (alive []*member) {
	for _, i := range m.random.Perm(len(m.others)) {
		peer := m.others[i]
		if peer == excluded || peer.State != Alive {
			continue
		}
		alive = append(alive, peer)
		if len(alive) == count {
			break
		}
	}
	return alive
}

// probeFailed handles a probe that got no direct or indirect answer. It suspects the target, unless this node is isolated.
//
// The local health score (Lifeguard; higher is worse) rises by 1 if a member that was asked to probe the target sent no
// nack, or if no member was asked although the fleet has a third one besides this node and the target. It rises by 1 more
// if this node is isolated or does not know the target.
func (m *Members) probeFailed(p *probe) {
	peer := m.byName[p.target]
	noHelperAsked := p.requests == 0 && m.liveCount > 2
	if noHelperAsked || p.requests > p.nacks { // a missing nack means that this node's own links may be at fault
		m.adjustHealth(1)
	}
	if peer == nil || m.isolated() {
		m.adjustHealth(1)
		return
	}
	m.suspect(peer, m.self.Name, false)
}

// probeAnswered handles an answer to this node's own probe in progress, from the target itself (direct) or forwarded by
// another member. The first answer lowers the local health score by 1. The link to the target counts as bad unless the
// target itself answered.
func (m *Members) probeAnswered(sequence uint64, direct bool) {
	p := m.probe
	if p == nil || p.sequence != sequence {
		return
	}
	peer := m.byName[p.target] // never nil: startProbe chose a known member, and members are not removed
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
