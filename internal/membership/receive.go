package membership

import "gorseledge/internal/membership/wire"

// Receive handles a message and returns the effects. The returned slice is valid until the next call of a method of m.
// The caller must have verified that the message is authentic and not a replay.
func (m *Members) Receive(now float64, msg *wire.Message) []Effect {
	m.advanceClock(now)
	if m.left || msg.From == "" {
		return m.effects
	}
	if msg.From == m.self.Name {
		m.receiveFromSameName(msg)
		return m.effects
	}
	m.lastReceivedAt = m.now
	for _, u := range msg.Updates[:min(len(msg.Updates), maxUpdates)] {
		m.mergeUpdate(u, msg.From)
	}
	sender := m.byName[msg.From] // nil if the sender is not known
	if sender != nil && msg.Start == sender.Start {
		m.recordAlive(sender)
	}
	if m.left { // an update reported a later process with this node's name
		return m.effects
	}
	m.correctSender(sender, msg)
	m.dispatch(sender, msg)
	return m.effects
}

// receiveFromSameName handles a message whose sender has this node's name. If the sender is an earlier process at another
// address, this node notifies it that it is replaced. This process's own messages are ignored.
func (m *Members) receiveFromSameName(msg *wire.Message) {
	if msg.Start == m.self.Start {
		return
	}
	for _, u := range msg.Updates {
		if u.Name == m.self.Name {
			m.mergeSelfUpdate(u)
		}
	}
	if m.left || msg.Start >= m.self.Start {
		return
	}
	if msg.At == "" || msg.At == m.self.Address || m.stateMessageQuota <= 0 {
		return
	}
	m.stateMessageQuota--
	m.sendMember(msg.At, m.self)
}

// dispatch handles a message by its kind, after its updates were merged. The sender is nil if it is not known. Kinds that
// other packages handle, or that this version does not know, are ignored.
func (m *Members) dispatch(sender *member, msg *wire.Message) {
	switch msg.Kind {
	case wire.Message_PING:
		m.answerPing(sender, msg)
	case wire.Message_ACK:
		m.receiveAck(msg)
	case wire.Message_NACK:
		m.receiveNack(msg)
	case wire.Message_PING_REQ:
		m.startIndirectProbe(sender, msg)
	case wire.Message_STATE:
		m.receiveState(sender, msg)
	case wire.Message_JOIN:
		if sender != nil {
			m.sendState(sender.Address, true)
		}
	}
}

// correctSender notifies the sender of a message if this node does not consider it alive, so that it can refute that, or
// if a process with a later start uses its name, so that it leaves.
func (m *Members) correctSender(sender *member, msg *wire.Message) {
	if sender == nil || m.now < sender.nextCorrectionAt {
		return
	}
	replaced := msg.Start < sender.Start
	if !replaced && sender.State == Alive {
		return
	}
	to := sender.Address
	if replaced {
		to = msg.At
	}
	sender.nextCorrectionAt = m.now + m.config.Period*correctionPeriods
	m.sendMember(to, sender)
}

// answerPing answers a ping. A ping for another name was sent to the wrong address and is ignored.
func (m *Members) answerPing(sender *member, msg *wire.Message) {
	if msg.About != m.self.Name {
		return
	}
	to := msg.At
	if sender != nil && msg.Start == sender.Start {
		to = sender.Address
	}
	m.send(to, &wire.Message{Kind: wire.Message_ACK, Seq: msg.Seq})
}

// receiveAck handles the answer to a ping. The answer to an indirect probe is forwarded to the member that requested it.
// Any other answer belongs to this node's own probe in progress and comes from its target or through another member.
func (m *Members) receiveAck(msg *wire.Message) {
	if request, found := m.indirectProbes[msg.Seq]; found && request.target == msg.From {
		m.forwardAck(msg.Seq, request)
		return
	}
	if m.probe == nil {
		return
	}
	switch m.probe.target {
	case msg.From:
		m.probeAnswered(msg.Seq, true)
	case msg.About:
		m.probeAnswered(msg.Seq, false)
	}
}

// receiveNack counts the nack of a member that probed the target of this node's own probe and got no answer either.
func (m *Members) receiveNack(msg *wire.Message) {
	p := m.probe
	if p != nil && p.sequence == msg.Seq && p.target == msg.About {
		p.nacks++
	}
}
