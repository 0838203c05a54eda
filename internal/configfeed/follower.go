package configfeed

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	// followerStream selects the random number stream of a follower's seed.
	followerStream = 17
	// fullTimeoutOdds sets how many first polls use the full timeout while all servers fail: on average one in this
	// number.
	fullTimeoutOdds = 4
)

// openPoll is a poll that has not been answered yet.
type openPoll struct {
	request  uint64
	have     Version // version in the poll
	wait     float64 // seconds for which the server may hold the poll
	sentAt   float64 // time at which the poll was sent
	deadline float64 // time at which the poll is canceled
}

// Follower keeps one state up to date from the control servers. It has at most one poll open, at one server. The first
// poll at a server asks for an immediate answer and has a shorter timeout, so that a dead server is detected quickly. The
// server holds the next polls until it has a newer version. Each call may change the time that Next returns.
type Follower struct {
	config      FollowerConfig
	random      *rand.Rand
	servers     serverSelection
	lastRequest *uint64 // shared by the followers of one server, so that requests have distinct numbers
	rules       rules

	state         State
	inForceSince  float64  // time at which state was put in force
	lastHeard     float64  // time of the last answer
	newest        Version  // newest version that has been reported to the follower
	refusal       *Refusal // refusal of a version newer than the one in force, or nil
	needsSnapshot bool     // the last delta could not be applied to the state
	unresponsive  bool     // the last poll was not answered

	poll       *openPoll // nil if no poll is open
	installing *Install  // install whose result the caller has not reported yet, or nil
}

// NewFollower returns a follower that starts with the given state in force, or with the zero State if there is none. A
// state that does not match its digest is ignored.
func NewFollower(now float64, c FollowerConfig, have State) *Follower {
	c = c.withDefaults()
	if have.Verify() != nil {
		have = State{}
	}
	random := rand.New(rand.NewPCG(c.Seed, followerStream))
	return &Follower{
		config:       c,
		random:       random,
		servers:      newServerSelection(now, c.Servers, c.Region, random),
		lastRequest:  new(uint64),
		rules:        rules{neverSwitchServer: singleServerBuild},
		state:        have,
		inForceSince: now,
		newest:       have.Version,
	}
}

// Next returns when Tick is due, in seconds, or infinity if the follower has no servers or waits for an install.
func (f *Follower) Next() float64 {
	switch {
	case len(f.config.Servers) == 0 || f.installing != nil:
		return math.Inf(1)
	case f.poll != nil:
		return f.poll.deadline
	}
	return f.servers.pollAt
}

// Tick does what is due: it cancels a poll whose deadline has passed, and sends the next poll.
func (f *Follower) Tick(now float64) []FollowerEffect {
	var effects []FollowerEffect
	if f.poll != nil && now >= f.poll.deadline {
		effects = append(effects, CancelPoll{f.poll.request})
		f.giveUpPoll(now)
	}
	if now >= f.Next() && f.poll == nil {
		effects = append(effects, f.send(now))
	}
	return effects
}

// send opens a poll at the selected server.
func (f *Follower) send(now float64) SendPoll {
	f.servers.returnToPreferred(now)
	p := Poll{
		Follower:      f.config.Name,
		Server:        f.config.Server,
		Region:        f.config.Region,
		Have:          f.state.Version,
		Digest:        f.state.Digest,
		Refused:       f.refusal,
		NeedsSnapshot: f.needsSnapshot,
		Newest:        f.newest,
	}
	timeout := f.config.Timeout
	if f.servers.answered {
		p.Wait = f.config.Wait
	} else if !f.usesFullTimeout() {
		timeout -= f.config.Wait
	}
	*f.lastRequest++
	f.poll = &openPoll{request: *f.lastRequest, have: p.Have, wait: p.Wait, sentAt: now, deadline: now + timeout}
	return SendPoll{Request: f.poll.request, Server: f.servers.current(), Poll: p, Timeout: timeout}
}

// usesFullTimeout reports whether the first poll at a server has the timeout of a held poll. It does if the answer may be
// large, because a complete state is needed. While all servers fail, the choice is random, because a server that needs
// longer to answer cannot be distinguished from one that cannot be reached.
func (f *Follower) usesFullTimeout() bool {
	if f.state.Version == (Version{}) || f.needsSnapshot {
		return true
	}
	return f.servers.allFailed() && f.random.IntN(fullTimeoutOdds) == 0
}

// Failed reports that a poll was not answered.
func (f *Follower) Failed(now float64, request uint64) []FollowerEffect {
	if f.awaits(request) {
		f.giveUpPoll(now)
	}
	return f.Tick(now)
}

// awaits reports whether the open poll has the given request.
func (f *Follower) awaits(request uint64) bool { return f.poll != nil && f.poll.request == request }

