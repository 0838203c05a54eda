package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"gorseledge/internal/node"
)

const acceptRetryPause = 5 * time.Millisecond // after a failed accept

// longPast is a deadline in the past: it ends a read or an accept in progress at once.
var longPast = time.Unix(1, 0)

// clientListener accepts the connections of clients. The accepting goroutine shares its channels and stop with the loop;
// only the loop uses the other fields.
type clientListener struct {
	socket   *net.TCPListener            // nil until the process listens
	accepted chan *net.TCPConn           // unbuffered, so that no accepted socket waits there without being counted by the core
	resume   chan struct{}               // wakes the accepting goroutine after a deadline
	stop     atomic.Pointer[stopRequest] // what the accepting goroutine does at a deadline; nil to go on

	coreReady   bool // the core has asked for the listener to be opened
	openPending bool // the loop is to begin accepting before it handles the next input
	opened      bool // accepting has begun
	closing     bool // accepting does not begin any more

	steering steering // of new connections, if another process listens on the address
}

// stopRequest asks the accepting goroutine to stop accepting. The goroutine calls done, once, when it has handed every
// client that it accepted to the loop.
type stopRequest struct {
	close    bool // accept the clients in the queue, and close the socket
	done     func()
	reported sync.Once
}

func newClientListener() clientListener {
	return clientListener{accepted: make(chan *net.TCPConn), resume: make(chan struct{}, 1)}
}

// accept hands the sockets of new clients to the loop until the listener's socket is closed or the context ends. When a
// deadline set on the socket passes, it carries out the stop request.
func (l *clientListener) accept(ctx context.Context, socket *net.TCPListener, log zerolog.Logger) error {
	for {
		err := l.acceptOne(ctx, socket)
		switch {
		case err == nil:
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			stop := l.stop.Load() // nil if accepting was resumed in the meantime
			if stop != nil && !l.carryOut(ctx, stop, socket, log) {
				return nil
			}
		default:
			if !pauseAfterFailure(ctx, err, log) {
				return nil
			}
		}
	}
}

// carryOut carries out a stop request. It returns true when accepting is resumed, and false if the listener is closed or
// the context has ended.
func (l *clientListener) carryOut(ctx context.Context, stop *stopRequest, socket *net.TCPListener, log zerolog.Logger) bool {
	if stop.close {
		l.acceptQueue(ctx, socket, log)
		socket.Close()
	}
	stop.reported.Do(stop.done)
	if stop.close {
		return false
	}
	select {
	case <-l.resume:
		return true
	case <-ctx.Done():
		return false
	}
}

// acceptOne accepts one client and hands its socket to the loop.
func (l *clientListener) acceptOne(ctx context.Context, socket *net.TCPListener) error {
	client, err := socket.AcceptTCP()
	if err != nil {
		return err
	}
	select {
	case l.accepted <- client:
	case <-ctx.Done():
		client.Close()
	}
	return nil
}

// acceptQueue accepts clients until none waits in the listener's queue, and logs how many there were.
func (l *clientListener) acceptQueue(ctx context.Context, socket *net.TCPListener, log zerolog.Logger) {
	socket.SetDeadline(time.Time{})
	clients := 0
	for ctx.Err() == nil && clientWaits(socket) {
		if err := l.acceptOne(ctx, socket); err == nil {
			clients++
		} else if !pauseAfterFailure(ctx, err, log) {
			return
		}
	}
	log.Info().Int("clients", clients).Msg("listener closed after its queue was accepted")
}

// pauseAfterFailure logs that an accept failed, because the process has no descriptor left at the moment or the client has
// already gone, and pauses before the next one. It returns false if the context ended.
func pauseAfterFailure(ctx context.Context, err error, log zerolog.Logger) bool {
	log.Warn().Err(err).Msg("accepting a client connection failed")
	return pause(ctx, acceptRetryPause)
}

// clientWaits reports whether a client waits in a listener's queue.
func clientWaits(socket *net.TCPListener) bool {
	raw, err := socket.SyscallConn()
	return err == nil && pollEvents(raw, unix.POLLIN)&unix.POLLIN != 0
}

