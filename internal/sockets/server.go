package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

const (
	maxWaitingEvents = 1024                   // events that may wait for the loop
	retryPause       = 100 * time.Millisecond // between attempts to listen on an address or to get the predecessor's answer
)

// errDone ends the errgroup when the core asks the process to exit.
var errDone = errors.New("graceful shutdown complete")

// server is one process of a node. Only the loop uses its fields, apart from the channels and the fields that are set
// before the loop begins and never change.
type server struct {
	core   *node.Node
	config Config
	log    zerolog.Logger
	group  *errgroup.Group // owns every goroutine
	ctx    context.Context // the group's; done once the loop has ended
	clock  clock
	timer  *time.Timer // set by the effect node.SetTimer

	events  chan event
	queries chan query   // separate from events, so that many events cannot delay an operator's query
	pending []node.Input // results of effects that were carried out at once, not yet passed to the core

	queryReply    chan<- node.Reply           // for the reply to the query that the core is processing
	settingsReply chan<- node.SettingsApplied // for the result of the revision that the core is processing

	listener    clientListener
	connections map[node.ConnID]*connection
	lastConn    node.ConnID // number of the last connection accepted or inherited
	upgrade     upgrade
	discovery   discoveryWatch
	gossip      chan []peers.HostLoad // load gossip to be sent to the other nodes; nil if this node sends none
	fleet       view.Membership       // nil for a node that belongs to no fleet

	shuttingDown bool // a graceful shutdown has begun
}

// event is what a goroutine hands to the loop: an input for the core or, if the server's own state is involved, a step
// that the loop runs and that may return an input.
type event struct {
	input node.Input
	step  func() node.Input // nil for none
}

// resolve returns the event's input, or nil if there is none. Only the loop calls it.
func (e event) resolve() node.Input {
	if e.step != nil {
		return e.step()
	}
	return e.input
}

// send hands an input for the core to the loop, unless the loop has ended.
func (s *server) send(input node.Input) { s.sendEvent(event{input: input}) }

// do has the loop run a step, unless the loop has ended.
func (s *server) do(step func() node.Input) { s.sendEvent(event{step: step}) }

func (s *server) sendEvent(e event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// clock adds the monotonic time since the start of the process to the system time at the start. It never runs backwards.
type clock struct {
	start time.Time
	base  float64 // start, in seconds of Unix time
}

func newClock() clock {
	start := time.Now()
	return clock{start: start, base: float64(start.UnixNano()) / 1e9}
}

// now returns the Unix time in seconds.
func (c clock) now() float64 { return c.base + time.Since(c.start).Seconds() }

// pause waits for a duration. It returns false if the context ended first.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// loop passes inputs to the core until the core asks the process to exit, in which case it returns errDone, or until the
// context ends. It then closes all connections and listeners.
func (s *server) loop(shutdown <-chan os.Signal) error {
	defer s.closeAll()
	for {
		if !s.applyDeferred() {
			return errDone
		}
		input, err := s.nextInput(shutdown)
		if err != nil {
			return err
		}
		if input != nil && !s.apply(input) {
			return errDone
		}
	}
}

// applyDeferred opens the listener if that is due, and notifies the core of connections that could not be sent to the
// successor. It returns false if the process is to exit.
func (s *server) applyDeferred() bool {
	if s.listener.openPending {
		s.listener.openPending = false
		s.startAccepting()
		if !s.apply(node.ListenerOpened{Replaces: s.listener.steering.active()}) {
			return false
		}
	}
	for ; len(s.upgrade.unsent) > 0; s.upgrade.unsent = s.upgrade.unsent[1:] {
		if !s.apply(node.ConnectionSent{Conn: s.upgrade.unsent[0]}) {
			return false
		}
	}
	return true
}

// nextInput waits for the next event, client, query, timer or signal. The input is nil if the core need not know of it;
// the error is the context's.
func (s *server) nextInput(shutdown <-chan os.Signal) (node.Input, error) {
	accepted := s.listener.accepted
	if len(s.events) > 0 { // clients that are already accepted are served before new ones
		accepted = nil
	}
	select {
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	case <-shutdown:
		return s.beginShutdown(), nil
	case <-s.timer.C:
		return node.TimerFired{}, nil
	case socket := <-accepted:
		return s.acceptConnection(socket), nil
	case e := <-s.events:
		return e.resolve(), nil
	case q := <-s.queries:
		s.queryReply = q.reply
		return q.Query, nil
	}
}

func (s *server) beginShutdown() node.Input {
	s.log.Info().Msg("graceful shutdown begins")
	if s.fleet != nil && !s.upgrade.handedOver {
		s.fleet.Leave()
	}
	s.shuttingDown = true
	s.steerBack()
	return node.Shutdown{}
}

func (s *server) acceptConnection(socket *net.TCPConn) node.Input {
	s.lastConn += 2
	s.addConnection(s.lastConn, socket)
	return node.Accepted{Conn: s.lastConn}
}

// apply passes one input to the core and carries out the effects. It then passes on the inputs that those effects caused
// at once, in order. It returns false if the process is to exit.
func (s *server) apply(input node.Input) bool {
	s.pending = s.pending[:0]
	for next := 0; ; next++ {
		for _, effect := range s.core.Apply(s.clock.now(), input) {
			if !s.perform(effect) {
				return false
			}
		}
		if next == len(s.pending) {
			return true
		}
		input = s.pending[next]
	}
}

func (s *server) closeAll() {
	for _, c := range s.connections {
		c.close(false)
	}
	s.closeListeners()
}

// closeListeners closes the listeners for clients and successors, and the link to the predecessor.
func (s *server) closeListeners() {
	if s.listener.socket != nil {
		s.listener.socket.Close()
	}
	s.upgrade.close()
}
