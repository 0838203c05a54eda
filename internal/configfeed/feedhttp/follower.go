package feedhttp

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// maxLoggedKeys bounds the changed keys that one log line names.
const maxLoggedKeys = 16

// FollowerOptions configure a follower.
type FollowerOptions struct {
	Fleet  string                    // identifier of the fleet
	Keys   [][]byte                  // of the fleet; the first one signs
	Config configfeed.FollowerConfig // name, servers and times
	Via    map[string]string         // address to dial in place of a server's address; nil for none
	Log    zerolog.Logger
	// Install puts a state in force; changed holds the keys that differ from the state before, sorted. Where it fails,
	// the state is refused, and the error's text is shown to operators. It runs on the follower's goroutine.
	Install func(state configfeed.State, changed []string) error
	// Have is the state that is in force at the start; zero for none.
	Have configfeed.State
}

// Follower keeps the configuration of one node up to date from the control servers. It uses one goroutine, and another
// one with a connection for its open poll.
type Follower struct {
	options FollowerOptions
	core    *configfeed.Follower
	loop    *loop[configfeed.FollowerEffect]
	poller  *poller
	server  string // name of the server that is polled; owned by the loop's goroutine
	view    atomic.Pointer[configfeed.FollowerView]
}

// NewFollower returns a follower that does nothing until Run.
func NewFollower(o FollowerOptions) *Follower {
	f := &Follower{options: o}
	clock := newClock()
	f.core = configfeed.NewFollower(clock.now(), o.Config, o.Have)
	f.loop = newLoop(clock, f.core, f.carryOut, f.publish)
	caller := newCaller(&authenticator{fleet: o.Fleet, keys: o.Keys}, o.Via)
	f.poller = newPoller(caller, o.Log, f.polled)
	f.publish(clock.now())
	return f
}

// Run follows the servers until the context ends, and returns the context's error. It can be called once. All goroutines
// of the follower have ended when it returns.
func (f *Follower) Run(ctx context.Context) error {
	f.loop.run(ctx)
	f.poller.stop()
	return ctx.Err()
}

// View returns what the follower knows. It can be called from any goroutine.
func (f *Follower) View() configfeed.FollowerView { return *f.view.Load() }

// Traffic returns what the follower has sent and received. It can be called from any goroutine.
func (f *Follower) Traffic() Traffic { return f.poller.caller.traffic.read() }

// publish stores the view that other goroutines read.
func (f *Follower) publish(float64) {
	view := f.core.View()
	f.view.Store(&view)
}

// polled reports the result of a poll to the core. It runs on the poll's goroutine.
func (f *Follower) polled(request uint64, u configfeed.Update, err error) {
	f.loop.post(func(now float64) []configfeed.FollowerEffect {
		switch {
		case !f.poller.finish(request, err):
			return nil
		case err != nil:
			return f.core.Failed(now, request)
		}
		return f.core.Answered(now, request, u)
	})
}

// carryOut carries out one effect, and returns those that follow from it.
func (f *Follower) carryOut(e configfeed.FollowerEffect) []configfeed.FollowerEffect {
	switch e := e.(type) {
	case configfeed.SendPoll:
		f.switchServer(e.Server)
		f.poller.send(e)
	case configfeed.CancelPoll:
		f.poller.cancel(e.Request)
	case configfeed.Install:
		return f.install(e)
	}
	return nil
}

// switchServer logs a change of the server that is polled, and closes the connection to the one before.
func (f *Follower) switchServer(server configfeed.ServerAddress) {
	if server.Name == f.server {
		return
	}
	f.options.Log.Info().Str("control_server", server.Name).Str("address", server.Address).Str("was", f.server).
		Msg("follows a control server")
	f.server = server.Name
	f.poller.caller.closeIdle()
}

// install puts a state in force and reports to the core.
func (f *Follower) install(e configfeed.Install) []configfeed.FollowerEffect {
	version := e.State.Version
	line := f.options.Log.Info()
	err := f.options.Install(e.State, e.Changed)
	if err != nil {
		line = f.options.Log.Warn().Err(err)
	}
	line.Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Int("changed", len(e.Changed)).
		Strs("keys", e.Changed[:min(len(e.Changed), maxLoggedKeys)]).
		Bool("in_force", err == nil).Msg("configuration")
	now := f.loop.clock.now()
	if err != nil {
		return f.core.Refuse(now, configfeed.Refusal{Version: version, Reason: oneLine(err.Error())})
	}
	return f.core.Installed(now, version)
}

// oneLine returns a text as one line of at most configfeed.MaxReasonBytes.
func oneLine(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	return strings.ToValidUTF8(text[:min(len(text), configfeed.MaxReasonBytes)], "")
}
