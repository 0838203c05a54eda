package fleet

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/node/live"
)

// configFollower is a node's part in the distribution of configuration: it follows the control servers, passes revisions
// to the node and knows which one is in force. While another process of the node follows, this one does not. Its methods
// may be called from several goroutines.
type configFollower struct {
	config    Config
	options   view.Options
	now       func() float64 // Unix time in seconds
	startedAt float64
	wake      wakeSignal // has run and watchServers check the state below again

	mu              sync.Mutex
	state           configfeed.State   // in force; zero for none
	inForceSince    float64            // Unix time in seconds
	ignored         []string           // keys in force that have no effect at this node
	installing      configfeed.Version // that the node was asked to put in force
	predecessorDone bool               // no predecessor of this process follows
	handedOver      bool               // a successor follows
	follower        *feedhttp.Follower // nil while this process does not follow
	lastView        configfeed.FollowerView
	traffic         feedhttp.Traffic // of followers before this one
}

// newConfigFollower returns a follower that goes on from the revision in force at the node. It follows once run is called.
func newConfigFollower(c Config, o view.Options, now func() float64) *configFollower {
	f := &configFollower{
		config:          c,
		options:         o,
		now:             now,
		startedAt:       now(),
		wake:            newWakeSignal(),
		predecessorDone: !o.Successor,
	}
	f.setInForce(o.InForce)
	return f
}

// run follows the control servers, while no other process of the node does, until the context ends.
func (f *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.shouldFollow() {
			f.follow(ctx)
			continue
		}
		f.wake.wait(ctx)
	}
}

// shouldFollow reports whether neither a predecessor nor a successor of this process follows.
func (f *configFollower) shouldFollow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.predecessorDone && !f.handedOver
}

// releaseByPredecessor records that no predecessor follows any more.
func (f *configFollower) releaseByPredecessor() {
	f.mu.Lock()
	f.predecessorDone = true
	f.mu.Unlock()
	f.wake.set()
}

// setHandedOver records whether a successor follows.
func (f *configFollower) setHandedOver(handedOver bool) {
	f.mu.Lock()
	f.handedOver = handedOver
	f.mu.Unlock()
	f.wake.set()
}

// follow runs a follower until a successor follows or the context ends. The follower's goroutine has ended when follow
// returns.
func (f *configFollower) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower := f.startFollower(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follower.Run(ctx)
	}()
	f.watchServers(ctx, follower)
	cancel()
	<-ended
	f.stopFollower(follower)
}

// startFollower makes a follower that goes on from the revision in force. Nodes without a seed differ by their names.
func (f *configFollower) startFollower(ctx context.Context) *feedhttp.Follower {
	f.mu.Lock()
	defer f.mu.Unlock()
	seed := f.options.Seed ^ uint64(membership.NameHash(f.options.Name))<<32
	f.follower = feedhttp.NewFollower(feedhttp.FollowerOptions{
		Fleet: f.config.Fleet,
		Keys:  f.config.keys,
		Config: configfeed.FollowerConfig{
			Name:    f.options.Name,
			Region:  f.config.Region,
			Servers: f.config.servers(),
			Seed:    seed,
		},
		Via:     f.config.Via,
		Log:     f.options.Log.Level(zerolog.InfoLevel),
		Have:    f.state,
		Install: func(state configfeed.State, _ []string) error { return f.install(ctx, state) },
	})
	return f.follower
}

// stopFollower keeps what a follower that has ended knew last.
func (f *configFollower) stopFollower(follower *feedhttp.Follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastView = follower.View()
	f.traffic = f.totalTraffic(follower)
	f.follower = nil
}

// totalTraffic returns the traffic of this follower and all before it. The caller holds the lock.
func (f *configFollower) totalTraffic(follower *feedhttp.Follower) feedhttp.Traffic {
	total := f.traffic
	traffic := follower.Traffic()
	total.Requests += traffic.Requests
	total.Answers += traffic.Answers
	total.BytesSent += traffic.BytesSent
	total.BytesReceived += traffic.BytesReceived
	return total
}

// install has the node put a state in force. It returns once it is in force, or why it cannot be.
func (f *configFollower) install(ctx context.Context, state configfeed.State) error {
	revision, err := decodeRevision(state)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.installing = state.Version
	f.mu.Unlock()
	ignored, err := f.options.Install(ctx, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.installing = configfeed.Version{}
	if err == nil && f.state.Version == state.Version {
		f.ignored = ignored
	}
	return err
}

// inForce records that the node has put a revision in force, by install or on a message of its peer process.
func (f *configFollower) inForce(r live.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := configfeed.Version{Epoch: r.Epoch, Revision: r.Number}
	if version != f.installing {
		f.options.Log.Info().Uint64("epoch", r.Epoch).Uint64("revision", r.Number).Bool("in_force", true).
			Msg("configuration of the peer process")
	}
	f.setInForce(r)
}

// setInForce records the revision in force. One without a valid state counts as none, so that a follower begins anew. The
// caller holds the lock, or is the only one that has the follower.
func (f *configFollower) setInForce(r live.Revision) {
	state, ok := stateOf(r)
	if !ok {
		return
	}
	f.state = state
	f.inForceSince = f.now()
	f.ignored = nil
}
