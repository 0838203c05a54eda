package feedhttp

import (
	"context"
	"strings"
	"sync/atomic"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
)

// maxLoggedKeys bounds the changed keys in one log line.
const maxLoggedKeys = 16

// FollowerOptions configure a follower.
type FollowerOptions struct {
	Fleet  string                    // identifier of the fleet
	Keys   [][]byte                  // keys of the fleet: the first one signs, any of them is accepted
	Config configfeed.FollowerConfig // the follower's name, the list of control servers, and timeouts
	Via    map[string]string         // maps a server's address to the one to dial instead; may be nil
	Log    zerolog.Logger
	// Install puts a state in force; changed holds the keys that differ from the previous state, sorted. If it returns
	// an error, the state is refused and the error's text is shown to operators. It runs on the follower's goroutine.
	Install func(state configfeed.State, changed []string) error
	// Have is the state in force when the follower starts; the zero value means none.
	Have configfeed.State
}

// Follower keeps the configuration of one node up to date by polling the control servers. Its core, a
// configfeed.Follower, decides when to poll which server. It uses one goroutine, and for the poll in progress another
// goroutine and a connection.
type Follower struct {
	options FollowerOptions
	core    *configfeed.Follower
	loop    *loop[configfeed.FollowerEffect]
	poller  *poller
	server  string // name of the server that is polled; used by the loop's goroutine only
	view    atomic.Pointer[configfeed.FollowerView]
}

// NewFollower returns a follower that is idle until Run is called.
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

// Run polls the servers until the context ends, and returns the context's error. It can be called once. All goroutines
// of the follower have ended when it returns.
func (f *Follower) Run(ctx context.Context) error {
	f.loop.run(ctx)
	f.poller.stop()
	return ctx.Err()
}

// View returns the follower's state as of its last input. It can be called from any goroutine.
func (f *Follower) View() configfeed.FollowerView { return *f.view.Load() }

// Traffic returns the counts of what the follower has sent and received. It can be called from any goroutine.
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

// carryOut carries out one effect of the core, and returns the effects that result from it.
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

// switchServer logs a change of the server that is polled, and closes the connection to the previous server.
func (f *Follower) switchServer(server configfeed.ServerAddress) {
	if server.Name == f.server {
		return
	}
	f.options.Log.Info().Str("control_server", server.Name).Str("address", server.Address).Str("was", f.server).
		Msg("control server selected")
	f.server = server.Name
	f.poller.caller.closeIdle()
}

// install puts a state in force, logs whether that succeeded and reports it to the core.
func (f *Follower) install(e configfeed.Install) []configfeed.FollowerEffect {
	version := e.State.Version
	line := f.options.Log.Info()
	err := f.options.Install(e.State, e.Changed)
	if err != nil {
		line = f.options.Log.Warn().Err(err)
	}
	line.Uint64("epoch", version.Epoch).Uint64("revision", version.Revision).Int("changed", len(e.Changed)).
		Strs("keys", e.Changed[:min(len(e.Changed), maxLoggedKeys)]).
		Bool("in_force", err == nil).Msg("configuration revision processed")
	now := f.loop.clock.now()
	if err != nil {
		return f.core.Refuse(now, configfeed.Refusal{Version: version, Reason: oneLine(err.Error())})
	}
	return f.core.Installed(now, version)
}

// oneLine returns a text as one line, truncated to configfeed.MaxReasonBytes.
func oneLine(text string) string {
	text = strings.Join(strings.Fields(text), " ")
	return strings.ToValidUTF8(text[:min(len(text), configfeed.MaxReasonBytes)], "")
}
