package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

const hostEndTimeout = 3.0 // seconds for a host to end what its client has ended

// farSideEnded handles the end of the far side's sending in good order, and ends the other side in the same way.
func (n *Node) farSideEnded(c *connection) {
	f := c.flow
	switch {
	case c.role == healthCheckRole:
		n.connectionBroke(c)
	case c.role == clientRole && (f == nil || f.over):
		n.unservedClientEnded(c)
	case c.role == clientRole && !f.established:
		n.clientLeft(f)
	case c.role == clientRole:
		c.endReason = ClientEnded
		f.host.closeAs = StreamEnded
		n.setDeadline(f.host, hostEndTimeout)
		n.flush(f.host)
	case !f.established:
		n.attemptFailed(f, interruptedOutcome(f.lineSent, false))
	default:
		n.hostEnded(f)
	}
}

// unservedClientEnded handles the end of a client's sending that has no flow, or none any more.
func (n *Node) unservedClientEnded(c *connection) {
	c.endBeforeOpening(NoLine)
	if c.closeAs == StreamOpen {
		c.closeAs = StreamEnded
	}
	n.flush(c)
	if c.writeClosed { // all was sent before
		n.closeConnection(c, false)
	}
}

// hostEnded ends a flow whose host has ended it; the host's last lines go to the client first. An end in good order is
// no sign of an overload: a host that sheds load, or dies, breaks its connections.
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

// connectionBroke handles a connection that broke, or whose dial failed.
func (n *Node) connectionBroke(c *connection) {
	f := c.flow
	c.farEnd = StreamBroken
	switch {
	case c.role == healthCheckRole:
		n.healthCheckInterrupted(c, false)
	case c.role == clientRole && (f == nil || f.over):
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
		n.attemptFailed(f, interruptedOutcome(f.lineSent, false))
	default:
		n.closeConnection(c, false)
		n.finish(f, StreamBroken, HostReset, placement.ConnectionLost)
	}
}
