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
)

// Times of a server.
const (
	receiveTimeout  = 5 * time.Second // for a request to come whole
	sendTimeout     = 5 * time.Second // for an answer to be taken
	idleTimeout     = time.Minute     // of a connection without a request
	shutdownTimeout = 2 * time.Second // for what is under way to be answered at the end
)

const maxHeaderBytes = 4 << 10 // of a request, beside what net/http adds

// Store keeps what a server promises.
type Store interface {
	// Save returns once the disk has a state and the revisions that lead to it; without revisions the state takes the
	// place of all before it.
	Save(state configfeed.State, added []configfeed.Revision) error
	// At returns the state as of a version, or configfeed.ErrOutOfReach.
	At(v configfeed.Version) (configfeed.State, error)
}

// ServerOptions are what a control server is made of.
type ServerOptions struct {
	Fleet  string                  // id of the fleet
	Keys   [][]byte                // of the fleet; the first one signs
	Config configfeed.ServerConfig // name, servers and writer
	Via    map[string]string       // where another server's address is reached, if that is elsewhere
	Log    zerolog.Logger
	Store  Store
	Stored configfeed.Stored // what the store held at the start
	// Check says why entries can not be configuration; nil takes all.
	Check func([]configfeed.Entry) error
}

// Server is a control server: the core, its requests, its disk and what it answers.
type Server struct {
	options       ServerOptions
	authenticator *authenticator
	core          *configfeed.Server
	loop          *loop[configfeed.ServerEffect]
	poller        *poller
	saves         chan configfeed.Save
	stopping      chan struct{} // closed when held polls are to be ended
	counters      serverCounters
	applies       chan struct{} // has room for the applies that are read at once

	// Owned by the loop's goroutine.
	lastRequest uint64
	polls       map[uint64]chan<- encodedAnswer
	proposals   map[uint64]chan<- configfeed.Outcome
	encoded     updateCache
	observer    observer
}

// NewServer returns a server that does nothing until it serves.
func NewServer(o ServerOptions) *Server {
	s := &Server{options: o, authenticator: &authenticator{fleet: o.Fleet, keys: o.Keys},
		saves: make(chan configfeed.Save, 1), stopping: make(chan struct{}), applies: make(chan struct{}, maxApplies),
		polls: map[uint64]chan<- encodedAnswer{}, proposals: map[uint64]chan<- configfeed.Outcome{}}
	clock := newClock()
	s.core = configfeed.NewServer(clock.now(), o.Config, o.Stored)
	s.loop = newLoop(clock, s.core, s.carryOut, s.logStatus)
	s.poller = newPoller(newCaller(s.authenticator, o.Via), o.Log, s.polled)
	s.observer = observer{log: o.Log, majority: len(o.Config.Servers)/2 + 1, diverged: map[string]bool{}}
	return s
}

// Serve answers requests that come to the listener until the context ends, and closes it. It can be called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: receiveTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0), DisableGeneralOptionsHandler: true}
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	var running sync.WaitGroup
	running.Go(func() { s.loop.run(loopContext) })
	running.Go(s.saveAll)
	serving := make(chan error, 1)
	running.Go(func() { serving <- server.Serve(listener) })
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

// shutDown ends held polls, so that their followers turn to other servers, and lets other requests be answered.
func (s *Server) shutDown(server *http.Server) {
	close(s.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Shutdown(ctx)
	server.Close()
}

// saveAll carries out saves, one after the other, beside the loop.
func (s *Server) saveAll() {
	for save := range s.saves {
		err := s.options.Store.Save(save.State, save.Revisions)
		s.observer.logSave(save, err)
		s.loop.post(func(now float64) []configfeed.ServerEffect { return s.core.Saved(now, save.ID, err) })
	}
}

func (s *Server) carryOut(e configfeed.ServerEffect) []configfeed.ServerEffect {
	switch e := e.(type) {
	case configfeed.SendPoll:
		s.poller.send(e)
	case configfeed.CancelPoll:
		s.poller.cancel(e.Request)
	case configfeed.Save:
		s.saves <- e // has room: there is one at a time
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

// answerPoll hands an answer to the request that holds the poll, if it is still there.
func (s *Server) answerPoll(e configfeed.AnswerPoll) {
	answer, found := s.polls[e.Request]
	if !found {
		return
	}
	delete(s.polls, e.Request)
	encoded, err := s.encoded.encode(e.Update)
	if err != nil {
		s.options.Log.Error().Err(err).Msg("an answer that is no JSON")
	}
	answer <- encoded
}

// polled takes the end of this server's own poll on the poll's goroutine.
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

// logStatus looks at what operators are told of by the log.
func (s *Server) logStatus(now float64) {
	if s.observer.due(now) {
		s.observer.update(now, s.core.Status(now))
	}
}
