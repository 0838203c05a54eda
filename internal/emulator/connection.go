package emulator

import (
	"bytes"

	"gorseledge/internal/line"
	"gorseledge/internal/node"
)

// connection is one connection of a core.
type connection struct {
	*nodeProcess
	id         node.ConnID
	socket     *socket // nil before the connection is established and after it was sent to another process
	readBuffer []byte  // of the read in flight; nil for none
	host       *host   // at its far end; nil for a client
	flow       *flow   // whose attempt it is; nil for none
	counted    bool    // its first line was written
	sent       bool    // another process has it
}

// completeRead answers the read in flight if anything has arrived.
func (c *connection) completeRead() {
	if c.readBuffer == nil || c.socket == nil {
		return
	}
	if len(c.socket.received) == 0 && c.socket.farEnd == streamOpen {
		return
	}
	done := node.ReadDone{Conn: c.id, Count: c.socket.read(c.readBuffer)}
	if len(c.socket.received) == 0 {
		done.State = c.socket.farEnd.nodeEnd()
	}
	c.readBuffer = nil
	c.nodeProcess.deliver(done)
}

// cancelRead answers the read in flight with what has arrived, which may be nothing.
func (c *connection) cancelRead() {
	done := node.ReadDone{Conn: c.id, Count: c.socket.read(c.readBuffer)}
	c.readBuffer = nil
	c.nodeProcess.deliver(done)
}

// nodeEnd returns the state in the form that a core gets.
func (s streamState) nodeEnd() node.StreamState {
	switch s {
	case streamEnded:
		return node.StreamEnded
	case streamReset:
		return node.StreamBroken
	default:
		return node.StreamOpen
	}
}

// write sends data and reports to the core that it is written.
func (c *connection) write(data []byte) {
	c.observeWrite(data)
	failed := c.socket.farEnd == streamReset
	if !failed {
		c.socket.send(data)
	}
	c.nodeProcess.deliver(node.WriteDone{Conn: c.id, Count: len(data), Failed: failed})
}

// observeWrite begins an attempt when a core writes the first line to a host, which may carry it out from here on.
func (c *connection) observeWrite(data []byte) {
	if c.host == nil || c.counted || !bytes.HasPrefix(data, []byte("OPEN ")) {
		return
	}
	c.counted = true
	opening, err := line.ParseOpening(data)
	if err != nil {
		return
	}
	f := c.world.flowByID(opening.ID)
	if f == nil {
		return
	}
	c.flow = f
	f.openAttempts++
	c.world.checker.checkAttempt(f, c.nodeProcess, c.host)
}

// endAttempt ends the attempt of the connection, if it has one.
func (c *connection) endAttempt() {
	if c.flow != nil {
		c.flow.openAttempts--
		c.flow = nil
	}
}
