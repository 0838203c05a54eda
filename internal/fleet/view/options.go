package view

import (
	"context"

	"github.com/rs/zerolog"

	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Options are the parameters of a node's fleet membership that come from the node and not from the fleet file. The
// functions may be nil. They are called from goroutines of the Membership and must not call its methods.
type Options struct {
	Name            string // name of the node, unique in the fleet
	Build           string // revision of the program
	Seed            uint64 // seed of the random number generators
	ConfiguredNodes int    // number of nodes of the fleet in the node's settings
	Log             zerolog.Logger

	// NodesChanged is called with the number of nodes that share the hosts' budgets each time that the number changes.
	NodesChanged func(n int)
	// GossipReceived is called with the loads in load gossip of other members.
	GossipReceived func(loads []peers.HostLoad)

	// Install puts a revision of the live settings in force and returns after it is in force or has failed. Before it returns
	// without an error, Membership.SetInForce is called. If Install is nil, the node does not follow control servers.
	Install func(ctx context.Context, r live.Revision) error
	// InForce is the revision in force when the Membership is created; the zero Revision for none.
	InForce live.Revision
	// Ignored lists the keys of InForce that have no effect at this node.
	Ignored []string
	// Successor is true if another process of the node follows the control servers until Membership.Follow is called.
	Successor bool
}
