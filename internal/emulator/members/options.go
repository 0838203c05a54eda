package members

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"gorseledge/internal/membership/wire"
)

const (
	defaultPeriod = 1.0   // seconds
	defaultDelay  = 0.001 // seconds
)

// Options are what a simulated fleet is made of. Times are in seconds.
type Options struct {
	Nodes            int
	Seed             uint64  // of all random choices, of the cores as well
	WithoutLifeguard bool    // plain SWIM
	Loss             float64 // fraction of all messages that is lost
	Delay            float64 // mean delay of a message, drawn evenly from half to one and a half of it; 0 counts as 0.001
	Duplicate        float64 // fraction of all messages that arrives twice
	Zones            int     // number of zones over which the nodes are spread; 0 for nodes without a zone
	Period           float64 // protocol period of the cores; 0 counts as 1

	Address func(i int) string          // address of a node; nil for one of its own for each
	Build   string                      // that each node announces
	Size    func(msg *wire.Message) int // bytes of a message on the network; nil for those of the encoded message
}

// withDefaults returns the options with a value for everything that was left out.
func (o Options) withDefaults() Options {
	if o.Period == 0 {
		o.Period = defaultPeriod
	}
	if o.Delay == 0 {
		o.Delay = defaultDelay
	}
	if o.Address == nil {
		o.Address = func(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&255) }
	}
	if o.Size == nil {
		o.Size = func(msg *wire.Message) int { return proto.Size(msg) }
	}
	return o
}
