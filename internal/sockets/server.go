package sockets

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
)

const (
	maxWaitingEvents = 1024                   // events of each priority that may wait for the loop
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

	events     chan event   // results that a client or the node itself waits for
	lineEvents chan event   // results of reads and writes with a low priority
	queries    chan query   // separate from events, so that many events cannot delay an operator's query
	turns      turns        // shares the loop's time among them
	pending    []node.Input // results of effects that were carried out at once, not yet passed to the core

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

func (s *server) sendEvent(e event) { s.sendTo(s.events, e) }

// sendResult hands the result of a read or a write to the loop, unless the loop has ended.
func (s *server) sendResult(input node.Input, lowPriority bool) {
	to := s.events
	if lowPriority {
		to = s.lineEvents
	}
	s.sendTo(to, event{input: input})
}

func (s *server) sendTo(to chan<- event, e event) {
	select {
	case to <- e:
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
