package sockets

import (
	"net"
	"os"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// upgrade is the state of the handovers from the predecessor and to the successor. Only the loop uses it.
type upgrade struct {
	path        string              // path of the Unix socket to which a successor connects; empty for none
	successors  *net.UnixListener   // listener on that socket; nil while no successor can connect
	predecessor *peerProcess        // nil if there is none
	successor   *peerProcess        // nil if there is none
	inherited   *node.HandoverState // state from the predecessor at the start; nil if there is none
	handedOver  bool                // the successor accepts the clients
	hostSocket  *net.TCPConn        // host's socket of the connection that the core is restoring
	unsent      []node.ConnID       // connections that could not be queued for the successor
}

// inheritsRevision reports whether the predecessor has handed over a revision of the live settings. A predecessor
// without one may not follow the control servers at all.
func (u *upgrade) inheritsRevision() bool { return u.inherited != nil && u.inherited.Revision != nil }

// inProgress reports whether another process of the node shares the memory granted to this one.
func (u *upgrade) inProgress() bool { return u.predecessor != nil || u.successor != nil }

// close closes the listener for successors and the link to the predecessor.
func (u *upgrade) close() {
	if u.successors != nil {
		u.successors.Close()
		if !u.handedOver { // after a handover the path belongs to the successor
			os.Remove(u.path)
		}
	}
	if u.predecessor != nil {
		u.predecessor.link.Close()
	}
}

// requestClients asks the predecessor to stop accepting clients. If it does not answer within claimTimeout, this process
// begins accepting without the answer.
func (s *server) requestClients() {
	s.upgrade.predecessor.post(outgoingMessage{Message: handover.Message{Request: handover.RequestClients}})
	s.group.Go(func() error {
		if pause(s.ctx, claimTimeout) {
			s.do(s.openWithoutPredecessor)
		}
		return nil
	})
}

// offerHandover listens for a successor. If that fails, a later version can still start beside this process, but without
// a handover.
func (s *server) offerHandover() {
	if s.upgrade.path == "" {
		return
	}
	if s.upgrade.successors != nil {
		s.upgrade.successors.Close()
		s.upgrade.successors = nil
	}
	listener, err := handover.Listen(s.upgrade.path)
	if err != nil {
		s.log.Warn().Err(err).Msg("handover to a later version not available")
		return
	}
	s.upgrade.successors = listener
	s.group.Go(func() error {
		s.acceptSuccessors(listener)
		return nil
	})
}

// acceptSuccessors serves each process that connects, until the listener is closed.
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

// handlePeerMessage handles a message of a peer process. Messages arrive in the order in which they were sent.
func (s *server) handlePeerMessage(p *peerProcess, m incomingMessage) node.Input {
	u := &s.upgrade
	switch {
	case m.Update != nil && (p == u.predecessor || p == u.successor):
		return node.PeerProcessChanged{Update: *m.Update}
	case m.State != nil && p == u.predecessor && !s.listener.opened:
		s.listener.openPending = true
		return node.HandoverReceived{State: m.State}
	case m.Transfer != nil:
		return s.inheritConnection(p, m)
	case m.Request == handover.RequestState && (u.successor != nil || !s.listener.opened):
		p.post(outgoingMessage{Message: handover.Message{Refusal: handover.RefusalBusy}})
	case m.Request == handover.RequestState:
		u.successor = p
		limitMemory(s.config.Limits.MemoryMB, true)
		return node.Query{Question: node.ClaimHandover}
	case m.Request == handover.RequestClients && p == u.successor:
		s.handOverClients()
		return node.Query{Question: node.TakeOver}
	}
	return nil
}

// handOverClients stops accepting, so that the successor accepts the clients in the backlog.
func (s *server) handOverClients() {
	s.upgrade.handedOver = true
	if s.fleet != nil { // the node stays one member, which the successor represents from now on
		s.fleet.SetHandedOver(true)
	}
	s.listener.suspend()
}

// reclaimClients resumes accepting after the successor ended while this process was still running.
func (s *server) reclaimClients() {
	s.upgrade.handedOver = false
	if s.fleet != nil {
		s.fleet.SetHandedOver(false)
	}
	s.listener.unsuspend()
	s.offerHandover()
}

// postState sends the core's state to the successor. Until the clients are handed over, the clients' listener goes with
// it.
func (s *server) postState(state *node.HandoverState) {
	m := outgoingMessage{Message: handover.Message{State: state}}
	if !s.upgrade.handedOver {
		m.listener = s.listener.socket
	}
	s.upgrade.successor.post(m)
}

// postUpdate sends an update of the core's state to the node's other processes.
func (s *server) postUpdate(update *node.HandoverUpdate) {
	if update.Revision != nil && s.fleet != nil {
		s.fleet.SetInForce(*update.Revision)
	}
	m := outgoingMessage{Message: handover.Message{Update: update}}
	s.upgrade.predecessor.post(m)
	s.upgrade.successor.post(m)
}

// inheritConnection adds an open connection that the predecessor transferred. It closes one that comes from any other
// process.
func (s *server) inheritConnection(p *peerProcess, m incomingMessage) node.Input {
	if p != s.upgrade.predecessor {
		m.client.Close()
		m.host.Close()
		return nil
	}
	s.lastConn += 2
	s.addConnection(s.lastConn, m.client)
	s.upgrade.hostSocket = m.host
	return node.ConnectionReceived{Conn: s.lastConn, Transfer: m.Transfer}
}

// bindHostConnection adds the host's socket of the connection that the core is restoring, under the id that the core
// chose for it.
func (s *server) bindHostConnection(conn node.ConnID) {
	s.addConnection(conn, s.upgrade.hostSocket)
	s.upgrade.hostSocket = nil
}

// sendConnection transfers an open connection to the successor. One that cannot be queued is reported to the core later.
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
	s.listener.openPending = s.listener.coreReady && !s.listener.opened
	return node.PredecessorGone{}
}

func (s *server) successorGone(reason error) node.Input {
	successor := s.upgrade.successor
	s.upgrade.successor = nil
	for len(successor.outgoing) > 0 { // connections that were queued too late to be sent stay with this process
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
