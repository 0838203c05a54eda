package fleet

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

const (
	probeTimeoutParts = 5 // of a period: the answer to a probe is awaited for one of them
	indirectProbes    = 3 // members that are asked to probe one that did not answer
)

// Fleet is this node's part in a fleet. Its methods may be called from several goroutines, but for those that are to be
// called before Run.
type Fleet struct {
	config    Config
	options   view.Options
	log       zerolog.Logger
	startedAt time.Time
	base      float64                      // startedAt in Unix seconds
	follower  *configFollower              // nil where the node follows no control servers
	observe   func(membership.Changed)     // nil for none
	filter    func(at netip.AddrPort) bool // nil in service
	wake      wakeSignal                   // has the loop of the socket check the state below again

	mu              sync.Mutex
	core            *membership.Members
	authenticator   *authenticator
	socket          *peers.Socket     // nil while there is none
	handedOver      bool              // another process of this node is the member now
	left            bool              // this node has left the fleet, or was replaced
	rejected        map[rejection]int // datagrams, by reason
	traffic         trafficCounts
	divisor         BudgetDivisor
	configuredNodes int // nodes of which the node's settings speak
	reportedNodes   int // the number that NodesChanged was last called with
}

// New returns a node's part in a fleet by its fleet file. It opens nothing: Run does.
func New(c Config, o view.Options) *Fleet {
	startedAt := time.Now()
	f := &Fleet{
		config:          c,
		options:         o,
		log:             o.Log,
		startedAt:       startedAt,
		base:            float64(startedAt.UnixNano()) / 1e9,
		configuredNodes: o.ConfiguredNodes,
		authenticator:   newAuthenticator(c),
		rejected:        map[rejection]int{},
		wake:            newWakeSignal(),
	}
	f.core = membership.New(f.now(), membership.Config{
		Self: membership.Member{
			Name:    o.Name,
			Start:   uint64(startedAt.UnixMicro()),
			Address: c.Address,
			Zone:    c.Zone,
			Build:   o.Build,
		},
		Join:            c.Join,
		Seed:            o.Seed,
		Period:          c.Period,
		ProbeTimeout:    c.Period / probeTimeoutParts,
		IndirectProbes:  indirectProbes,
		MaxMessageBytes: maxMessageBytes,
	})
	if len(c.Control) > 0 && o.Install != nil {
		f.follower = newConfigFollower(c, o, f.now)
		f.setConfiguredNodes(o.InForce)
	}
	return f
}

// now returns the time in Unix seconds. It does not follow steps of the system's clock after the start.
func (f *Fleet) now() float64 { return f.base + time.Since(f.startedAt).Seconds() }

// Observe has each change of a member's state that this node sees passed to a function, which is called under the
// fleet's lock and must not call the fleet. Observe is called before Run.
func (f *Fleet) Observe(changed func(membership.Changed)) { f.observe = changed }

// Filter has datagrams from and to the addresses for which drop is true be lost, as by a partitioned network. It is for
// test fleets only and is called before Run.
func (f *Fleet) Filter(drop func(at netip.AddrPort) bool) { f.filter = drop }

// Run is a member of the fleet until the context ends or the node has left the fleet. It follows the control servers,
// where the fleet file names some, until the context ends. It returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	if f.follower == nil {
		return f.runMember(ctx)
	}
	var group errgroup.Group
	group.Go(func() error {
		f.follower.run(ctx)
		return nil
	})
	group.Go(func() error { return f.runMember(ctx) })
	return group.Wait()
}

// SetReady announces to the other members whether this node accepts clients.
func (f *Fleet) SetReady(ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.SetReady(f.now(), ready)
}

// SetInForce records that a revision of the live settings is in force at the node.
func (f *Fleet) SetInForce(r live.Revision) {
	if f.follower == nil {
		return
	}
	f.follower.inForce(r)
	f.setConfiguredNodes(r)
}

// setConfiguredNodes takes the number of nodes over from a revision, or from the node's start where it names none.
func (f *Fleet) setConfiguredNodes(r live.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuredNodes = f.options.ConfiguredNodes
	if nodes := r.Settings.Nodes; nodes != nil {
		f.configuredNodes = *nodes
	}
}

// updateNodeCount reports the number of nodes that share a budget, where it has changed.
func (f *Fleet) updateNodeCount() {
	f.mu.Lock()
	nodes := f.divisor.Update(f.now(), f.core.LiveCount(), f.configuredNodes)
	changed := nodes != f.reportedNodes
	f.reportedNodes = nodes
	f.mu.Unlock()
	if changed && f.options.NodesChanged != nil {
		f.options.NodesChanged(nodes)
	}
}
