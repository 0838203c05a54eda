package sockets

import (
	"context"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

// maxWaitingGossip is how many rounds of load gossip may wait to be sent; further ones are dropped.
const maxWaitingGossip = 16

// openGossip starts the exchange of load gossip with the peers that the config names, if it names any. A predecessor
// uses the same address, on which this process can listen once the predecessor has ended. The node serves clients before
// that as well.
func (s *server) openGossip(ctx context.Context) {
	if s.config.PeerAddress == "" {
		return
	}
	s.gossip = make(chan []peers.HostLoad, maxWaitingGossip)
	s.group.Go(func() error {
		link := s.listenForPeers(ctx)
		if link == nil {
			return nil
		}
		s.log.Info().Str("peer_addr", s.config.PeerAddress).Int("peers", len(s.config.Peers)).Msg("listening for load gossip")
		s.group.Go(func() error { return s.sendGossip(ctx, link.Send) })
		return link.Serve(ctx, s.gossipReceived)
	})
}

// listenForPeers returns the link to the other nodes once the address is free, or nil if the context ends first.
func (s *server) listenForPeers(ctx context.Context) *peers.Link {
	link, err := peers.Listen(ctx, s.config.PeerAddress, s.config.Peers)
	if err != nil {
		s.log.Warn().Err(err).Msg("cannot listen for load gossip, retrying")
	}
	for err != nil {
		if !pause(ctx, retryPause) {
			return nil
		}
		link, err = peers.Listen(ctx, s.config.PeerAddress, s.config.Peers)
	}
	return link
}

// sendGossip sends the core's load gossip in a goroutine of its own, until the context ends.
func (s *server) sendGossip(ctx context.Context, send func([]peers.HostLoad)) error {
	for {
		select {
		case loads := <-s.gossip:
			send(loads)
		case <-ctx.Done():
			return nil
		}
	}
}

// postGossip queues load gossip to be sent. It drops the gossip if the queue is full: gossip may also be lost on the
// network.
func (s *server) postGossip(loads []peers.HostLoad) {
	select {
	case s.gossip <- loads:
	default: // the queue is full, or the channel is nil because this node sends no gossip
	}
}

// gossipReceived hands another node's load gossip to the loop. It drops the gossip if the loop's queue is full, so that
// gossip does not delay clients.
func (s *server) gossipReceived(loads []peers.HostLoad) {
	select {
	case s.events <- event{input: node.GossipReceived{Loads: loads}}:
	default:
	}
}

// joinFleet makes the node a member of its fleet, if the config names a fleet file. The node serves even if joining
// fails.
func (s *server) joinFleet(ctx context.Context, member membership, start node.Start) {
	if member.open == nil {
		return
	}
	s.fleet = member.open(view.Options{
		Name:            s.config.Name,
		Build:           Version(),
		Seed:            start.Settings.Seed,
		ConfiguredNodes: start.Settings.Nodes,
		Log:             s.log,
		NodesChanged:    func(nodes int) { s.send(node.NodesChanged{Nodes: nodes}) },
		GossipReceived:  s.gossipReceived,
		Install:         s.install,
		InForce:         s.core.Revision(),
		Ignored:         s.core.IgnoredKeys(),
		Successor:       s.upgrade.predecessor != nil && s.upgrade.inheritsRevision(),
	})
	s.group.Go(func() error { return s.fleet.Run(ctx) })
	if s.config.PeerAddress != "" || !start.Settings.LoadGossip {
		return
	}
	s.gossip = make(chan []peers.HostLoad, maxWaitingGossip) // the config names no peers: the members get the gossip
	s.group.Go(func() error { return s.sendGossip(ctx, s.fleet.SendGossip) })
}
