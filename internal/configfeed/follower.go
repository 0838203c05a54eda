package configfeed

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

// Times of a follower, in seconds.
const (
	DefaultWait            = 2.0
	answerAllowance        = 1.0  // for an answer, beyond the time that the server may hold it back
	startSpread            = 0.2  // a fleet that starts together does not poll together
	minPreferredRetryDelay = 15.0 // until the preferred server is tried again; doubles each time that it fails
	maxPreferredRetryDelay = 300.0
	preferredRetryJitter   = 0.5
)

// ServerAddress is a control server: its name, where it is reached, and its region.
type ServerAddress struct{ Name, Address, Region string }

// FollowerConfig is what a follower is told at its start. Times are in seconds.
type FollowerConfig struct {
	Name    string // of this follower
	Server  bool   // it is a control server itself
	Region  string
	Servers []ServerAddress
	Seed    uint64
	Wait    float64 // that a server may hold a poll back; zero for DefaultWait
	Timeout float64 // of a poll, from its sending to its whole answer; zero for a second beyond Wait
}

// FollowerView is what a follower knows at the moment. Times are the caller's.
type FollowerView struct {
	Version      Version
	Digest       Digest
	InForceSince float64 // when Version was put in force
	LastHeard    float64 // when any server answered last; zero for never
	Server       string  // whom it polls
	Refused      *Refusal
	Newest       Version // that any server told of
}

// openPoll is a poll that is not answered yet.
type openPoll struct {
	request          uint64
	have             Version
	wait             float64
	sentAt, deadline float64
}

// Follower keeps one state up to date from the control servers. After each call, Next says anew when Tick is due.
// It has one poll open at one server at a time. The first
// poll at a server is to be answered at once, so that a dead server costs little time; the next ones are held back
// there until something is new.
type Follower struct {
	config      FollowerConfig
	random      *rand.Rand
	lastRequest *uint64 // given out so far
	rules       rules

	state         State
	inForceSince  float64
	lastHeard     float64
	newest        Version
	refusal       *Refusal
	needsSnapshot bool // a delta did not fit
	poll          *openPoll
	installing    *Install

	serverIndex         int     // index of the server that is polled
	serverAnswered      bool    // it answered the last poll
	unresponsive        bool    // no answer came to the last poll
	failures            int     // in a row
	pollAt              float64 // when the next poll goes out
	preferredRetryAt    float64 // when the preferred server is tried again
	preferredRetryDelay float64
}

// NewFollower returns a follower that has a state already, or the zero State. A state that is not of its own digest is
// not used.
func NewFollower(now float64, c FollowerConfig, have State) *Follower {
	c.Wait = cmp.Or(c.Wait, DefaultWait)
	c.Timeout = cmp.Or(c.Timeout, c.Wait+answerAllowance)
	if have.Verify() != nil {
		have = State{}
	}
	random := rand.New(rand.NewPCG(c.Seed, 17))
	c.Servers = orderServers(c.Servers, c.Region, random)
	return &Follower{config: c, random: random, lastRequest: new(uint64), rules: rules{neverSwitchServer: singleServerBuild}, state: have, inForceSince: now, newest: have.Version,
		pollAt: now + random.Float64()*startSpread, preferredRetryAt: math.Inf(1), preferredRetryDelay: minPreferredRetryDelay}
}

// orderServers returns the servers in the order in which a follower tries them: those of its region first, each part in an
// order that is drawn.
func orderServers(servers []ServerAddress, region string, random *rand.Rand) []ServerAddress {
	order := slices.Clone(servers)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	abroad := func(s ServerAddress) int {
		if s.Region == region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b ServerAddress) int { return cmp.Compare(abroad(a), abroad(b)) })
	return order
}

// Next is when Tick is due.
func (f *Follower) Next() float64 {
	switch {
	case len(f.config.Servers) == 0 || f.installing != nil:
		return math.Inf(1)
	case f.poll != nil:
		return f.poll.deadline
	}
	return f.pollAt
}

// Tick does what is due.
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

// send opens a poll at the server whose turn it is.
func (f *Follower) send(now float64) SendPoll {
	if now >= f.preferredRetryAt && f.serverIndex != 0 {
		f.serverIndex, f.serverAnswered = 0, false
	}
	p := Poll{Follower: f.config.Name, Server: f.config.Server, Region: f.config.Region, Have: f.state.Version,
		Digest: f.state.Digest, Refused: f.refusal, NeedsSnapshot: f.needsSnapshot, Newest: f.newest}
	timeout := f.config.Timeout
	if f.serverAnswered {
		p.Wait = f.config.Wait
	} else if !f.usesFullTimeout() {
		timeout -= f.config.Wait
	}
	*f.lastRequest++
	f.poll = &openPoll{request: *f.lastRequest, have: p.Have, wait: p.Wait, sentAt: now, deadline: now + timeout}
	return SendPoll{Request: f.poll.request, Server: f.config.Servers[f.serverIndex], Poll: p, Timeout: timeout}
}

// usesFullTimeout reports whether the first poll at a server may take as long as any: its answer may be large. After failures all
// around that is drawn, as a server that can't be reached looks like one that needs longer.
func (f *Follower) usesFullTimeout() bool {
	if f.state.Version == (Version{}) || f.needsSnapshot {
		return true
	}
	return f.failures >= len(f.config.Servers) && f.random.IntN(4) == 0
}

