package node

import (
	"gorseledge/internal/line"
	"gorseledge/internal/ring"
)

// bufferSize is the size of a connection's input buffer in bytes. It has space for two lines of the greatest length, so
// that the next line can be read while a whole one waits to be forwarded.
const bufferSize = 2 * line.MaxLength

// requestRead asks for more input of c. It does nothing if c is not open, its input has ended, a read is already under
// way, the buffer is full, or the flow is being handed over.
func (n *Node) requestRead(c *connection) {
	if !c.connected || c.readPending || c.closed || c.inputState != StreamOpen {
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
		c.readBlocked = true
		return
	}
	if c.readBlocked && c.role == hostRole {
		n.readingResumed(c.flow)
	}
	c.readBlocked = false
	c.readPending = true
	n.emit(Read{Conn: c.id, Into: into, LowPriority: c.lowPriority()})
}

// readDone handles the result of a read: count bytes are in the buffer, and end is the state of the stream after them.
func (n *Node) readDone(c *connection, count int, end StreamState) {
	c.readPending = false
	c.buffer.Fill(count)
	if count > 0 && c.role != clientRole {
		n.endpoints.hosts[c.hostIndex].lastHeard = n.now
	}
	allBeingWritten := c.writePending > 0 && len(c.ownOutput) == c.writePending
	if count > 0 && c.role == hostRole && allBeingWritten {
		n.markLineSent(c.flow) // the host's answer arrived before the result of the write
	}
	c.inputState = end
	if c.pendingClose != StreamOpen && !c.clientHalfClosed() {
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

// discardInput discards input on a connection that is being ended. A write that the far side has not accepted may still
// use the old buffer, so later input is read into another one. maxDiscarded keeps a client that continues to send at
// full speed from taking up the event loop's time.
func (n *Node) discardInput(c *connection, count int) {
	c.discarded += count
	if c.role == clientRole && c.discarded > maxDiscarded {
		c.endBeforeOpening(ClientProtocolError)
		n.closeConnection(c, true)
		return
	}
	c.receivedInput = true
	if c.role == clientRole && c.writeClosed && n.connections.lowOnDescriptors() {
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

// flush starts the next write on c: first the whole lines of its counterpart, then the node's own lines. Once all is
// written, it ends the connection if pendingClose asks for that.
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
	switch c.pendingClose {
	case StreamBroken:
		n.closeConnection(c, true)
	case StreamEnded:
		n.endSending(c)
	}
}

// write asks for a write of data: lines forwarded from c's counterpart, or else c's own output.
func (n *Node) write(c *connection, data []byte, forwarded bool) {
	c.writePending = len(data)
	c.writingForwarded = forwarded
	n.emit(Write{Conn: c.id, Data: data, LowPriority: c.lowPriority()})
}

// endSending ends the sending on a connection to which all output is written. If few descriptors are left, a connection
// whose input was read is closed at once instead of lingering.
func (n *Node) endSending(c *connection) {
	if c.inputState != StreamOpen || c.receivedInput && n.connections.lowOnDescriptors() {
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

// writeDone handles the result of a write of which count bytes were accepted by the system.
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
	if failed { // the read under way returns the far side's last bytes, and then how it ended
		c.writeClosed = true
		n.setDeadline(c, failedWriteGrace)
		return
	}
	if c.role == hostRole && len(c.ownOutput) == 0 && c.flow != nil {
		n.markLineSent(c.flow)
	}
	n.flush(c)
}
