package node

import (
	"gorseledge/internal/ring"
	"gorseledge/placement"
)

const (
	discardBufferSize = 512     // bytes
	failedWriteGrace  = 0.1     // seconds after a failed write for the pending read to return how the far side ended
	lingerTimeout     = 1.0     // seconds to wait for the far side's end, so that no reset overtakes the last bytes
	maxDiscarded      = 1 << 14 // bytes from a client that are read and discarded after the final answer
)

// role is the purpose of a connection.
type role uint8

const (
	clientRole      role = iota // a client's connection, accepted or inherited
	hostRole                    // a flow's connection to its host
	healthCheckRole             // a health check of a host
)

// connection is the state of one connection, with the buffer of its input.
type connection struct {
	id        ConnID
	role      role
	flow      *flow // nil for a health check and for a client before its opening line
	hostIndex int   // the host that the node dialed, if role is not clientRole
	startedAt float64

	// Input.
	buffer        *ring.Ring
	scanned       int // bytes at the front of buffer that were searched for the end of a line
	forwardable   int // bytes at the front of buffer that form whole lines and may be forwarded to the counterpart
	readPending   bool
	readBlocked   bool        // nothing was read as the buffer was full
	receivedInput bool        // an opening line was handled, or input was discarded
	inputState    StreamState // whether the far side may still send, has ended its sending or broke the connection
	discarding    bool        // all further input is discarded
	discarded     int         // bytes discarded so far

	// Output.
	ownOutput        []byte // lines of the node itself, written after all lines to be forwarded
	writePending     int    // bytes of the write under way, 0 if there is none
	writingForwarded bool   // the write under way contains forwarded lines
	bytesWritten     uint64
	pendingClose     StreamState // how to end the connection once all output is written; StreamOpen keeps it open
	writeClosed      bool

	connected        bool // accepted, or the dial succeeded
	closed           bool
	idle             bool // in the idleQueue: the client has sent no opening line yet, or the node has ended its sending to it
	idlePosition     int  // in the idleQueue
	suspected        bool // the host's answer is overdue, and confirmTimeout has begun
	readinessChecked bool // the client has asked whether the node is ready
	deadlineVersion  uint64
	endReason        Reason // logged when a client's connection is closed
}

// counterpart returns the other connection of c's flow, nil if there is none.
func (c *connection) counterpart() *connection {
	switch {
	case c.flow == nil:
		return nil
	case c.role == clientRole:
		return c.flow.host
	default:
		return c.flow.client
	}
}

// source returns the connection whose lines are forwarded to c, even if that connection is already closed. It returns
// nil if c's flow is not established.
func (c *connection) source() *connection {
	if c.flow == nil || !c.flow.established {
		return nil
	}
	return c.counterpart()
}

// quiescent reports whether c is open, has no read or write under way, and has nothing left to be written to it or
// forwarded from it.
func (c *connection) quiescent() bool {
	nothingUnderWay := !c.readPending && c.writePending == 0
	nothingLeft := c.forwardable == 0 && len(c.ownOutput) == 0
	return c.connected && !c.closed && nothingUnderWay && nothingLeft
}

// clientHalfClosed reports whether c is a host's connection whose client has ended its sending while the host may still
// send.
func (c *connection) clientHalfClosed() bool {
	return c.role == hostRole && c.pendingClose == StreamEnded && !c.flow.ended
}

// lowPriority reports whether the results of c's reads and writes may wait for other inputs: c belongs to an established flow,
// or is a client that has sent input without an opening line, or after it.
func (c *connection) lowPriority() bool {
	if c.flow != nil {
		return c.flow.established
	}
	return c.role == clientRole && (c.receivedInput || c.readinessChecked || c.buffer != nil && c.buffer.Len() > 0)
}

// endBeforeOpening sets the end reason of a connection that ends before its opening line, unless a reason is already
// set. A client that has asked whether the node is ready counts as a readiness check.
func (c *connection) endBeforeOpening(reason Reason) {
	if c.endReason != "" {
		return
	}
	c.endReason = reason
	if c.readinessChecked {
		c.endReason = ReadinessChecked
	}
}

// accepted handles a client's new connection.
func (n *Node) accepted(id ConnID) {
	c := n.connections.add(id, clientRole, n.now)
	c.connected = true
	n.admit(c)
	if c.closed {
		return
	}
	n.setDeadline(c, firstLineTimeout)
	n.requestRead(c)
}

// dial opens a connection to a host and queues output as the first bytes to write. client is the client's connection
// that the dial serves, 0 for a health check. The host must answer within timeout seconds, and the dial itself must
// succeed within the shorter of timeout and the configured dial timeout.
func (n *Node) dial(as role, host int, output []byte, timeout float64, client ConnID) *connection {
	c := n.connections.addDialed(as, n.now)
	c.hostIndex = host
	c.ownOutput = output
	n.setDeadline(c, timeout)
	if n.listener.DialTimeout > 0 {
		timeout = min(timeout, n.listener.DialTimeout)
	}
	n.emit(Dial{c.id, n.endpoints.hosts[host].address, timeout, client})
	return c
}

// dialDone handles the result of a dial. With localFailure the node itself lacked a resource, which does not count
// against the host: the outcome is reported as NotSent.
func (n *Node) dialDone(c *connection, err error, localFailure bool) {
	if err == nil {
		c.connected = true
		n.expireDeadlines() // nothing may be written for an attempt whose time has passed during the dial
		if !c.closed {
			n.flush(c)
			if c.role == hostRole {
				n.lineBeingSent(c.flow)
			}
			n.requestRead(c)
		}
		return
	}
	n.connections.neverOpened()
	switch {
	case !localFailure:
		n.connectionBroke(c)
	case c.role == healthCheckRole:
		n.healthCheckDone(c, placement.NotSent, noLoadReport)
	default:
		n.attemptFailed(c.flow, placement.NotSent)
	}
}

// closeConnection closes a connection, once. With reset, the far side gets a reset instead of an orderly end.
func (n *Node) closeConnection(c *connection, reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.clearDeadline()
	n.idle.remove(c)
	n.connections.remove(c)
	n.emit(Close{c.id, reset})
	if c.role == clientRole {
		n.logConnection(c)
	}
}
