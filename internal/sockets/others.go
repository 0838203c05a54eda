package sockets

import (
	"context"
	"time"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

const waitingWords = 16 // rounds of words that may wait for the network

// talk opens the address for messages among nodes, if there is to be one. A predecessor has the same: this one's
// turn comes when that is gone. A node serves without them as well.
func (d *door) talk(ctx context.Context) {
	c := d.config
	if c.PeerAddr == "" {
		return
	}
	d.others = make(chan []peers.HostLoad, waitingWords)
	d.group.Go(func() error {
		l, err := peers.Listen(ctx, c.PeerAddr, c.Peers)
		if err != nil {
			d.log.Warn().Err(err).Msg("no messages among nodes yet")
		}
		for err != nil {
			select {
			case <-time.After(again):
			case <-ctx.Done():
				return nil
			}
			l, err = peers.Listen(ctx, c.PeerAddr, c.Peers)
		}
		d.log.Info().Str("peer_addr", c.PeerAddr).Int("peers", len(c.Peers)).Msg("messages among nodes")
		d.group.Go(func() error { return d.saying(ctx, l.Send) })
		return l.Serve(ctx, d.heard)
	})
}

// saying hands on the words that are to go to other nodes, beside the loop.
func (d *door) saying(ctx context.Context, send func([]peers.HostLoad)) error {
	for {
		select {
		case words := <-d.others:
			send(words)
		case <-ctx.Done():
			return nil
		}
	}
}

// heard takes another node's words.
func (d *door) heard(words []peers.HostLoad) {
	select {
	case d.inputs <- node.GossipReceived{Loads: words}:
	default: // guards against a crowd of messages that holds clients up
	}
}

// join makes the node a member of its fleet, if it is to be one. It serves all the same, whatever becomes of
// that.
func (d *door) join(ctx context.Context, m member, start node.Start) {
	if m.open == nil {
		return
	}
	d.fleet = m.open(view.Options{Name: d.config.Name, Build: Version(), Seed: start.Settings.Seed, ConfiguredNodes: start.Settings.Nodes,
		Log: d.log, NodesChanged: func(n int) { d.send(node.NodesChanged{Nodes: n}) }, GossipReceived: d.heard, Install: d.install,
		InForce: d.core.Revision(), Successor: d.predecessor != nil && d.inheritsRevision()})
	d.group.Go(func() error { return d.fleet.Run(ctx) })
	if d.config.PeerAddr != "" || !start.Settings.LoadGossip {
		return
	}
	d.others = make(chan []peers.HostLoad, waitingWords) // no peers are named: the members are told
	d.group.Go(func() error { return d.saying(ctx, d.fleet.SendGossip) })
}

// view is what the second address shows of the fleet; nil for a node on its own.
func (d *door) view() func() view.View {
	if d.fleet == nil {
		return nil
	}
	return d.fleet.View
}
