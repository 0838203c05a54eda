package sockets

import (
	"net"
	"os"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// upgrade is the state of the handovers from the predecessor and to the successor. Only the goroutine of the event loop
// accesses it.
type upgrade struct {
	path              string              // path of the Unix socket to which a successor connects; empty for none
	successorListener *net.UnixListener   // listener on that socket; nil while no successor can connect
	predecessor       *peerProcess        // nil if there is none
	successor         *peerProcess        // nil if there is none
	inherited         *node.HandoverState // state from the predecessor at the start; nil if there is none
	handedOver        bool                // the successor accepts the clients instead of this process
	hostSocket        *net.TCPConn        // host's socket of the connection that the core is restoring
	unsent            []node.ConnID       // connections that could not be queued for the successor
}

// inheritsRevision reports whether the predecessor has handed over a revision of the live settings. If it has not, it
// possibly does not follow the control servers.
func (u *upgrade) inheritsRevision() bool { return u.inherited != nil && u.inherited.Revision != nil }

// inProgress reports whether a handover is in progress, so that two processes share the memory granted to the node.
func (u *upgrade) inProgress() bool { return u.predecessor != nil || u.successor != nil }

// close closes the listener for successors and the link to the predecessor. The link to a successor is closed when the
// server's context ends (servePeerProcess).
func (u *upgrade) close() {
	if u.successorListener != nil {
		u.successorListener.Close()
		if !u.handedOver { // after a handover the path belongs to the successor
			os.Remove(u.path)
		}
	}
	if u.predecessor != nil {
		u.predecessor.link.Close()
	}
}

// requestClients asks the predecessor to stop accepting clients. If it does not answer within claimTimeout, this process
// begins accepting without the answer. The timeout has no effect if this process accepts clients by then.
func (s *server) requestClients() {
	s.upgrade.predecessor.post(outgoingMessage{Message: handover.Message{Request: handover.RequestClients}})
	s.group.Go(func() error {
		if pause(s.ctx, claimTimeout) {
			s.do(s.openWithoutPredecessor)
		}
		return nil
	})
}

// offerHandover listens for a successor, on a new listener if there is one already. If that fails, a new process can still
// be started, but without a handover. offerHandover does nothing if there is no path to listen on.
func (s *server) offerHandover() {
	if s.upgrade.path == "" {
		return
	}
	if s.upgrade.successorListener != nil {
		s.upgrade.successorListener.Close()
		s.upgrade.successorListener = nil
	}
	listener, err := handover.Listen(s.upgrade.path)
	if err != nil {
		s.log.Warn().Err(err).Msg("handover to a later version not available")
		return
	}
	s.upgrade.successorListener = listener
	s.group.Go(func() error {
		s.acceptSuccessors(listener)
		return nil
	})
}

// acceptSuccessors starts to serve each process that connects, until the listener is closed. It ignores a process to which
// no link can be set up.
func (s *server) acceptSuccessors(listener *net.UnixListener) {
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		if link, err := handover.NewLink(conn); err == nil {
			link.SetReadTimeout(claimTimeout)
			s.servePeerProcess(newPeerProcess(link))
		}
	}
}

// handlePeerMessage handles a message of a peer process. Messages arrive in the order in which they were sent. A message that
// the process may not send in its role, or not any more, is ignored.
func (s *server) handlePeerMessage(p *peerProcess, m incomingMessage) node.Input {
	u := &s.upgrade
	switch {
	case m.Update != nil && (p == u.predecessor || p == u.successor):
		return node.PeerProcessChanged{Update: *m.Update, From: u.roleOf(p)}
	case m.State != nil && p == u.predecessor && !s.listener.opened:
		s.listener.requestOpen()
		return node.HandoverReceived{State: m.State}
	case m.Transfer != nil:
		return s.inheritConnection(p, m)
	case m.Request == handover.RequestState && (u.successor != nil || !s.listener.opened):
		p.post(outgoingMessage{Message: handover.Message{Refusal: handover.RefusalBusy}})
	case m.Request == handover.RequestState:
		u.successor = p
		limitMemory(s.config.Limits.MemoryMB, true) // shared with the successor
		return node.Query{Question: node.ClaimHandover}
	case m.Request == handover.RequestClients && p == u.successor && !u.handedOver:
		s.handOverClients()
	}
	return nil
}

