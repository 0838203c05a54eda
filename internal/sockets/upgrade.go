package sockets

import (
	"net"
	"os"

	"gorseledge/internal/handover"
	"gorseledge/internal/node"
)

// upgrade is what joins this process with the one before it and the one after it. It belongs to the loop.
type upgrade struct {
	path        string              // of the Unix socket where a successor finds this process; empty for none
	successors  *net.UnixListener   // on that socket; nil while no successor can connect
	predecessor *peerProcess        // nil for none
	successor   *peerProcess        // nil for none
	inherited   *node.HandoverState // from the predecessor at the start; nil for none
	handedOver  bool                // the successor has the clients
	hostSocket  *net.TCPConn        // of the connection that the core restores now
	unsent      []node.ConnID       // connections that could not even be posted to the successor
}

// inheritsRevision tells whether the predecessor has handed over a revision of the live settings. One that has none may
// not follow the control servers at all.
func (u *upgrade) inheritsRevision() bool { return u.inherited != nil && u.inherited.Revision != nil }

// inProgress tells whether another process of the node shares this one's memory.
func (u *upgrade) inProgress() bool { return u.predecessor != nil || u.successor != nil }

// close closes the listener for successors and the link to the predecessor.
func (u *upgrade) close() {
	if u.successors != nil {
		u.successors.Close()
		if !u.handedOver { // the path is the successor's by then
			os.Remove(u.path)
		}
	}
	if u.predecessor != nil {
		u.predecessor.link.Close()
	}
}

// requestClients asks the predecessor for the clients. One that does not answer in time keeps nobody out.
func (s *server) requestClients() {
	s.upgrade.predecessor.post(outgoingMessage{Message: handover.Message{Request: handover.RequestClients}})
	s.group.Go(func() error {
		if pause(s.ctx, claimTimeout) {
			s.do(s.openWithoutPredecessor)
		}
		return nil
	})
}

// offerHandover lets a successor find this process. Where that fails, a later version comes beside it all the same.
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

// acceptSuccessors attends each process that connects, until the listener is closed.
func (s *server) acceptSuccessors(listener *net.UnixListener) {
	for {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		if link, err := handover.NewLink(conn); err == nil {
			link.SetReadTimeout(claimTimeout)
			s.attend(newPeerProcess(link))
		}
	}
}

// peerProcessSaid takes a message of a peer process, in the order in which they were sent.
func (s *server) peerProcessSaid(p *peerProcess, m incomingMessage) node.Input {
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

// handOverClients stops accepting: who waits for it is the successor's client.
func (s *server) handOverClients() {
	s.upgrade.handedOver = true
	if s.fleet != nil { // the node is one member throughout: the successor's from here on
		s.fleet.SetHandedOver(true)
	}
	s.listener.suspend()
}

// takeClientsBack goes on accepting, since the successor has ended without serving on.
func (s *server) takeClientsBack() {
	s.upgrade.handedOver = false
	if s.fleet != nil {
		s.fleet.SetHandedOver(false)
	}
	s.listener.unsuspend()
	s.offerHandover()
}

// postState sends the core's state to the successor, at first with the clients' listener.
func (s *server) postState(state *node.HandoverState) {
	m := outgoingMessage{Message: handover.Message{State: state}}
	if !s.upgrade.handedOver {
		m.listener = s.listener.socket
	}
	s.upgrade.successor.post(m)
}

// postUpdate sends a change of the core's state to the node's other processes.
func (s *server) postUpdate(update *node.HandoverUpdate) {
	if update.Revision != nil && s.fleet != nil {
		s.fleet.SetInForce(*update.Revision)
	}
	m := outgoingMessage{Message: handover.Message{Update: update}}
	s.upgrade.predecessor.post(m)
	s.upgrade.successor.post(m)
}

// inheritConnection takes an open connection of the predecessor's.
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

// bindHostConnection gives the host's side of the connection that the core restores now its number.
func (s *server) bindHostConnection(conn node.ConnID) {
	s.addConnection(conn, s.upgrade.hostSocket)
	s.upgrade.hostSocket = nil
}

// sendConnection sends an open connection to the successor.
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

// peerProcessGone takes the end of the link to a peer process.
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
	for len(successor.outgoing) > 0 { // what was posted too late to be sent stays here
		m := <-successor.outgoing
		if m.Transfer != nil {
			s.upgrade.unsent = append(s.upgrade.unsent, m.conn)
		}
	}
	s.log.Info().AnErr("why", reason).Msg("handover link to the successor closed")
	if s.upgrade.handedOver {
		s.takeClientsBack()
	}
	return node.SuccessorGone{}
}