// Failed takes that a poll got no answer.
func (f *Follower) Failed(now float64, request uint64) []FollowerEffect {
	if f.awaits(request) {
		f.giveUpPoll(now)
	}
	return f.Tick(now)
}

// awaits reports whether a request is the open poll.
func (f *Follower) awaits(request uint64) bool { return f.poll != nil && f.poll.request == request }

// giveUpPoll returns the open poll up.
func (f *Follower) giveUpPoll(now float64) {
	f.poll = nil
	f.unresponsive = true
	f.switchServer(now)
}

// switchServer has the next poll go to the next server after a while.
func (f *Follower) switchServer(now float64) {
	if f.serverIndex == 0 {
		f.preferredRetryDelay = min(2*f.preferredRetryDelay, maxPreferredRetryDelay)
		f.preferredRetryAt = math.Inf(1)
	}
	if !f.rules.neverSwitchServer {
		f.serverIndex = (f.serverIndex + 1) % len(f.config.Servers)
	}
	f.scheduleRetry(now)
	f.serverAnswered = false
}

// scheduleRetry has the next poll go out after a while.
func (f *Follower) scheduleRetry(now float64) {
	f.failures++
	f.pollAt = now + backoff(f.random, f.failures)
}

// keepServer has the next poll go to the same server at once.
func (f *Follower) keepServer(now float64) {
	f.failures, f.serverAnswered, f.pollAt = 0, true, now
	if f.serverIndex == 0 {
		f.preferredRetryDelay, f.preferredRetryAt = minPreferredRetryDelay, math.Inf(1)
	} else if math.IsInf(f.preferredRetryAt, 1) {
		f.preferredRetryAt = now + f.preferredRetryDelay*(1+preferredRetryJitter*(f.random.Float64()-0.5))
	}
}

// Answered takes the answer to a poll. The answer to a poll that was given up is ignored.
func (f *Follower) Answered(now float64, request uint64, u Update) []FollowerEffect {
	if !f.awaits(request) {
		return f.Tick(now)
	}
	poll := f.poll
	f.poll, f.unresponsive, f.lastHeard = nil, false, now
	f.newest = newest(f.newest, u.Version)
	switch {
	case u.Kind == Changes || u.Kind == Snapshot:
		if install := f.acceptUpdate(now, poll, u); install != nil {
			f.installing = install
			return []FollowerEffect{*install}
		}
	case u.Kind != Unchanged || u.Isolated:
		f.switchServer(now)
	case now-poll.sentAt < poll.wait/2: // sooner than agreed: another process polls under this name
		f.scheduleRetry(now)
	default:
		f.keepServer(now)
	}
	return f.Tick(now)
}

// acceptUpdate returns what is to be put in force after an update, or nil and when to poll again.
func (f *Follower) acceptUpdate(now float64, poll *openPoll, u Update) *Install {
	if poll.have != f.state.Version { // moved on meanwhile by another way
		f.keepServer(now)
		return nil
	}
	next, err := f.stateAfter(u)
	switch {
	case errors.Is(err, ErrMismatch) && u.Kind == Changes:
		f.needsSnapshot = true
		f.scheduleRetry(now)
		return nil
	case err != nil, !f.rules.mayReplace(f.state.Version, next.Version), f.hasRefused(next.Version):
		f.switchServer(now)
		return nil
	}
	f.keepServer(now)
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
		if next, err = f.rules.apply(next, d); err != nil {
			return State{}, err
		}
	}
	return next, f.rules.verify(next)
}

// hasRefused reports whether a version was refused.
func (f *Follower) hasRefused(v Version) bool { return f.refusal != nil && f.refusal.Version == v }

// Installed takes that the caller has put the state of an Install in force. Only then the next poll goes out, so that
// the version of a poll is in force.
func (f *Follower) Installed(now float64, v Version) []FollowerEffect {
	if f.installing != nil && f.installing.State.Version == v {
		f.adopt(now, f.installing.State)
	}
	return f.Tick(now)
}

// adopt takes a state that is in force.
func (f *Follower) adopt(now float64, s State) {
	f.state, f.inForceSince, f.newest = s, now, newest(f.newest, s.Version)
	f.refusal, f.needsSnapshot, f.installing = nil, false, nil
}

// Refuse takes that the caller could not put a state in force. The follower keeps the one that it has and does not ask
// for the refused version again; the servers are told of it.
func (f *Follower) Refuse(now float64, r Refusal) []FollowerEffect {
	if f.installing != nil && f.installing.State.Version == r.Version {
		r.Reason = r.Reason[:min(len(r.Reason), MaxReasonBytes)]
		f.refusal, f.installing, f.needsSnapshot = &r, nil, false
	}
	return f.Tick(now)
}

// abandon drops a state that was to be put in force, without blame; the next poll goes out after a while.
func (f *Follower) abandon(now float64) {
	f.installing = nil
	f.scheduleRetry(now)
}

// View describes what the follower knows.
func (f *Follower) View() FollowerView {
	v := FollowerView{Version: f.state.Version, Digest: f.state.Digest, InForceSince: f.inForceSince, LastHeard: f.lastHeard,
		Refused: f.refusal, Newest: f.newest}
	if len(f.config.Servers) > 0 {
		v.Server = f.config.Servers[f.serverIndex].Name
	}
	return v
}
