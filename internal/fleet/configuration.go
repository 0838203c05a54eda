package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/livesettings"
	"gorseledge/internal/membership"
	"gorseledge/internal/node/live"
)

const (
	silentAfter = 10.0        // seconds without an answer of any control server, of which the log tells
	silenceGap  = time.Second // between two looks at that
)

// configFollower is a node's part in the distribution of configuration: it follows the control servers, hands revisions
// to the node, and knows which one is in force. While another process of the node follows, this one does not.
type configFollower struct {
	config    Config
	options   view.Options
	now       func() float64
	startedAt float64
	wake      chan struct{}

	mu              sync.Mutex
	state           configfeed.State // in force
	inForceSince    float64
	ignored         []string
	installing      configfeed.Version // that the node is asked to put in force
	predecessorDone bool               // no predecessor follows
	handedOver      bool               // a successor follows
	follower        *feedhttp.Follower // nil while this process does not follow
	lastView        configfeed.FollowerView
	traffic         feedhttp.Traffic // of followers before this one
}

func newConfigFollower(c Config, o view.Options, now func() float64) *configFollower {
	p := &configFollower{config: c, options: o, now: now, startedAt: now(), wake: make(chan struct{}, 1), predecessorDone: !o.Successor}
	p.setInForce(o.InForce)
	return p
}

// run follows the control servers, while no other process of the node does, until the context ends.
func (p *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if p.shouldFollow() {
			p.follow(ctx)
			continue
		}
		select {
		case <-p.wake:
		case <-ctx.Done():
		}
	}
}

func (p *configFollower) shouldFollow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.predecessorDone && !p.handedOver
}

// releaseByPredecessor says that no predecessor follows any more.
func (p *configFollower) releaseByPredecessor() {
	p.mu.Lock()
	p.predecessorDone = true
	p.mu.Unlock()
	p.wakeUp()
}

// setHandedOver says whether a successor follows.
func (p *configFollower) setHandedOver(held bool) {
	p.mu.Lock()
	p.handedOver = held
	p.mu.Unlock()
	p.wakeUp()
}

func (p *configFollower) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// follow runs a follower until a successor follows or the context ends.
func (p *configFollower) follow(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	follower := p.startFollower(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		follower.Run(ctx)
	}()
	p.watchServers(ctx, follower)
	stop()
	<-ended
	p.stopFollower(follower)
}

// startFollower makes a follower that goes on from the revision in force.
func (p *configFollower) startFollower(ctx context.Context) *feedhttp.Follower {
	p.mu.Lock()
	defer p.mu.Unlock()
	seed := p.options.Seed ^ uint64(membership.NameHash(p.options.Name))<<32 // nodes without a seed differ by name
	p.follower = feedhttp.NewFollower(feedhttp.FollowerOptions{Fleet: p.config.Fleet, Keys: p.config.keys,
		Config: configfeed.FollowerConfig{Name: p.options.Name, Region: p.config.Region, Servers: p.config.servers(), Seed: seed},
		Via:    p.config.Via, Log: p.options.Log.Level(zerolog.InfoLevel), Have: p.state,
		Install: func(state configfeed.State, _ []string) error { return p.install(ctx, state) }})
	return p.follower
}

// stopFollower keeps what a follower that has stopped knew last.
func (p *configFollower) stopFollower(follower *feedhttp.Follower) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastView, p.traffic = follower.View(), p.totalTraffic(follower)
	p.follower = nil
}

// totalTraffic gives the traffic of all followers so far, for who has the lock.
func (p *configFollower) totalTraffic(follower *feedhttp.Follower) feedhttp.Traffic {
	sum, t := p.traffic, follower.Traffic()
	sum.Requests += t.Requests
	sum.Answers += t.Answers
	sum.BytesSent += t.BytesSent
	sum.BytesReceived += t.BytesReceived
	return sum
}

// watchServers tells the log when no control server answers, and when one does again, until this process is to follow no
// longer.
func (p *configFollower) watchServers(ctx context.Context, follower *feedhttp.Follower) {
	look := time.NewTicker(silenceGap)
	defer look.Stop()
	silent := false
	for p.shouldFollow() {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			continue
		case <-look.C:
		}
		age := p.age(follower.View().LastHeard)
		if was := silent; was == (age > silentAfter) {
			continue
		}
		silent = !silent
		p.mu.Lock()
		version := p.state.Version
		p.mu.Unlock()
		line := p.options.Log.Info()
		words := "control servers answer again"
		if silent {
			line, words = p.options.Log.Warn(), "no control server answers: the configuration stays as it is"
		}
		line.Float64("age_s", float64(int(age))).Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Msg(words)
	}
}

// age gives the seconds since a server was heard, or since the start where none was.
func (p *configFollower) age(heard float64) float64 {
	if heard == 0 {
		heard = p.startedAt
	}
	return max(p.now()-heard, 0)
}

// install has the node put a state in force.
func (p *configFollower) install(ctx context.Context, state configfeed.State) error {
	r, err := decodeRevision(state)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.installing = state.Version
	p.mu.Unlock()
	ignored, err := p.options.Install(ctx, r)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.installing = configfeed.Version{}
	if err == nil && p.state.Version == state.Version {
		p.ignored = ignored
	}
	return err
}

// decodeRevision gives a state as the node takes it.
func decodeRevision(state configfeed.State) (live.Revision, error) {
	settings, err := livesettings.Decode(state.Entries)
	if err != nil {
		return live.Revision{}, err
	}
	text, err := json.Marshal(state)
	if err != nil {
		return live.Revision{}, err
	}
	return live.Revision{Epoch: state.Version.Epoch, Number: state.Version.Revision, Settings: settings, State: text}, nil
}

// inForce notes that the node has put a revision in force, by this part's install or by word of its other process.
func (p *configFollower) inForce(r live.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := configfeed.Version{Epoch: r.Epoch, Revision: r.Number}
	if version != p.installing {
		p.options.Log.Info().Uint64("epoch", r.Epoch).Uint64("revision", r.Number).Bool("in_force", true).
			Msg("configuration of the node's other process")
	}
	p.setInForce(r)
}

// setInForce notes the revision in force, for who has the lock. One without its state counts as none: a follower begins anew.
func (p *configFollower) setInForce(r live.Revision) {
	var state configfeed.State
	if r.IsZero() || json.Unmarshal(r.State, &state) != nil || state.Verify() != nil {
		return
	}
	p.state, p.inForceSince, p.ignored = state, p.now(), nil
}

// view gives what is known now.
func (p *configFollower) view() *view.Config {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, traffic := p.lastView, p.traffic
	if p.follower != nil {
		known, traffic = p.follower.View(), p.totalTraffic(p.follower)
	}
	c := &view.Config{Epoch: p.state.Version.Epoch, Revision: p.state.Version.Revision, Since: p.inForceSince,
		Digest: fmt.Sprintf("%016x", uint64(p.state.Digest)), Region: p.config.Region, Server: known.Server,
		Heard: known.LastHeard, Age: p.age(known.LastHeard), Follows: p.follower != nil,
		Newest: view.Version(known.Newest), Ignored: slices.Clone(p.ignored), Requests: traffic.Requests,
		BytesSent: traffic.BytesSent, BytesReceived: traffic.BytesReceived}
	for _, s := range p.config.Control {
		c.Servers = append(c.Servers, s.Name)
	}
	if known.Refused != nil {
		c.Refused = &view.Refused{Version: view.Version(known.Refused.Version), Reason: known.Refused.Reason}
	}
	return c
}
