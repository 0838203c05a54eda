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

// configFollower receives the distributed configuration of a node: it follows the control servers, passes new revisions to
// the node and records which revision is in force. While another process of the node follows the control servers, this one
// does not. Its methods may be called from several goroutines.
type configFollower struct {
	config    Config
	options   view.Options
	now       func() float64 // Unix time in seconds
	startedAt float64
	wake      wakeSignal // makes run and watchServers read the fields below again

	mu              sync.Mutex              // protects the fields below
	state           configfeed.State        // state in force; zero for none
	inForceSince    float64                 // time at which the state was put in force, Unix time in seconds
	ignored         []string                // keys of the state in force that have no effect at this node
	installing      configfeed.Version      // version that the node is being asked to put in force; zero for none
	predecessorDone bool                    // whether no predecessor of this process follows any more
	handedOver      bool                    // whether a successor of this process follows
	follower        *feedhttp.Follower      // nil while this process does not follow
	lastView        configfeed.FollowerView // final view of the previous follower
	traffic         feedhttp.Traffic        // total traffic of the previous followers
}

// newConfigFollower returns a follower that continues from the revision in force at the node. It does not contact the
// control servers until run is called.
func newConfigFollower(c Config, o view.Options, now func() float64) *configFollower {
	f := &configFollower{
		config:          c,
		options:         o,
		now:             now,
		startedAt:       now(),
		wake:            newWakeSignal(),
		predecessorDone: !o.Successor,
	}
	f.setInForce(o.InForce, o.Ignored)
	return f
}

// run follows the control servers until the context ends, except while another process of the node does.
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

// setPredecessorDone records that no predecessor follows the control servers any more.
func (f *configFollower) setPredecessorDone() {
	f.mu.Lock()
	f.predecessorDone = true
	f.mu.Unlock()
	f.wake.set()
}

// setHandedOver records whether a successor follows the control servers.
func (f *configFollower) setHandedOver(handedOver bool) {
	f.mu.Lock()
	f.handedOver = handedOver
	f.mu.Unlock()
	f.wake.set()
}

// follow runs a follower until a successor follows the control servers or the context ends. It waits for the follower's
// goroutine before it returns.
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

// startFollower creates a follower that continues from the revision in force. Its seed includes a hash of the node's name,
// so that nodes without a configured seed draw different random numbers.
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

// stopFollower saves the last view and the traffic of a follower that has ended.
func (f *configFollower) stopFollower(follower *feedhttp.Follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastView = follower.View()
	f.traffic = f.totalTraffic(follower)
	f.follower = nil
}

// totalTraffic returns the total traffic of a follower and all previous ones. The caller holds the lock.
func (f *configFollower) totalTraffic(follower *feedhttp.Follower) feedhttp.Traffic {
	total := f.traffic
	traffic := follower.Traffic()
	total.Requests += traffic.Requests
	total.Answers += traffic.Answers
	total.BytesSent += traffic.BytesSent
	total.BytesReceived += traffic.BytesReceived
	return total
}

// install asks the node to put a state in force. It returns after the state is in force, or with the error that prevents
// it.
func (f *configFollower) install(ctx context.Context, state configfeed.State) error {
	revision, err := decodeRevision(state)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.installing = state.Version
	f.mu.Unlock()
	err = f.options.Install(ctx, revision)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.installing = configfeed.Version{}
	return err
}

// inForce records that the node has put a revision in force, either through install or because its peer process reported
// it, and which of its keys have no effect.
func (f *configFollower) inForce(r live.Revision, ignored []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := configfeed.Version{Epoch: r.Epoch, Revision: r.Number}
	if version != f.installing {
		f.options.Log.Info().Uint64("epoch", r.Epoch).Uint64("revision", r.Number).Bool("in_force", true).
			Msg("revision received from the peer process")
	}
	f.setInForce(r, ignored)
}

// setInForce records the revision in force with its keys without effect, which a view shows together. It ignores a revision
// without a valid state, so that a follower that starts later continues from the previous revision, or from none. The caller
// holds the lock, or is the only one with access to f.
func (f *configFollower) setInForce(r live.Revision, ignored []string) {
	state, ok := stateOf(r)
	if !ok {
		return
	}
	f.state = state
	f.inForceSince = f.now()
	f.ignored = ignored
}
