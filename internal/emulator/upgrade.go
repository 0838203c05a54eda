package emulator

import (
	"encoding/json"
	"maps"

	"gorseledge/internal/node"
)

const (
	processDelay    = 2e-4 // seconds that a message takes between two processes on one machine
	shutdownTimeout = 4.0  // seconds from SIGTERM to SIGKILL
	upgradeSlack    = 1.0  // additional seconds after which an upgrade is ended
)

// jsonRoundTrip encodes a value as JSON and decodes it, as happens to values that two processes exchange.
func jsonRoundTrip[T any](in T) T {
	var out T
	text, err := json.Marshal(in)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		panic(err) // both processes run the same version
	}
	return out
}

// upgrade starts a successor of a node's process. The old process shuts down once the successor is ready. It has no effect
// if the process is down or shutting down, or while another upgrade of the node is in progress.
func (s *simulation) upgrade(index int) {
	old := s.nodes[index]
	if !old.running || old.vanished || old.shuttingDown || old.predecessor != nil || old.successor != nil {
		return
	}
	start := s.nodeStart(old.name+" anew", old.index)
	successor := &nodeProcess{
		machine:      newMachine(old.name, old.zone),
		sim:          s,
		index:        old.index,
		lastConn:     old.lastConn,
		idleAt:       s.Now,
		running:      true,
		connections:  map[node.ConnID]*connection{},
		predecessor:  old,
		watchState:   watchState{startedAt: s.Now, calledAt: s.Now, relocations: old.watchState.relocations},
		unboundHosts: map[node.ConnID]*connection{},
	}
	successor.copyHostRecords(old)
	start.HasPredecessor = true
	start.Handover = jsonRoundTrip(old.query(node.Query{Question: node.ClaimHandover}).Handover)
	old.successor = successor
	s.startCore(successor, start)
	s.trace("%s: a new process", old.name)
	successor.deliver(node.TimerFired{})
	s.After(shutdownTimeout+upgradeSlack, func() { endUpgrade(old, successor) })
}

// endUpgrade kills the process that the upgrade should have ended by now: the predecessor, or the successor if it has not
// taken over the listener.
func endUpgrade(old, successor *nodeProcess) {
	late := successor
	if successor.tookOver {
		late = old
	}
	if late.running {
		late.stop()
		late.notifyPeersOfExit()
	}
}

// takeOver transfers the listener from the predecessor to this process, which is ready. It has no effect without a running
// predecessor: the process then has the listener already, or gets it from the next process that is started.
func (n *nodeProcess) takeOver() {
	old := n.predecessor
	if old == nil || !old.running {
		return
	}
	n.sim.After(processDelay, func() {
		if !old.running || !n.running {
			return
		}
		state := jsonRoundTrip(old.query(node.Query{Question: node.TakeOver}).Handover)
		n.tookOver = true
		n.sim.nodes[n.index] = n
		n.disabledAt = maps.Clone(old.disabledAt)
		n.deliver(node.HandoverReceived{State: state})
		n.deliver(node.ListenerOpened{})
		n.sim.After(processDelay, func() {
			if old.running && n.running {
				old.shuttingDown = true
				old.deliver(node.Shutdown{})
			}
		})
	})
}

// sendConnection transfers an open connection to the successor. Bytes in flight arrive there.
func (n *nodeProcess) sendConnection(e node.SendConnection) {
	successor := n.successor
	if successor == nil || !successor.running {
		n.deliver(node.ConnectionSent{Conn: e.Conn})
		return
	}
	client, host := n.connections[e.Conn], n.connections[e.Host]
	transfer := jsonRoundTrip(e.Transfer)
	successor.lastConn += 2
	newClient := &connection{nodeProcess: successor, id: successor.lastConn}
	newHost := &connection{nodeProcess: successor, host: host.host, flow: host.flow, counted: true}
	host.flow = nil // the attempt continues in the successor
	client.moveSocket(newClient)
	host.moveSocket(newHost)
	successor.unboundHosts[newClient.id] = newHost
	successor.connections[newClient.id] = newClient
	successor.deliver(node.ConnectionReceived{Conn: newClient.id, Transfer: transfer})
	n.deliver(node.ConnectionSent{Conn: e.Conn, OK: true})
}

// moveSocket moves the socket of a connection to a connection of another process.
func (c *connection) moveSocket(to *connection) {
	s := c.socket
	delete(c.nodeProcess.sockets, s)
	to.nodeProcess.sockets[s] = true
	s.machine = to.nodeProcess.machine
	s.onArrival = to.completeRead
	to.socket = s
	c.socket = nil
	c.sent = true
}

// bindHostConnection sets the ID, assigned by the core, of the host connection of a transfer.
func (n *nodeProcess) bindHostConnection(e node.BindHostConnection) {
	c := n.unboundHosts[e.Client]
	delete(n.unboundHosts, e.Client)
	c.id = e.Conn
	n.connections[e.Conn] = c
}

// updatePeers sends an update to the node's other processes.
func (n *nodeProcess) updatePeers(e node.UpdatePeerProcess) {
	if e.To != node.Successor {
		n.updatePeer(n.predecessor, e.Update, node.Successor)
	}
	if e.To != node.Predecessor {
		n.updatePeer(n.successor, e.Update, node.Predecessor)
	}
}

// updatePeer sends an update to another process, if it is running. role is what this process is for the other one.
func (n *nodeProcess) updatePeer(peer *nodeProcess, update node.HandoverUpdate, role node.Peer) {
	if peer == nil || !peer.running {
		return
	}
	update = jsonRoundTrip(update)
	n.sim.After(processDelay, func() {
		if peer.running {
			peer.deliver(node.PeerProcessChanged{Update: update, From: role})
		}
	})
}

// notifyPeersOfExit notifies the node's other processes that this one has ended.
func (n *nodeProcess) notifyPeersOfExit() {
	if n.successor != nil && n.successor.running {
		n.successor.deliver(node.PredecessorGone{})
		n.successor.predecessor = nil
	}
	if n.predecessor != nil && n.predecessor.running {
		n.predecessor.deliver(node.SuccessorGone{})
		n.predecessor.successor = nil
	}
}
