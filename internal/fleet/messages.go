package fleet

import (
	"net/netip"

	"gorseledge/internal/membership"
	"gorseledge/internal/membership/wire"
	"gorseledge/internal/peers"
)

// maxGossipLoads is the maximum number of loads in a message. It leaves room for a sender's name of 64 bytes.
const maxGossipLoads = 24

// receiveDatagram handles a datagram. The sender is identified by the name in the message, not by the address from; that
// is only used for the filter of test fleets.
func (f *Fleet) receiveDatagram(datagram []byte, from netip.AddrPort) {
	if f.filter != nil && f.filter(from) {
		return
	}
	message, ok := f.accept(datagram)
	if !ok {
		return
	}
	if message.Kind == wire.Message_WORDS {
		f.receiveLoads(message)
		return
	}
	f.apply(func(now float64) []membership.Effect { return f.core.Receive(now, message) })
	f.wake.set()
}

// accept verifies and counts a datagram. It returns the message and true, or false if the datagram is rejected. Only the
// first rejection for each reason is logged.
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
		f.log.Warn().Str("reason", string(reason)).Msg("datagram rejected; later ones for this reason are not logged")
	}
	return nil, false
}

// receiveLoads passes the loads in a gossip message to the node.
func (f *Fleet) receiveLoads(message *wire.Message) {
	loads := peers.Parse(message.Words)
	if len(loads) > 0 && f.options.GossipReceived != nil {
		f.options.GossipReceived(loads)
	}
}

// apply calls step, which calls a method of the core, with the current time and carries out the effects that it returns.
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
				Msg("leaving the fleet: another process uses this node's name")
			f.closeSocket()
		}
	}
}

// memberChanged passes a change of a member's state to the observer and logs it. The caller holds the lock.
func (f *Fleet) memberChanged(c membership.Changed) {
	if f.observe != nil {
		f.observe(c)
	}
	f.log.Info().Str("member", c.Name).Str("state", c.State.String()).Str("was", c.Previous.String()).Bool("new", c.New).
		Str("by", c.SuspectedBy).Uint64("start", c.Start).Uint32("incarnation", c.Incarnation).Int("living", f.core.LiveCount()).
		Msg("member")
}

// send sends a message to a member's address, or to its replacement in Via. A message that cannot be sent is dropped, like
// one that the network loses. The caller holds the lock.
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
		f.log.Error().Err(err).Int("bytes", len(datagram)).Msg("message not sent: too long or encoding failed")
		return
	}
	f.traffic.sent(message.Kind, len(datagram))
	f.socket.Send([][]byte{datagram}, address)
}

// SendGossip sends loads of hosts that this node has learned to every other live member. Lost messages are not sent again,
// because the other members later learn the loads from their own health checks.
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
