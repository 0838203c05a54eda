package node

import (
	"gorseledge/internal/ring"
	"gorseledge/placement"
)

const (
	discardBufferSize = 512     // bytes
	failedWriteGrace  = 0.1     // seconds for the read under way to say how the far side ended
	lingerTimeout     = 1.0     // seconds for the far side to end as well, so that no reset overtakes the last bytes
	maxDiscarded      = 1 << 14 // bytes that are read and dropped after the final answer
)

// role says what a connection is for.
type role uint8

const (
	clientRole      role = iota // a client's connection, accepted or inherited
	hostRole                    // a flow's connection to its host
	healthCheckRole             // a health check of a host
)

// connection is one connection with the buffer of what was read from it.
type connection struct {
	id        ConnID
	role      role
	flow      *flow // nil for a health check and for a client before its opening line
	hostIndex int   // the host that it was dialed to
	startedAt float64

	// Input.
	buffer        *ring.Ring
	scanned       int // bytes of buffer that were searched for a line's end
	forwardable   int // bytes of buffer, whole lines, that may go to the other side
	readPending   bool
	receivedInput bool        // something was read, or a line was taken
	farEnd        StreamState // what the far side did to its sending
	discarding    bool        // what is read is dropped
	discarded     int         // bytes dropped so far

	// Output.
	ownOutput        []byte // the node's own lines, sent once nothing is left to be forwarded
	writePending     int    // bytes of the write under way, 0 for none
	writingForwarded bool   // the write under way is of forwarded lines
	bytesWritten     uint64
	closeAs          StreamState // how to end once all is written; Open for not yet
	writeClosed      bool

	connected        bool // accepted, or the dial succeeded
	closed           bool
	idle             bool // a client that asks for nothing yet, or no more
	suspected        bool // an answer is overdue and a second wait has begun
	readinessChecked bool // the client has asked whether the node is ready
	deadlineVersion  uint64
	endReason        Reason // why a client's connection ends
}

// counterpart returns the other connection of c's flow, nil for none.
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

// source returns the connection whose lines go out on c, also when that one is closed already; nil for none.
func (c *connection) source() *connection {
	if c.flow == nil || !c.flow.established {
		return nil
	}
	return c.counterpart()
}

// quiescent reports whether nothing is under way on c and nothing is left to be written to it or forwarded from it.
func (c *connection) quiescent() bool {
	nothingUnderWay := !c.readPending && c.writePending == 0
	nothingLeft := c.forwardable == 0 && len(c.ownOutput) == 0
	return c.connected && !c.closed && nothingUnderWay && nothingLeft
}

// clientHalfClosed reports whether c's client has ended its sending while the host may still send.
func (c *connection) clientHalfClosed() bool {
	return c.role == hostRole && c.closeAs == StreamEnded && !c.flow.over
}

// endBeforeOpening sets the reason for a connection that ends before its opening line, unless one is set.
func (c *connection) endBeforeOpening(reason Reason) {
	if c.endReason != "" {
		return
	}
	c.endReason = reason
	if c.readinessChecked {
		c.endReason = ReadinessChecked
	}
}

// accepted takes a client's new connection.
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

// dial opens a connection to a host that is to be sent output first. client is the client's connection that it is for,
// 0 for none. The deadline of timeout seconds holds for the first answer, while the dial itself may have less.
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

// dialDone handles the result of a dial. A localFailure is the node's own lack of something and no sign against the
// host, so that it is reported as an attempt that was not sent.
func (n *Node) dialDone(c *connection, err error, localFailure bool) {
	if err == nil {
		c.connected = true
		n.flush(c)
		n.requestRead(c)
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

// closeConnection closes a connection once; reset breaks it off.
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
