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
	receiveTimeout  = 5 * time.Second // for a request to arrive completely
	sendTimeout     = 5 * time.Second // for an answer to be received
	idleTimeout     = time.Minute     // of a connection without a request
	shutdownTimeout = 2 * time.Second // for the requests in flight to be answered at the end
)

// maxHeaderBytes bounds the header of a request; net/http adds some slack.
const maxHeaderBytes = 4 << 10

// Store is the durable log of a server.
type Store interface {
	// Save returns when the disk has a state and the revisions that lead to it; without revisions the state replaces
	// all before it. It is called by one goroutine at a time.
	Save(state configfeed.State, added []configfeed.Revision) error
	// At returns the state as of a version, or configfeed.ErrRevisionNotFound. Several goroutines may call it.
	At(v configfeed.Version) (configfeed.State, error)
}

// ServerOptions configure a control server.
type ServerOptions struct {
	Fleet  string                  // identifier of the fleet
	Keys   [][]byte                // of the fleet; the first one signs
	Config configfeed.ServerConfig // name, servers and writer
	Via    map[string]string       // address to dial in place of another server's address; nil for none
	Log    zerolog.Logger
	Store  Store
	Stored configfeed.Stored // what the store held at the start
	// Check returns why entries cannot be a configuration; nil accepts all.
	Check func([]configfeed.Entry) error
}

// Server is a control server: it runs the core with its requests, its store and the polls of followers.
type Server struct {
	options       ServerOptions
	authenticator *authenticator
	core          *configfeed.Server
	loop          *loop[configfeed.ServerEffect]
	poller        *poller
	saves         chan configfeed.Save
	stopping      chan struct{} // closed when held polls are to end
	counters      serverCounters
	applySlots    chan struct{} // holds an element for each apply in progress

	// Owned by the loop's goroutine.
	lastRequest uint64
	polls       map[uint64]chan<- encodedAnswer      // that are held, by request
	proposals   map[uint64]chan<- configfeed.Outcome // that wait for their outcome, by request
	encoded     updateCache
	observer    observer
}

// NewServer returns a server that does nothing until Serve.
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

// Serve answers the requests of a listener until the context ends, and closes it. The error is that of the listener, nil
// after the end of the context. It can be called once. All goroutines of the server have ended when it returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:                      s.handler(),
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

// shutDown ends held polls, so that their followers switch to other servers, and waits for the other requests.
func (s *Server) shutDown(server *http.Server) {
	close(s.stopping)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	server.Shutdown(ctx)
	server.Close()
}

// saveAll carries out saves one after the other, on a goroutine of its own, until the channel is closed.
func (s *Server) saveAll() {
	for save := range s.saves {
		err := s.options.Store.Save(save.State, save.Revisions)
		s.observer.logSave(save, err)
		s.loop.post(func(now float64) []configfeed.ServerEffect { return s.core.Saved(now, save.ID, err) })
	}
}

// carryOut carries out one effect. No effects follow from it.
func (s *Server) carryOut(e configfeed.ServerEffect) []configfeed.ServerEffect {
	switch e := e.(type) {
	case configfeed.SendPoll:
		s.poller.send(e)
	case configfeed.CancelPoll:
		s.poller.cancel(e.Request)
	case configfeed.Save:
		s.saves <- e // does not block: there is one at a time
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

// answerPoll passes an answer to the request that waits for it, if that has not ended.
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

// polled reports the result of this server's own poll to the core. It runs on the poll's goroutine.
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

// logStatus logs the changes of the server's status.
func (s *Server) logStatus(now float64) {
	if s.observer.due(now) {
		s.observer.update(now, s.core.Status(now))
	}
}
