package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"gorseledge/internal/admin"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/node"
)

// query is an operator's query for the core. The core replies at once; the channel is buffered, so that the loop does not
// block on it.
type query struct {
	node.Query
	reply chan<- node.Reply
}

// queryCore passes a query to the core and waits for the reply. It returns false if a context ends first.
func (s *server) queryCore(ctx context.Context, q node.Query) (node.Reply, bool) {
	reply := make(chan node.Reply, 1)
	select {
	case s.queries <- query{Query: q, reply: reply}:
	case <-ctx.Done():
		return node.Reply{}, false
	case <-s.ctx.Done():
		return node.Reply{}, false
	}
	select {
	case answer := <-reply:
		return answer, true
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return node.Reply{}, false
}

// openAdmin listens on the admin address, if the config names one. A predecessor with the same config uses that address
// until it ends; this process then listens on it later.
func (s *server) openAdmin(ctx context.Context) error {
	address := s.config.AdminAddress
	if address == "" {
		return nil
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if errors.Is(err, syscall.EADDRINUSE) && s.upgrade.predecessor != nil {
		s.group.Go(func() error { return s.openAdminLater(ctx, listenConfig) })
		return nil
	}
	if err != nil {
		return fmt.Errorf("admin_addr: %w", err)
	}
	s.group.Go(func() error { return s.serveAdmin(ctx, listener) })
	return nil
}

// openAdminLater serves the admin address as soon as the predecessor has freed it.
func (s *server) openAdminLater(ctx context.Context, listenConfig net.ListenConfig) error {
	for pause(ctx, retryPause) {
		listener, err := listenConfig.Listen(ctx, "tcp", s.config.AdminAddress)
		if err == nil {
			return s.serveAdmin(ctx, listener)
		}
	}
	return nil
}

func (s *server) serveAdmin(ctx context.Context, listener net.Listener) error {
	maxConnections := s.config.adminConnections()
	s.log.Info().Str("admin_addr", listener.Addr().String()).Int("callers", maxConnections).Msg("serving the admin address")
	return admin.Serve(ctx, listener, maxConnections, s.queryCore, s.fleetView())
}

// fleetView returns the function that the admin address uses to show the fleet, or nil for a node that belongs to none.
func (s *server) fleetView() func() view.View {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.View
}
