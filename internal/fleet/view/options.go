package view

import (
	"context"

	"github.com/rs/zerolog"

	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Options are what a node's part in a fleet is made of, beside the fleet file.
type Options struct {
	Name            string // the node's
	Build           string // revision of the program
	Seed            uint64
	ConfiguredNodes int // number of nodes of which the node's settings speak
	Log             zerolog.Logger

	NodesChanged   func(n int)                  // is told the number of nodes to reckon with, whenever it changes
	GossipReceived func(words []peers.HostLoad) // is told what other members say of hosts

	// Install puts a revision of the live settings in force, and returns once it is or cannot be. It gives the keys
	// that have no effect at this node. Nil for a node that takes none.
	Install   func(ctx context.Context, r live.Revision) (ignored []string, err error)
	InForce   live.Revision // at the start of the part; the zero Revision for none
	Successor bool          // another process of the node follows the configuration until Follow is called
}
