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
	backlogTime      = time.Millisecond     // to accept those who wait already, before the listener closes
)

// longPast is a deadline that ends a call under way at once.
var longPast = time.Unix(1, 0)

// clientListener is where clients connect. Its channels and closing are shared with the goroutine that accepts; the
// rest is the loop's.
type clientListener struct {
	socket   *net.TCPListener  // nil until there is one
	accepted chan *net.TCPConn // unbuffered: no socket waits in it that the core does not count yet
	resume   chan struct{}     // wakes the accepting goroutine after a deadline
	closing  atomic.Bool       // the accepting goroutine is to close the socket at the next deadline

	coreReady   bool // the core could serve clients
	openPending bool // accepting is to begin before the next input
	opened      bool // accepting has begun
}

func newClientListener() clientListener {
	return clientListener{accepted: make(chan *net.TCPConn), resume: make(chan struct{}, 1)}
}

// accept hands the sockets of new clients to the loop until the socket is closed or the context ends. A deadline of the
// socket pauses it until wake is called.
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
		default: // no descriptor for now, or the client is gone already
			log.Warn().Err(err).Msg("accept")
			if !pause(ctx, acceptRetryPause) {
				return nil
			}
		}
	}
}

// suspend stops accepting: who waits is accepted by another process.
func (l *clientListener) suspend() { l.socket.SetDeadline(longPast) }

// unsuspend goes on accepting.
func (l *clientListener) unsuspend() {
	l.socket.SetDeadline(time.Time{})
	l.wake()
}

// closeAfterBacklog accepts those who wait already and then closes the socket.
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

// openListener opens the listener of a process whose core can serve. A predecessor is asked for the clients first, so
// that the two processes do not accept at the same time.
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

// listenOn opens the listener on a socket of this process's own.
func (s *server) listenOn(socket *net.TCPListener) node.Input {
	s.listener.socket = socket
	return s.openWithoutPredecessor()
}

// openWithoutPredecessor opens the listener without waiting for the predecessor any longer.
func (s *server) openWithoutPredecessor() node.Input {
	s.listener.openPending = !s.listener.opened
	return nil
}

// startAccepting begins to accept clients, and to be found by a successor.
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

// closeListener ends the accepting of clients once those who wait are accepted. Without a second address no other
// process can share the clients' address, and the listener stays open.
func (s *server) closeListener() {
	if s.config.AdminAddress == "" || !s.listener.opened || s.upgrade.handedOver {
		return
	}
	s.listener.closeAfterBacklog()
}
