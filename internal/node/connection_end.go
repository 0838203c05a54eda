package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

const hostEndTimeout = 3.0 // seconds for a host to end a connection whose client has ended its sending

// farSideEnded handles the orderly end of the far side's sending, and ends its counterpart in the same way.
func (n *Node) farSideEnded(c *connection) {
	f := c.flow
	switch {
	case c.role == healthCheckRole:
		n.connectionBroke(c)
	case c.role == clientRole && (f == nil || f.ended):
		n.unservedClientEnded(c)
	case c.role == clientRole && !f.established:
		n.clientLeft(f)
	case c.role == clientRole:
		c.endReason = ClientEnded
		f.host.pendingClose = StreamEnded
		n.setDeadline(f.host, hostEndTimeout)
		n.flush(f.host)
	case !f.established:
		n.attemptFailed(f, interruptedOutcome(f.lineMayBeSent(), false))
	default:
		n.hostEnded(f)
	}
}

// unservedClientEnded handles the end of the sending of a client that has no flow, or whose flow has ended.
func (n *Node) unservedClientEnded(c *connection) {
	c.endBeforeOpening(NoLine)
	if c.pendingClose == StreamOpen {
		c.pendingClose = StreamEnded
	}
	n.flush(c)
	if c.writeClosed { // the node had already ended its own sending, so both directions are closed
		n.closeConnection(c, false)
	}
}

// hostEnded ends a flow whose host has ended the connection. The host's last lines are forwarded to the client first.
// An orderly end is not a sign of overload: a host that sheds load, or dies, breaks its connections.
func (n *Node) hostEnded(f *flow) {
	n.closeConnection(f.host, false)
	switch {
	case f.finalWord == line.Bye:
		n.finish(f, StreamEnded, Served, placement.Served)
	case f.finalWord == line.Move:
		n.finish(f, StreamEnded, MigratedByHost, placement.Canceled)
	case f.client.endReason == ClientEnded:
		n.finish(f, StreamEnded, ClientEnded, placement.Canceled)
	default:
		n.finish(f, StreamEnded, HostEnded, placement.Canceled)
	}
}

// connectionBroke handles a connection that broke or whose dial failed.
func (n *Node) connectionBroke(c *connection) {
	f := c.flow
	c.inputState = StreamBroken
	switch {
	case c.role == healthCheckRole:
		n.healthCheckInterrupted(c, false)
	case c.role == clientRole && (f == nil || f.ended):
		c.endBeforeOpening(ClientReset)
		n.closeConnection(c, false)
	case c.role == clientRole && !f.established:
		n.clientLeft(f)
	case c.role == clientRole:
		c.endReason = ClientReset
		n.closeConnection(f.host, true)
		n.closeConnection(c, false)
		n.finish(f, StreamBroken, ClientReset, placement.Canceled)
	case !f.established:
		n.attemptFailed(f, interruptedOutcome(f.lineMayBeSent(), false))
	default:
		n.closeConnection(c, false)
		n.finish(f, StreamBroken, HostReset, placement.ConnectionLost)
	}
}
