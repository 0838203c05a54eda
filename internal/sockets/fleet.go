package sockets

import (
	"context"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

// maxWaitingGossip is how many rounds of load gossip may wait for the network; further ones are lost.
const maxWaitingGossip = 16

// openGossip opens the address for messages among the nodes that the config names, if it names any. A predecessor has
// the same address: this process gets it when that one is gone. The node serves without it as well.
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
		s.log.Info().Str("peer_addr", s.config.PeerAddress).Int("peers", len(s.config.Peers)).Msg("load gossip among nodes")
		s.group.Go(func() error { return s.sendGossip(ctx, link.Send) })
		return link.Serve(ctx, s.gossipReceived)
	})
}

// listenForPeers gives the link to the other nodes once the address is free, and nil if the context ended before.
func (s *server) listenForPeers(ctx context.Context) *peers.Link {
	link, err := peers.Listen(ctx, s.config.PeerAddress, s.config.Peers)
	if err != nil {
		s.log.Warn().Err(err).Msg("no load gossip among nodes yet")
	}
	for err != nil {
		if !pause(ctx, retryPause) {
			return nil
		}
		link, err = peers.Listen(ctx, s.config.PeerAddress, s.config.Peers)
	}
	return link
}

// sendGossip sends the core's load gossip beside the loop, until the context ends.
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

// postGossip leaves load gossip to be sent. Where the sender is behind it is lost, as it may be on its way.
func (s *server) postGossip(loads []peers.HostLoad) {
	select {
	case s.gossip <- loads:
	default: // also where nodes send none: the channel is nil then
	}
}

// gossipReceived hands another node's load gossip to the loop. It drops the gossip where the loop is behind, so that
// gossip does not hold clients up.
func (s *server) gossipReceived(loads []peers.HostLoad) {
	select {
	case s.events <- event{input: node.GossipReceived{Loads: loads}}:
	default:
	}
}

// joinFleet makes the node a member of its fleet, if it is to be one. The node serves whatever becomes of that.
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
		Successor:       s.upgrade.predecessor != nil && s.upgrade.inheritsRevision(),
	})
	s.group.Go(func() error { return s.fleet.Run(ctx) })
	if s.config.PeerAddress != "" || !start.Settings.LoadGossip {
		return
	}
	s.gossip = make(chan []peers.HostLoad, maxWaitingGossip) // no peers are named: the members get it
	s.group.Go(func() error { return s.sendGossip(ctx, s.fleet.SendGossip) })
}
