package view

import (
	"context"

	"github.com/rs/zerolog"

	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Options are what a node's part in a fleet takes from the node, beside the fleet file. Functions may be nil; they are
// called from goroutines of the part and must not call it.
type Options struct {
	Name            string // of the node, unique in the fleet
	Build           string // revision of the program
	Seed            uint64 // of all random choices
	ConfiguredNodes int    // number of nodes in the node's settings
	Log             zerolog.Logger

	// NodesChanged is called with the number of nodes that share the hosts' budgets, whenever it changes.
	NodesChanged func(n int)
	// GossipReceived is called with load gossip of other members.
	GossipReceived func(loads []peers.HostLoad)

	// Install puts a revision of the live settings in force, and returns once it is or cannot be. It returns the keys
	// that have no effect at this node. It is nil for a node that takes no revisions.
	Install func(ctx context.Context, r live.Revision) (ignored []string, err error)
	// InForce is the revision in force at the start of the part; the zero Revision for none.
	InForce live.Revision
	// Successor says that another process of the node follows the control servers until Part.Follow is called.
	Successor bool
}