// giveUpPoll drops the open poll, which failed or timed out, and switches to another server for the next poll.
func (f *Follower) giveUpPoll(now float64) {
	f.poll = nil
	f.unresponsive = true
	f.switchServer(now)
}

// switchServer selects another server for the next poll, with a backoff.
func (f *Follower) switchServer(now float64) { f.servers.advance(now, f.rules.neverSwitchServer) }

// Answered reports the answer to a poll. The answer to a canceled poll is ignored.
func (f *Follower) Answered(now float64, request uint64, u Update) []FollowerEffect {
	if !f.awaits(request) {
		return f.Tick(now)
	}
	poll := f.poll
	f.poll = nil
	f.unresponsive = false
	f.lastHeard = now
	f.newest = newest(f.newest, u.Version)
	switch {
	case u.Kind == Changes || u.Kind == Snapshot:
		if install := f.acceptUpdate(now, poll, u); install != nil {
			f.installing = install
			return []FollowerEffect{*install}
		}
	case u.Kind != Unchanged || u.Isolated:
		f.switchServer(now)
	case now-poll.sentAt < poll.wait/2:
		// The server answered well before the end of the wait because another process polls under the same name.
		// Without a backoff the two processes would end each other's polls in a loop.
		f.servers.retry(now)
	default:
		f.servers.keep(now)
	}
	return f.Tick(now)
}

// acceptUpdate returns the state to be put in force after an update, or nil if there is none. It also selects the server and
// the time of the next poll: after a delta that cannot be applied, the same server after a backoff, with a request for a
// snapshot; after an update that is not valid, not newer or refused, another server; otherwise the same server at once.
func (f *Follower) acceptUpdate(now float64, poll *openPoll, u Update) *Install {
	if poll.have != f.state.Version { // another state was adopted after the poll was sent
		f.servers.keep(now)
		return nil
	}
	next, err := f.stateAfter(u)
	switch {
	case errors.Is(err, ErrMismatch) && u.Kind == Changes:
		f.needsSnapshot = true
		f.servers.retry(now)
		return nil
	case err != nil, !f.rules.mayReplace(f.state.Version, next.Version), f.hasRefused(next.Version):
		f.switchServer(now)
		return nil
	}
	f.servers.keep(now)
	return &Install{State: next, Changed: changedKeys(f.state.Entries, next.Entries), revisions: u.Revisions}
}

// stateAfter returns the state that an update leads to.
func (f *Follower) stateAfter(u Update) (State, error) {
	if u.Kind == Snapshot {
		if u.State == nil {
			return State{}, ErrMismatch
		}
		return *u.State, f.rules.verify(*u.State)
	}
	deltas := slices.Clone(u.Deltas)
	for _, r := range u.Revisions {
		deltas = append(deltas, r.Delta)
	}
	if len(deltas) == 0 {
		return State{}, ErrMismatch
	}
	next := f.state
	for _, d := range deltas {
		var err error
		next, err = f.rules.apply(next, d)
		if err != nil {
			return State{}, err
		}
	}
	return next, f.rules.verify(next)
}

// hasRefused reports whether a version is the last refused one.
func (f *Follower) hasRefused(v Version) bool { return f.refusal != nil && f.refusal.Version == v }

// Installed reports that the state of an Install is in force. The next poll is sent only after this call, so that a poll
// always reports a version that is in force.
func (f *Follower) Installed(now float64, v Version) []FollowerEffect {
	if f.installing != nil && f.installing.State.Version == v {
		f.adopt(now, f.installing.State)
	}
	return f.Tick(now)
}

// adopt records a state that is in force.
func (f *Follower) adopt(now float64, s State) {
	f.state = s
	f.inForceSince = now
	f.newest = newest(f.newest, s.Version)
	f.refusal = nil
	f.needsSnapshot = false
	f.installing = nil
}

// Refuse reports that a state could not be put in force. The follower keeps the state that it has and does not install the
// refused version later. Its next polls carry the refusal.
func (f *Follower) Refuse(now float64, r Refusal) []FollowerEffect {
	if f.installing != nil && f.installing.State.Version == r.Version {
		r.Reason = r.Reason[:min(len(r.Reason), MaxReasonBytes)]
		f.refusal = &r
		f.installing = nil
		f.needsSnapshot = false
	}
	return f.Tick(now)
}

// cancelInstall cancels an install without refusing the version. The next poll is sent after a backoff.
func (f *Follower) cancelInstall(now float64) {
	f.installing = nil
	f.servers.retry(now)
}

// View returns the follower's current view. The caller must not modify the data that it points to.
func (f *Follower) View() FollowerView {
	v := FollowerView{
		Version:      f.state.Version,
		Digest:       f.state.Digest,
		InForceSince: f.inForceSince,
		LastHeard:    f.lastHeard,
		Refused:      f.refusal,
		Newest:       f.newest,
	}
	if len(f.config.Servers) > 0 {
		v.Server = f.servers.current().Name
	}
	return v
}
