package node

import (
	"gorseledge/internal/line"
	"gorseledge/internal/ring"
)

// bufferSize is the size of a connection's input buffer in bytes: a whole line always fits, and another begins.
const bufferSize = 2 * line.MaxLength

// requestRead asks for more input of c if there is space for it and none has been asked for.
func (n *Node) requestRead(c *connection) {
	if !c.connected || c.readPending || c.closed || c.farEnd != StreamOpen {
		return
	}
	if c.flow != nil && c.flow.transferring {
		return
	}
	if c.buffer == nil {
		c.buffer = ring.New(bufferSize)
	}
	into := c.buffer.Space()
	if len(into) == 0 {
		return
	}
	c.readPending = true
	n.emit(Read{c.id, into})
}

// readDone handles the result of a read: count bytes stand in the buffer, and end came after them.
func (n *Node) readDone(c *connection, count int, end StreamState) {
	c.readPending = false
	c.buffer.Fill(count)
	if count > 0 && c.role != clientRole {
		n.endpoints.hosts[c.hostIndex].lastHeard = n.now
	}
	allBeingWritten := c.writePending > 0 && len(c.ownOutput) == c.writePending
	if count > 0 && c.role == hostRole && allBeingWritten {
		n.markLineSent(c.flow) // the answer came before the result of the write
	}
	c.farEnd = end
	if c.closeAs != StreamOpen && !c.clientHalfClosed() {
		n.discardInput(c, count)
	} else {
		n.scanLines(c)
	}
	if c.closed {
		return
	}
	switch end {
	case StreamOpen:
		n.requestRead(c)
	case StreamEnded:
		n.farSideEnded(c)
	case StreamBroken:
		n.connectionBroke(c)
	}
}

// discardInput drops what comes on a connection that is being ended. A write that the far side never took may still
// use the old buffer, so later input goes to another one. The bound keeps a client that sends on at full speed from
// taking the loop's time.
func (n *Node) discardInput(c *connection, count int) {
	c.discarded += count
	if c.role == clientRole && c.discarded > maxDiscarded {
		c.endBeforeOpening(ClientProtocolError)
		n.closeConnection(c, true)
		return
	}
	c.receivedInput = true
	if c.role == clientRole && c.writeClosed && n.connections.short() {
		n.closeConnection(c, false)
		return
	}
	if c.discarding {
		c.buffer.Drop(c.buffer.Len())
		return
	}
	c.buffer = ring.New(discardBufferSize)
	c.discarding = true
	c.forwardable = 0
	c.scanned = 0
}

// flush writes what may go out on c: whole lines of the other side, then the node's own lines, then the end.
func (n *Node) flush(c *connection) {
	if !c.connected || c.writePending > 0 || c.closed || c.writeClosed {
		return
	}
	if source := c.source(); source != nil && source.forwardable > 0 {
		n.write(c, source.buffer.Front(source.forwardable), true)
		return
	}
	if len(c.ownOutput) > 0 {
		n.write(c, c.ownOutput, false)
		return
	}
	switch c.closeAs {
	case StreamBroken:
		n.closeConnection(c, true)
	case StreamEnded:
		n.endSending(c)
	}
}

// write asks for a write of data, which is forwarded from the other side or c's own output.
func (n *Node) write(c *connection, data []byte, forwarded bool) {
	c.writePending = len(data)
	c.writingForwarded = forwarded
	n.emit(Write{c.id, data})
}

// endSending ends the sending on a connection to which all is written. Where few descriptors are left, a connection
// whose input was read does not linger.
func (n *Node) endSending(c *connection) {
	if c.farEnd != StreamOpen || c.receivedInput && n.connections.short() {
		n.closeConnection(c, false)
		return
	}
	c.writeClosed = true
	n.emit(CloseWrite{c.id})
	n.idle.add(c)
	if !c.clientHalfClosed() {
		n.setDeadline(c, lingerTimeout)
	}
}

// writeDone handles the result of a write of which count bytes were taken.
func (n *Node) writeDone(c *connection, count int, failed bool) {
	source := c.source()
	c.writePending = 0
	c.bytesWritten += uint64(count)
	if c.writingForwarded && source != nil {
		source.buffer.Drop(count)
		source.forwardable -= count
		source.scanned -= count
		n.requestRead(source)
	} else {
		c.ownOutput = c.ownOutput[min(count, len(c.ownOutput)):]
	}
	if failed { // the read under way tells how the far side ended, and brings its last bytes first
		c.writeClosed = true
		n.setDeadline(c, failedWriteGrace)
		return
	}
	if c.role == hostRole && len(c.ownOutput) == 0 && c.flow != nil {
		n.markLineSent(c.flow)
	}
	n.flush(c)
}
