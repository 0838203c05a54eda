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
	maxWaitingEvents = 1024                   // that may wait for the loop
	retryPause       = 100 * time.Millisecond // between attempts to get an address or the predecessor's answer
)

// errDone ends the errgroup once the core has nothing left to do.
var errDone = errors.New("nothing is left to do")

// server is one process of a node. Its fields belong to the loop, except for those that are set before the loop begins
// and the channels.
type server struct {
	core   *node.Node
	config Config
	log    zerolog.Logger
	group  *errgroup.Group // owns every goroutine
	ctx    context.Context // the group's; done once the loop has ended
	clock  clock
	timer  *time.Timer // of node.SetTimer

	events  chan event
	queries chan query   // apart from events, so that many of them cannot hold up an operator's query
	pending []node.Input // results of effects that were carried out at once, not yet given to the core

	queryReply    chan<- node.Reply           // of the query that the core has now
	settingsReply chan<- node.SettingsApplied // of the revision that the core has now

	listener    clientListener
	connections map[node.ConnID]*connection
	lastConn    node.ConnID // number of the last connection accepted or inherited
	upgrade     upgrade
	discovery   discoveryWatch
	gossip      chan []peers.HostLoad // to the other nodes; nil where nodes send none
	fleet       view.Part             // nil for a node on its own
}

// event is what a goroutine hands to the loop: an input for the core or, where the loop's own state takes part, a step
// that runs in the loop and may give an input.
type event struct {
	input node.Input
	step  func() node.Input // nil for none
}

// resolve gives the event's input; nil for none. The loop alone calls it.
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

// clock is the system's clock at the start of the process and the time that has passed since: it never goes back.
type clock struct {
	start time.Time
	base  float64 // start, in seconds of Unix time
}

func newClock() clock {
	start := time.Now()
	return clock{start: start, base: float64(start.UnixNano()) / 1e9}
}

// now gives seconds of Unix time.
func (c clock) now() float64 { return c.base + time.Since(c.start).Seconds() }

// pause waits; it gives false if the context ended before.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// loop gives the core its inputs until the core has nothing left to do, which is errDone, or the context ends. It frees
// all connections and listeners at its end.
func (s *server) loop(shutdown <-chan os.Signal) error {
	defer s.closeAll()
	for {
		if !s.applyOwed() {
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

// applyOwed opens the listener if that is due, and tells the core which connections could not be sent to the successor.
// It gives false if nothing is left to do.
func (s *server) applyOwed() bool {
	if s.listener.openPending {
		s.listener.openPending = false
		s.startAccepting()
		if !s.apply(node.ListenerOpened{}) {
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

// nextInput waits for the next thing that happens. The input is nil where it is of no concern to the core; the error is
// the context's.
func (s *server) nextInput(shutdown <-chan os.Signal) (node.Input, error) {
	accepted := s.listener.accepted
	if len(s.events) > 0 { // clients that are in come before further ones
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
	return node.Shutdown{}
}

func (s *server) acceptConnection(socket *net.TCPConn) node.Input {
	s.lastConn += 2
	s.addConnection(s.lastConn, socket)
	return node.Accepted{Conn: s.lastConn}
}

// apply gives one input to the core and carries out the effects, and then does the same with what came of the effects
// at once. It gives false if nothing is left to do.
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
