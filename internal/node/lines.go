package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// scanLines handles each complete line in c's buffer. A line that is too long ends the connection, and an incomplete one
// stays in the buffer until the rest is received.
func (n *Node) scanLines(c *connection) {
	for !c.closed && (c.pendingClose == StreamOpen || c.clientHalfClosed()) {
		if c.role == clientRole && c.flow != nil && !c.flow.established {
			n.limitEarlyInput(c)
			return // input after the opening line stays in the buffer until the flow is established
		}
		end := c.buffer.Find(c.scanned, '\n')
		if end < 0 {
			if c.buffer.Len()-c.forwardable >= line.MaxLength {
				n.lineTooLong(c)
				return
			}
			c.scanned = c.buffer.Len()
			return
		}
		if end+1-c.forwardable > line.MaxLength {
			n.lineTooLong(c)
			return
		}
		n.handleLine(c, end+1)
	}
}

// limitEarlyInput ends a flow whose client fills the buffer before the flow is established. Nothing more could be read
// from this client, so that its disconnect would never be seen.
func (n *Node) limitEarlyInput(c *connection) {
	if c.buffer.Free() > 0 {
		return
	}
	n.cancelSetup(c.flow)
	n.answer(c, []byte(line.ErrLine), ClientProtocolError)
}

// handleLine handles the line that ends before position end of c's buffer, and then forwards or discards it.
func (n *Node) handleLine(c *connection, end int) {
	start := c.forwardable
	c.scanned = end
	n.lineBuffer = c.buffer.Append(n.lineBuffer[:0], start, end)
	forward := false
	switch c.role {
	case clientRole:
		forward = n.handleClientLine(c, n.lineBuffer)
	case hostRole:
		forward = n.handleHostLine(c, n.lineBuffer)
	case healthCheckRole:
		n.handleHealthCheckLine(c, n.lineBuffer)
	}
	if c.closed {
		return
	}
	if forward {
		c.forwardable = end
		if to := c.counterpart(); to != nil {
			n.flush(to)
		}
		return
	}
	if start == 0 { // no earlier line still waits to be forwarded
		c.buffer.Drop(end)
		c.scanned = 0
	}
}

// lineTooLong ends the connection on which a line longer than line.MaxLength was received.
func (n *Node) lineTooLong(c *connection) {
	f := c.flow
	switch {
	case c.role == healthCheckRole:
		n.healthCheckDone(c, placement.Failed, noLoadReport)
	case f == nil:
		n.answer(c, []byte(line.ErrLine), ClientProtocolError)
	case c.role == hostRole && !f.established:
		n.attemptFailed(f, placement.Failed)
	case c.role == hostRole:
		n.closeConnection(c, true)
		n.finish(f, StreamEnded, HostProtocolError, placement.ConnectionLost)
	default:
		n.closeConnection(f.host, true)
		n.finish(f, StreamEnded, ClientProtocolError, placement.Canceled)
	}
}