// handOverClients stops accepting, so that the successor accepts the clients in the queue. The core is told once it knows
// all clients that this process has accepted, unless the successor has ended by then.
func (s *server) handOverClients() {
	successor := s.upgrade.successor
	takeOver := func() node.Input {
		if s.upgrade.successor != successor {
			return nil
		}
		return node.Query{Question: node.TakeOver}
	}
	s.upgrade.handedOver = true
	if s.fleet != nil { // the node stays one member, which the successor represents from now on
		s.fleet.SetHandedOver(true)
	}
	s.listener.suspend(func() { s.do(takeOver) })
}

// reclaimClients resumes accepting after the end of a successor that had taken over the clients.
func (s *server) reclaimClients() {
	s.upgrade.handedOver = false
	if s.fleet != nil {
		s.fleet.SetHandedOver(false)
	}
	s.listener.unsuspend()
	s.offerHandover()
}

// postState sends the core's state to the successor. It also sends the listener for clients, unless the successor already
// accepts them.
func (s *server) postState(state *node.HandoverState) {
	m := outgoingMessage{Message: handover.Message{State: state}}
	if !s.upgrade.handedOver {
		m.listener = s.listener.socket
	}
	s.upgrade.successor.post(m)
}

// postUpdate sends an update of the core's state to the predecessor, the successor or both, if there are any.
func (s *server) postUpdate(e node.UpdatePeerProcess) {
	m := outgoingMessage{Message: handover.Message{Update: &e.Update}}
	if e.To != node.Successor {
		s.upgrade.predecessor.post(m) // post does nothing for nil
	}
	if e.To != node.Predecessor {
		s.upgrade.successor.post(m)
	}
}

// roleOf returns whether a process is the predecessor or the successor. It must be one of them.
func (u *upgrade) roleOf(p *peerProcess) node.Peer {
	if p == u.predecessor {
		return node.Predecessor
	}
	return node.Successor
}

// inheritConnection adds the client's socket of a connection that the predecessor transferred, and keeps the host's socket
// for bindHostConnection. If the sockets come from any other process, it closes them.
func (s *server) inheritConnection(p *peerProcess, m incomingMessage) node.Input {
	if p != s.upgrade.predecessor {
		m.client.Close()
		m.host.Close()
		return nil
	}
	s.lastConn += 2 // connections from clients have odd IDs
	s.addConnection(s.lastConn, m.client)
	s.upgrade.hostSocket = m.host
	return node.ConnectionReceived{Conn: s.lastConn, Transfer: m.Transfer}
}

// bindHostConnection adds the host's socket of the connection that the core is restoring, under the ID that the core chose
// for it.
func (s *server) bindHostConnection(conn node.ConnID) {
	s.addConnection(conn, s.upgrade.hostSocket)
	s.upgrade.hostSocket = nil
}

// sendConnection queues an open connection for its transfer to the successor. If there is no successor or its queue is
// full, applyDeferred later notifies the core that the transfer failed.
func (s *server) sendConnection(e node.SendConnection) {
	m := outgoingMessage{
		Message: handover.Message{Transfer: e.Transfer},
		conn:    e.Conn,
		client:  s.connections[e.Conn].socket,
		host:    s.connections[e.Host].socket,
	}
	if s.upgrade.successor == nil || !s.upgrade.successor.tryPost(m) {
		s.upgrade.unsent = append(s.upgrade.unsent, e.Conn)
	}
}

// peerProcessGone handles the end of the link to a peer process.
func (s *server) peerProcessGone(p *peerProcess, reason error) node.Input {
	// Deferred, because the functions below change inProgress.
	defer func() { limitMemory(s.config.Limits.MemoryMB, s.upgrade.inProgress()) }()
	switch p {
	case s.upgrade.predecessor:
		return s.predecessorGone(reason)
	case s.upgrade.successor:
		return s.successorGone(reason)
	}
	return nil
}

func (s *server) predecessorGone(reason error) node.Input {
	s.upgrade.predecessor = nil
	if s.fleet != nil {
		s.fleet.Follow()
	}
	s.log.Info().AnErr("why", reason).Msg("handover link to the predecessor closed")
	// A core that is ready waited only for the predecessor's answer, which will not arrive.
	if s.listener.coreReady {
		s.listener.requestOpen()
	}
	return node.PredecessorGone{}
}

func (s *server) successorGone(reason error) node.Input {
	successor := s.upgrade.successor
	s.upgrade.successor = nil
	for len(successor.outgoing) > 0 { // connections that are still queued were not sent and stay with this process
		m := <-successor.outgoing
		if m.Transfer != nil {
			s.upgrade.unsent = append(s.upgrade.unsent, m.conn)
		}
	}
	s.log.Info().AnErr("why", reason).Msg("handover link to the successor closed")
	if s.upgrade.handedOver {
		s.reclaimClients()
	}
	return node.SuccessorGone{}
}
