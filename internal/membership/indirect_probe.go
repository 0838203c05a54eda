package membership

import (
	"maps"
	"slices"

	"gorseledge/internal/membership/wire"
)

// indirectProbe is a probe at the request of another member.
type indirectProbe struct {
	requester         string  // name of the member that requested the probe
	target            string  // name of the probed member
	requesterSequence uint64  // sequence number of the requester's probe
	nackAt            float64 // time at which the requester is notified that there was no answer, in seconds
	nackSent          bool
	expiresAt         float64 // time after which an answer is no longer forwarded, in seconds
}

// requestIndirectProbes asks some members to probe the target of this node's own probe if it did not answer in time.
func (m *Members) requestIndirectProbes() {
	p := m.probe
	if p == nil || p.indirectSent || p.answered || m.now < p.indirectAt {
		return
	}
	p.indirectSent = true
	target := m.byName[p.target]
	for _, helper := range m.chooseHelpers(target) {
		p.requests++
		m.send(helper.Address, &wire.Message{
			Kind:  wire.Message_PING_REQ,
			Seq:   p.sequence,
			About: p.target,
			At:    target.Address,
		})
	}
}

// chooseHelpers returns random members to probe a target for this node. It prefers members of different zones, and
// excludes members with a known bad link to the target or to this node.
func (m *Members) chooseHelpers(target *member) (helpers []*member) {
	candidates := m.randomAlive(len(m.others), target)
	usedZones := map[string]bool{}
	for _, needsNewZone := range []bool{true, false} {
		for _, candidate := range candidates {
			if len(helpers) == m.config.IndirectProbes {
				return helpers
			}
			if usedZones[candidate.Zone] == needsNewZone || badLinkBetween(candidate, target) {
				continue
			}
			if slices.Contains(helpers, candidate) {
				continue
			}
			usedZones[candidate.Zone] = true
			helpers = append(helpers, candidate)
		}
	}
	return helpers
}

// badLinkBetween reports whether the helper or the target announced a bad link to the other, or whether this node reaches
// the helper only through other members.
func badLinkBetween(helper, target *member) bool {
	return helper.badLink || slices.Contains(helper.BadLinks, NameHash(target.Name)) ||
		slices.Contains(target.BadLinks, NameHash(helper.Name))
}

// startIndirectProbe probes a member at the request of another member. The request is ignored if the requester or the
// target is not known, or if maxIndirectProbes are in progress.
func (m *Members) startIndirectProbe(requester *member, msg *wire.Message) {
	if requester == nil || len(m.indirectProbes) >= maxIndirectProbes {
		return
	}
	target := m.byName[msg.About]
	if target == nil {
		return
	}
	m.sequence++
	m.indirectProbes[m.sequence] = indirectProbe{
		requester:         msg.From,
		target:            msg.About,
		requesterSequence: msg.Seq,
		nackAt:            m.now + m.config.ProbeTimeout,
		expiresAt:         m.now + m.config.Period*float64(1+maxHealthScore),
	}
	m.ping(target, m.sequence)
}

// forwardAck forwards the answer to an indirect probe to the member that requested it.
func (m *Members) forwardAck(sequence uint64, request indirectProbe) {
	if requester := m.byName[request.requester]; requester != nil {
		m.send(requester.Address, &wire.Message{Kind: wire.Message_ACK, Seq: request.requesterSequence, About: request.target})
	}
	delete(m.indirectProbes, sequence)
}

// sendNacks sends a nack to the requester of each indirect probe that got no answer in time, and removes expired probes.
// It processes the probes in the order of the requests, so that the same seed leads to the same messages.
func (m *Members) sendNacks() {
	for _, sequence := range slices.Sorted(maps.Keys(m.indirectProbes)) {
		request := m.indirectProbes[sequence]
		if !request.nackSent && m.now >= request.nackAt {
			request.nackSent = true
			m.indirectProbes[sequence] = request
			m.sendNack(request)
		}
		if m.now >= request.expiresAt {
			delete(m.indirectProbes, sequence)
		}
	}
}

// sendNack notifies the requester of an indirect probe that the target did not answer this node. Nacks are an extension of
// Lifeguard.
func (m *Members) sendNack(request indirectProbe) {
	requester := m.byName[request.requester]
	if requester == nil || m.config.WithoutLifeguard {
		return
	}
	m.send(requester.Address, &wire.Message{Kind: wire.Message_NACK, Seq: request.requesterSequence, About: request.target})
}