// suspend stops accepting, so that another process accepts the clients in the queue. The accepting goroutine then calls
// done.
func (l *clientListener) suspend(done func()) { l.requestStop(&stopRequest{done: done}) }

// unsuspend resumes accepting after suspend.
func (l *clientListener) unsuspend() {
	l.stop.Store(nil)
	l.socket.SetDeadline(time.Time{})
	l.wake()
}

// closeAfterQueue accepts the clients in the queue and then closes the socket. The accepting goroutine then calls done.
func (l *clientListener) closeAfterQueue(done func()) {
	l.requestStop(&stopRequest{close: true, done: done})
}

func (l *clientListener) requestStop(request *stopRequest) {
	l.stop.Store(request)
	l.socket.SetDeadline(longPast)
	l.wake()
}

func (l *clientListener) wake() {
	select {
	case l.resume <- struct{}{}:
	default:
	}
}

// openListener begins accepting once the core is ready to serve. It first asks a predecessor to stop accepting, so that
// the two processes do not accept at the same time. If another process listens on the address, it waits for its turn.
func (s *server) openListener() {
	s.listener.coreReady = true
	switch {
	case s.upgrade.predecessor != nil:
		s.requestClients()
	case s.listener.socket != nil:
		s.listener.openPending = true
	default:
		s.group.Go(func() error {
			if socket := listenShared(s.ctx, s.config.Listen); socket != nil {
				s.do(func() node.Input { return s.listenOn(socket) })
			}
			return nil
		})
	}
}

// listenOn begins accepting on a socket that this process opened itself, beside the process that serves the address. New
// clients reach this process alone from now on; without that, those that the kernel assigns to the other process are
// rejected when it shuts down. A process that shuts down itself leaves the clients to the other one.
func (s *server) listenOn(socket *net.TCPListener) node.Input {
	if s.shuttingDown {
		socket.Close()
		return nil
	}
	l := &s.listener
	l.socket = socket
	err := l.steering.steerHere(socket)
	switch {
	case err != nil:
		s.log.Warn().Err(err).Msg("new clients not directed to this process alone: " +
			"the other process accepts a share of them until it closes its listener")
	case l.steering.active():
		s.log.Info().Int("other_listeners", len(l.steering.others)).Msg("new clients directed to this process alone")
	}
	return s.openWithoutPredecessor()
}

// steerBack directs new clients to the process that served the address before this one, if it still does.
func (s *server) steerBack() {
	l := &s.listener
	if l.socket == nil {
		return
	}
	if steered, err := l.steering.steerBack(l.socket); err != nil {
		s.log.Warn().Err(err).Msg("new clients not directed back to the other process")
	} else if steered {
		s.log.Info().Msg("new clients directed back to the other process")
	}
}

// openWithoutPredecessor begins accepting without waiting any longer for the predecessor's answer.
func (s *server) openWithoutPredecessor() node.Input {
	s.listener.requestOpen()
	return nil
}

// requestOpen has the loop begin accepting, unless accepting has begun or the listener is being closed.
func (l *clientListener) requestOpen() { l.openPending = !l.opened && !l.closing }

// startAccepting begins to accept clients, and lets a successor connect to this process.
func (s *server) startAccepting() {
	s.listener.opened = true
	if s.fleet != nil {
		s.fleet.SetReady(true)
		s.fleet.Follow()
	}
	s.runAccept()
	s.offerHandover()
}

// runAccept starts the accepting goroutine.
func (s *server) runAccept() {
	socket := s.listener.socket
	s.group.Go(func() error { return s.listener.accept(s.ctx, socket, s.log) })
}

// closeListener accepts the clients in the queue and then closes the listener. If accepting has not begun and another
// process serves the address, the clients are left to that process.
func (s *server) closeListener() {
	l := &s.listener
	l.closing = true
	l.openPending = false
	hasClients := l.opened || l.socket != nil && s.upgrade.predecessor == nil
	if !hasClients {
		s.pending = append(s.pending, node.ListenerClosed{})
		return
	}
	l.closeAfterQueue(func() { s.send(node.ListenerClosed{}) })
	if !l.opened {
		s.runAccept()
	}
}
