package sockets

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gorseledge/internal/node"
)

const (
	acceptRetryPause = 5 * time.Millisecond // after a failed accept
	backlogTime      = time.Millisecond     // to accept the clients in the backlog, before the listener closes
)

// longPast is a deadline in the past: it ends a read or an accept in progress at once.
var longPast = time.Unix(1, 0)

// clientListener accepts the connections of clients. The accepting goroutine shares its channels and closing with the
// loop; only the loop uses the other fields.
type clientListener struct {
	socket   *net.TCPListener  // nil until the process listens
	accepted chan *net.TCPConn // unbuffered, so that no accepted socket waits there without being counted by the core
	resume   chan struct{}     // wakes the accepting goroutine after a deadline
	closing  atomic.Bool       // the accepting goroutine closes the socket at the next deadline

	coreReady   bool // the core has asked for the listener to be opened
	openPending bool // the loop is to begin accepting before it handles the next input
	opened      bool // accepting has begun
}

func newClientListener() clientListener {
	return clientListener{accepted: make(chan *net.TCPConn), resume: make(chan struct{}, 1)}
}

// accept hands the sockets of new clients to the loop until the listener's socket is closed or the context ends. When a
// deadline set on the socket passes, accepting pauses until wake is called.
func (l *clientListener) accept(ctx context.Context, socket *net.TCPListener, log zerolog.Logger) error {
	for {
		client, err := socket.AcceptTCP()
		switch {
		case err == nil:
			select {
			case l.accepted <- client:
			case <-ctx.Done():
				client.Close()
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			if l.closing.Load() {
				return socket.Close()
			}
			select {
			case <-l.resume:
			case <-ctx.Done():
				return nil
			}
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // the process has no descriptor left at the moment, or the client has already gone
			log.Warn().Err(err).Msg("accepting a client connection failed")
			if !pause(ctx, acceptRetryPause) {
				return nil
			}
		}
	}
}

// suspend stops accepting, so that another process accepts the clients in the backlog.
func (l *clientListener) suspend() { l.socket.SetDeadline(longPast) }

// unsuspend resumes accepting after suspend.
func (l *clientListener) unsuspend() {
	l.socket.SetDeadline(time.Time{})
	l.wake()
}

// closeAfterBacklog accepts the clients in the backlog and then closes the socket.
func (l *clientListener) closeAfterBacklog() {
	l.closing.Store(true)
	l.socket.SetDeadline(time.Now().Add(backlogTime))
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

// listenOn begins accepting on a socket that this process opened itself.
func (s *server) listenOn(socket *net.TCPListener) node.Input {
	s.listener.socket = socket
	return s.openWithoutPredecessor()
}

// openWithoutPredecessor begins accepting without waiting any longer for the predecessor's answer.
func (s *server) openWithoutPredecessor() node.Input {
	s.listener.openPending = !s.listener.opened
	return nil
}

// startAccepting begins to accept clients, and lets a successor connect to this process.
func (s *server) startAccepting() {
	s.listener.opened = true
	if s.fleet != nil {
		s.fleet.SetReady(true)
		s.fleet.Follow()
	}
	socket := s.listener.socket
	s.group.Go(func() error { return s.listener.accept(s.ctx, socket, s.log) })
	s.offerHandover()
}

// closeListener accepts the clients in the backlog and then closes the listener. Without an admin address, no other
// process can share the clients' address, and the listener stays open.
func (s *server) closeListener() {
	if s.config.AdminAddress == "" || !s.listener.opened || s.upgrade.handedOver {
		return
	}
	s.listener.closeAfterBacklog()
}
