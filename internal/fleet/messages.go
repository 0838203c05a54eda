package fleet

import (
	"net/netip"

	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
	"gorseledge/internal/peers"
)

// maxGossipLoads is the number of loads in a message: a sender's name of 64 bytes fits beside them.
const maxGossipLoads = 24

// receiveDatagram handles a datagram. The sender's identity is that in the message, not the address that it came from.
func (f *Fleet) receiveDatagram(datagram []byte, from netip.AddrPort) {
	if f.filter != nil && f.filter(from) {
		return
	}
	message, accepted := f.accept(datagram)
	if !accepted {
		return
	}
	if message.Kind == wire.Message_WORDS {
		f.receiveLoads(message)
		return
	}
	f.apply(func(now float64) []membership.Effect { return f.core.Receive(now, message) })
	f.wake.set()
}

// accept verifies a datagram, counts it and returns its message; false where it is rejected. The log has the first
// rejection of each reason.
func (f *Fleet) accept(datagram []byte) (*wire.Message, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	message, reason := f.authenticator.verify(datagram)
	if reason == accepted {
		f.traffic.received(message.Kind, len(datagram))
		return message, true
	}
	f.rejected[reason]++
	if f.rejected[reason] == 1 {
		f.log.Warn().Str("reason", string(reason)).Msg("message rejected")
	}
	return nil, false
}

// receiveLoads passes load gossip on to the node.
func (f *Fleet) receiveLoads(message *wire.Message) {
	loads := peers.Parse(message.Words)
	if len(loads) > 0 && f.options.GossipReceived != nil {
		f.options.GossipReceived(loads)
	}
}

// apply has the core take a step at the present time and carries out its effects.
func (f *Fleet) apply(step func(now float64) []membership.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range step(f.now()) {
		switch e := e.(type) {
		case membership.Send:
			f.send(e.To, e.Message)
		case membership.Changed:
			f.memberChanged(e)
		case membership.Replaced:
			f.left = true
			f.log.Error().Str("address", e.Successor.Address).
				Msg("another process has this node's name: this one leaves the fleet")
			f.closeSocket()
		}
	}
}

// memberChanged logs a change of a member's state and passes it to the observer. The caller holds the lock.
func (f *Fleet) memberChanged(c membership.Changed) {
	if f.observe != nil {
		f.observe(c)
	}
	f.log.Info().Str("member", c.Name).Str("state", c.State.String()).Str("was", c.Previous.String()).Bool("new", c.New).
		Str("by", c.SuspectedBy).Uint64("start", c.Start).Uint32("incarnation", c.Incarnation).Int("living", f.core.LiveCount()).
		Msg("member")
}

// send sends a message to a member's address, or to the one at which this node reaches it. A message that cannot be sent
// is lost, as one that the network loses. The caller holds the lock.
func (f *Fleet) send(to string, message *wire.Message) {
	if via, found := f.config.Via[to]; found {
		to = via
	}
	address, err := peers.ParseAddress(to)
	if err != nil || f.socket == nil {
		return
	}
	if f.filter != nil && f.filter(address) {
		return
	}
	datagram, err := f.authenticator.sign(message)
	if err != nil || len(datagram) > maxDatagramBytes {
		f.log.Error().Err(err).Int("bytes", len(datagram)).Msg("message not sent")
		return
	}
	f.traffic.sent(message.Kind, len(datagram))
	f.socket.Send([][]byte{datagram}, address)
}

// SendGossip sends loads of hosts that this node has learned to every other live member. Lost messages are not repeated:
// the others learn the same from their own health checks, later.
func (f *Fleet) SendGossip(loads []peers.HostLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.core.Self()
	all := f.core.All()
	for len(loads) > 0 {
		count := min(len(loads), maxGossipLoads)
		text := peers.Append(nil, loads[:count])
		loads = loads[count:]
		for _, m := range all {
			if m.Name == self.Name || m.State.Gone() {
				continue
			}
			f.send(m.Address, &wire.Message{Kind: wire.Message_WORDS, From: self.Name, Start: self.Start, Words: text})
		}
	}
}
