package node

import "gorseledge/placement"

// dispatch passes an input to the method that handles it.
func (n *Node) dispatch(input Input) {
	switch input := input.(type) {
	case Accepted, Dialed, ReadDone, WriteDone, ClientDisconnected, Closed:
		n.dispatchConnection(input)
	case HandoverReceived, PeerProcessChanged, ConnectionReceived, ConnectionSent, SuccessorGone, PredecessorGone:
		n.dispatchUpgrade(input)
	case ListReceived:
		n.listReceived(input.List)
	case WatchAlive:
		n.watchAlive(input.MidLine)
	case WatchFailed:
		n.watchEnded(placement.ListFailed, input.Reason)
	case DiscoveryMoved:
		n.discoveryMoved()
	case Shutdown:
		n.shutdown.begin(n.now)
	case Query:
		n.handleQuery(input)
	case ListenerOpened:
		n.listenerOpened(input)
	case ListenerClosed:
		n.shutdown.listenerClosed = true
	case NodesChanged:
		n.setMemberCount(input.Nodes)
	case SettingsReceived:
		n.applyRevision(input.Revision)
	case GossipReceived:
		n.gossipReceived(input.Loads)
	case TimerFired:
		n.timers.disarm()
	}
}

// dispatchConnection passes on an input about a connection. Results for a connection that was closed in the meantime
// are ignored.
func (n *Node) dispatchConnection(input Input) {
	switch input := input.(type) {
	case Accepted:
		n.accepted(input.Conn)
	case Closed:
		n.connections.descriptorFreed()
	case Dialed:
		n.connections.with(input.Conn, func(c *connection) { n.dialDone(c, input.Err, input.LocalFailure) })
	case ReadDone:
		n.connections.with(input.Conn, func(c *connection) {
			n.readDone(c, input.Count, input.State)
			n.upgrade.transfers.noteChange(c.flow)
		})
	case WriteDone:
		n.connections.with(input.Conn, func(c *connection) {
			n.writeDone(c, input.Count, input.Failed)
			n.upgrade.transfers.noteChange(c.flow)
		})
	case ClientDisconnected:
		n.connections.with(input.Conn, n.clientDisconnected)
	}
}

// dispatchUpgrade passes on an input from the other process of an upgrade, or about its end.
func (n *Node) dispatchUpgrade(input Input) {
	switch input := input.(type) {
	case HandoverReceived:
		n.restore(input.State)
	case PeerProcessChanged:
		n.applyPeerUpdate(input.Update, input.From)
	case ConnectionReceived:
		n.adoptConnection(input.Conn, input.Transfer)
	case ConnectionSent:
		n.connections.with(input.Conn, func(c *connection) { n.transferDone(c, input.OK) })
	case SuccessorGone:
		n.successorGone()
	case PredecessorGone:
		n.predecessorGone()
	}
}
