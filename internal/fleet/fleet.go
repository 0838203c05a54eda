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
	probeTimeoutParts = 5 // divisor of the period that yields the timeout of a direct probe
	indirectProbes    = 3 // number of members that are asked to probe one that did not answer
)

// Fleet is the fleet membership of this node. Its methods may be called from several goroutines, except for those that
// must be called before Run.
type Fleet struct {
	config           Config
	options          view.Options
	log              zerolog.Logger
	startedAt        time.Time
	startUnixSeconds float64                      // startedAt in Unix seconds
	follower         *configFollower              // nil if the node follows no control servers
	observe          func(membership.Changed)     // receives changes of members' states; nil for none
	filter           func(at netip.AddrPort) bool // selects the addresses whose datagrams are dropped; nil in production
	wake             wakeSignal                   // makes the loop of the socket read the fields below again

	mu              sync.Mutex // protects the fields below
	core            *membership.Members
	authenticator   *authenticator
	socket          *peers.Socket     // nil while no socket is open
	handedOver      bool              // whether another process of this node is the member now
	left            bool              // whether this node has left the fleet or was replaced
	rejected        map[rejection]int // number of rejected datagrams by reason
	traffic         trafficCounts
	divisor         BudgetDivisor
	configuredNodes int // number of nodes of the fleet in the node's settings
	reportedNodes   int // number that NodesChanged was last called with
}

// New returns the membership of a node in the fleet that the fleet file describes. It opens no socket; Run does.
func New(c Config, o view.Options) *Fleet {
	startedAt := time.Now()
	f := &Fleet{
		config:           c,
		options:          o,
		log:              o.Log,
		startedAt:        startedAt,
		startUnixSeconds: float64(startedAt.UnixNano()) / 1e9,
		configuredNodes:  o.ConfiguredNodes,
		authenticator:    newAuthenticator(c),
		rejected:         map[rejection]int{},
		wake:             newWakeSignal(),
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

// now returns the time in Unix seconds. It is not affected by steps of the system clock after the start.
func (f *Fleet) now() float64 { return f.startUnixSeconds + time.Since(f.startedAt).Seconds() }

// Observe registers a function that receives each change of a member's state at this node. The function is called while
// the lock of f is held and must not call methods of f. Observe must be called before Run.
func (f *Fleet) Observe(changed func(membership.Changed)) { f.observe = changed }

// Filter drops datagrams from and to the addresses for which drop returns true, to simulate a network partition. It is for
// test fleets only and must be called before Run.
func (f *Fleet) Filter(drop func(at netip.AddrPort) bool) { f.filter = drop }

// Run runs the membership protocol until the context ends or the node has left the fleet. If the fleet file names control
// servers, Run also follows them until the context ends. It always returns nil.
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

// SetInForce records that a revision of the live settings is in force at the node, and which of its keys have no effect
// there. It does nothing if the node follows no control servers.
func (f *Fleet) SetInForce(r live.Revision, ignored []string) {
	if f.follower == nil {
		return
	}
	f.follower.inForce(r, ignored)
	f.setConfiguredNodes(r)
}

// setConfiguredNodes sets the number of configured nodes to that of a revision, or to that of the settings at the node's
// start if the revision does not set it.
func (f *Fleet) setConfiguredNodes(r live.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuredNodes = f.options.ConfiguredNodes
	if nodes := r.Settings.Nodes; nodes != nil {
		f.configuredNodes = *nodes
	}
}

// updateNodeCount computes the number of nodes that share a budget and reports it with NodesChanged if it has changed.
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
