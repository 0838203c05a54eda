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

// query is an operator's query for the core, which replies to it at once. The channel has room for the reply.
type query struct {
	node.Query
	reply chan<- node.Reply
}

// ask puts a query to the core; it gives false if a context ended before the reply.
func (s *server) ask(ctx context.Context, q node.Query) (node.Reply, bool) {
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

// openAdmin opens the second address, if the config names one. Under the same config the predecessor has it: then this
// process gets it once that one is gone.
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

// openAdminLater serves at the second address as soon as it is free.
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
	s.log.Info().Str("admin_addr", listener.Addr().String()).Int("callers", maxConnections).Msg("admin address")
	return admin.Serve(ctx, listener, maxConnections, s.ask, s.fleetView())
}

// fleetView gives what the second address shows of the fleet; nil for a node on its own.
func (s *server) fleetView() func() view.View {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.View
}
