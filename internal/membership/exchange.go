package membership

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

// exchangeState starts an exchange of the full state with a random live member, if that is due. It also sends a join
// request to a configured address and to a member that is dead or has left. Otherwise two halves of a fleet that were
// partitioned would consider each other dead for ever.
func (m *Members) exchangeState() {
	if m.now < m.nextExchangeAt {
		return
	}
	m.nextExchangeAt = m.now + exchangePeriods*m.config.Period*(exchangeMin+exchangeSpan*m.random.Float64())
	alone := m.liveCount == 1
	if alone {
		m.nextExchangeAt = m.now + m.config.Period
	}
	m.joinConfigured(alone)
	m.joinGone()
	for _, peer := range m.randomAlive(1, nil) {
		m.send(peer.Address, &wire.Message{Kind: wire.Message_STATE, Hash: m.Digest(), Again: true})
	}
}

// joinConfigured sends a join request to a random configured address at which no live member is known. A node that knows
// no live member sends two, because the first address may belong to a node that has just started as well.
func (m *Members) joinConfigured(alone bool) {
	addresses := m.unknownJoinAddresses()
	if len(addresses) == 0 {
		return
	}
	m.sendJoin(addresses[m.random.IntN(len(addresses))])
	if alone {
		m.sendJoin(addresses[m.random.IntN(len(addresses))])
	}
}

// unknownJoinAddresses returns the configured addresses that belong neither to this node nor to a live member.
func (m *Members) unknownJoinAddresses() []string {
	addresses := slices.Clone(m.config.Join)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == m.self.Address })
	for _, peer := range m.others {
		if peer.State.Gone() {
			continue
		}
		if i := slices.Index(addresses, peer.Address); i >= 0 {
			addresses = slices.Delete(addresses, i, i+1)
		}
	}
	return addresses
}

// joinGone sends a join request with this node's view of the receiver to a random member that is dead or has left. If that
// member still runs and receives messages, but its own messages are lost, it learns from the view that others consider it
// dead; otherwise it would declare them dead.
func (m *Members) joinGone() {
	var gone []*member
	for _, peer := range m.others {
		if peer.State.Gone() {
			gone = append(gone, peer)
		}
	}
	if len(gone) == 0 {
		return
	}
	slices.SortFunc(gone, func(a, b *member) int { return cmp.Compare(a.Address, b.Address) })
	peer := gone[m.random.IntN(len(gone))]
	m.sendJoin(peer.Address, peer.update())
}

// sendJoin asks the member at an address for its state, and sends it the given updates and one about this node.
func (m *Members) sendJoin(address string, updates ...*wire.Update) {
	m.send(address, &wire.Message{
		Kind:    wire.Message_JOIN,
		At:      m.self.Address,
		Updates: append(updates, m.self.update()),
	})
}

// sendMember sends this node's view of one member to an address.
func (m *Members) sendMember(to string, peer *member) {
	m.send(to, &wire.Message{Kind: wire.Message_STATE, Updates: []*wire.Update{peer.update()}})
}

// receiveState answers a digest or the state of another member with this node's state, if the sender asks for it and the
// digests differ. The answer to a message with only a digest also asks for the sender's state.
func (m *Members) receiveState(sender *member, msg *wire.Message) {
	if sender == nil || !msg.Again || msg.Hash == m.Digest() {
		return
	}
	m.sendState(sender.Address, len(msg.Updates) == 0)
}

// sendState sends the full state, up to the remaining quota of state messages of this period. This node comes first, the
// other members follow in random order. If requestState is true, the first message asks for the receiver's state.
func (m *Members) sendState(to string, requestState bool) {
	remaining := append([]*member{m.self}, m.others...)
	digest := m.Digest()
	m.random.Shuffle(len(remaining)-1, func(i, j int) {
		remaining[i+1], remaining[j+1] = remaining[j+1], remaining[i+1]
	})
	for len(remaining) > 0 && m.stateMessageQuota > 0 {
		m.stateMessageQuota--
		msg := &wire.Message{
			Kind:  wire.Message_STATE,
			From:  m.self.Name,
			Start: m.self.Start,
			Hash:  digest,
			Again: requestState,
		}
		remaining = m.fillState(msg, remaining)
		requestState = false // only the first message asks
		m.effects = append(m.effects, Send{To: to, Message: msg})
	}
}

// fillState adds updates about as many members to a message as fit, but at least one, and returns the remaining members.
func (m *Members) fillState(msg *wire.Message, members []*member) []*member {
	size := proto.Size(msg)
	for i, peer := range members {
		u := peer.update()
		size += proto.Size(u) + updateOverheadBytes
		if size > m.config.MaxMessageBytes && len(msg.Updates) > 0 {
			return members[i:]
		}
		msg.Updates = append(msg.Updates, u)
	}
	return nil
}
