package feedhttp

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/connlimit"
)

// Timeouts of a control server.
const (
	receiveTimeout  = 5 * time.Second // until a request has been received completely
	sendTimeout     = 5 * time.Second // until the client has received an answer
	idleTimeout     = time.Minute     // until a connection without a request is closed
	shutdownTimeout = 2 * time.Second // until the requests in flight are aborted at shutdown
)

// maxUnknownConnections is how many connections may be open on which no authentic request was received yet. Each may hold a
// head of many fields, of some hundred kilobytes in memory, and a body.
const maxUnknownConnections = 128

// maxHeaderBytes bounds the header of a request; net/http accepts a few kilobytes more than this.
const maxHeaderBytes = 4 << 10

// Store is the durable log of a control server.
type Store interface {
	// Save returns once a state and the revisions that lead to it are on disk. Without revisions, the state replaces
	// the one on disk. It is called by one goroutine at a time.
	Save(state configfeed.State, added []configfeed.Revision) error
	// At returns the state as of a version, or configfeed.ErrRevisionNotFound. It may be called concurrently.
	At(v configfeed.Version) (configfeed.State, error)
}

// ServerOptions configure a control server.
type ServerOptions struct {
	Fleet  string                  // identifier of the fleet
	Keys   [][]byte                // keys of the fleet: the first one signs, any of them is accepted
	Config configfeed.ServerConfig // the server's name, the list of all servers, and the writer
	Via    map[string]string       // maps another server's address to the one to dial instead; may be nil
	Log    zerolog.Logger
	Store  Store
	Stored configfeed.StoredLog // content of the store when the server starts
	// Check returns an error if proposed entries are not a valid configuration. If it is nil, all entries are accepted.
	Check func([]configfeed.Entry) error
}

// Server is a control server. It passes requests, results of saves and answers of other servers to a configfeed.Server, its
// core, and carries out the effects that the core returns.
type Server struct {
	options       ServerOptions
	authenticator *authenticator
	core          *configfeed.Server
	loop          *loop[configfeed.ServerEffect]
	poller        *poller
	saves         chan configfeed.Save
	stopping      chan struct{} // closed at shutdown, to end the held polls
	counters      serverCounters
	applySlots    chan struct{} // holds one element for each apply call in progress

	// The fields below are used by the loop's goroutine only.
	lastRequest uint64                               // number of the newest poll or proposal
	polls       map[uint64]chan<- encodedAnswer      // held polls by request number
	proposals   map[uint64]chan<- configfeed.Outcome // proposals without an outcome yet, by request number
	encoded     updateCache
	observer    observer
}

// NewServer returns a server that is idle until Serve is called.
func NewServer(o ServerOptions) *Server {
	s := &Server{
		options:       o,
		authenticator: &authenticator{fleet: o.Fleet, keys: o.Keys},
		saves:         make(chan configfeed.Save, 1),
		stopping:      make(chan struct{}),
		applySlots:    make(chan struct{}, maxApplies),
		polls:         map[uint64]chan<- encodedAnswer{},
		proposals:     map[uint64]chan<- configfeed.Outcome{},
	}
	clock := newClock()
	s.core = configfeed.NewServer(clock.now(), o.Config, o.Stored)
	s.loop = newLoop(clock, s.core, s.carryOut, s.logStatus)
	s.poller = newPoller(newCaller(s.authenticator, o.Via), o.Log, s.polled)
	s.observer = observer{log: o.Log, majority: len(o.Config.Servers)/2 + 1, diverged: map[string]bool{}}
	return s
}

// Serve answers the requests that arrive at a listener until the context ends, then closes the listener and returns nil.
// If the listener fails first, Serve returns its error. It can be called once. All goroutines of the server have ended
// when it returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	limited := connlimit.New(listener, maxUnknownConnections)
	server := &http.Server{
		Handler:                      s.handler(),
		ConnContext:                  connlimit.ConnContext,
		ConnState:                    limited.ConnState,
		ReadHeaderTimeout:            receiveTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     log.New(io.Discard, "", 0),
		DisableGeneralOptionsHandler: true,
	}
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	var running sync.WaitGroup
	running.Go(func() { s.loop.run(loopContext) })
	running.Go(s.saveAll)
	serving := make(chan error, 1)
	running.Go(func() { serving <- server.Serve(limited) })
	var err error
	select {
	case err = <-serving:
	case <-ctx.Done():
	}
	s.shutDown(server)
	stopLoop()
	<-s.loop.stopped
	close(s.saves)
	running.Wait()
	s.poller.stop()
	return err
}

// shutDown ends held polls, so that their followers switch to other servers, and waits up to shutdownTimeout for the
// other requests in flight.
func (s *Server) shutDown(server *http.Server) {
	close(s.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Shutdown(ctx)
	server.Close()
}

// saveAll writes saves to the store, one after the other, until the channel is closed. It runs on its own goroutine.
func (s *Server) saveAll() {
	for save := range s.saves {
		err := s.options.Store.Save(save.State, save.Revisions)
		s.observer.logSave(save, err)
		s.loop.post(func(now float64) []configfeed.ServerEffect { return s.core.Saved(now, save.ID, err) })
	}
}

// carryOut carries out one effect of the core. It returns nil, since no server effect leads to further ones.
func (s *Server) carryOut(e configfeed.ServerEffect) []configfeed.ServerEffect {
	switch e := e.(type) {
	case configfeed.SendPoll:
		s.poller.send(e)
	case configfeed.CancelPoll:
		s.poller.cancel(e.Request)
	case configfeed.Save:
		s.saves <- e // does not block: the core requests one save at a time
	case configfeed.AnswerPoll:
		s.answerPoll(e)
	case configfeed.AnswerProposal:
		if answer, found := s.proposals[e.Request]; found {
			answer <- e.Outcome
			delete(s.proposals, e.Request)
		}
	}
	return nil
}

// answerPoll encodes an update and passes it to the held poll that it answers, unless that poll has already ended.
func (s *Server) answerPoll(e configfeed.AnswerPoll) {
	answer, found := s.polls[e.Request]
	if !found {
		return
	}
	delete(s.polls, e.Request)
	encoded, err := s.encoded.encode(e.Update)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("encoding the answer to a poll failed")
	}
	answer <- encoded
}

// polled reports the result of a poll that this server sent to another server. It runs on the poll's goroutine.
func (s *Server) polled(request uint64, u configfeed.Update, err error) {
	s.loop.post(func(now float64) []configfeed.ServerEffect {
		switch {
		case !s.poller.finish(request, err):
			return nil
		case err != nil:
			return s.core.Failed(now, request)
		}
		return s.core.Answered(now, request, u)
	})
}

// logStatus logs changes of the server's status, checked once per observerInterval.
func (s *Server) logStatus(now float64) {
	if s.observer.due(now) {
		s.observer.update(now, s.core.Status(now))
	}
}
