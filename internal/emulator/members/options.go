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

// Options describe a simulated fleet and its network. Times are in seconds.
type Options struct {
	Nodes            int
	Seed             uint64  // seed of all random values, including those of the cores
	WithoutLifeguard bool    // run SWIM without the Lifeguard extensions
	Loss             float64 // fraction of messages that are lost
	Delay            float64 // mean delay of a message, distributed uniformly between 0.5 and 1.5 times the mean; 0 counts as 0.001
	Duplicate        float64 // fraction of messages that arrive twice
	Zones            int     // number of zones over which the nodes are spread; 0 for nodes without a zone
	Period           float64 // protocol period of the cores; 0 counts as 1

	Address func(i int) string          // address of node i; nil for a distinct address for each node
	Build   string                      // build that each node announces
	Size    func(msg *wire.Message) int // bytes of a message on the network; nil for the size of the encoded message
}

// withDefaults returns the options with defaults for the fields that are not set.
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
