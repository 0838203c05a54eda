package emulator

import (
	"bytes"

	"gorseledge/internal/line"
	"gorseledge/internal/node"
)

// connection is one connection of a node process: to a client or to a host.
type connection struct {
	*nodeProcess
	id         node.ConnID
	socket     *socket // nil before the connection is established and after it was transferred to another process
	readBuffer []byte  // buffer of the read in flight; nil for none
	host       *host   // host at the other end; nil for the connection of a client
	flow       *flow   // flow whose attempt uses the connection; nil for none
	counted    bool    // the opening line was written and its attempt counted
	sent       bool    // the connection was transferred to another process
}

// completeRead completes the read in flight if data or the end of the stream has arrived.
func (c *connection) completeRead() {
	if c.readBuffer == nil || c.socket == nil {
		return
	}
	if len(c.socket.received) == 0 && c.socket.receiveState == streamOpen {
		return
	}
	done := node.ReadDone{Conn: c.id, Count: c.socket.read(c.readBuffer)}
	if len(c.socket.received) == 0 {
		done.State = c.socket.receiveState.nodeState()
	}
	c.readBuffer = nil
	c.nodeProcess.deliver(done)
}

// cancelRead completes the read in flight with the bytes that have arrived, possibly none.
func (c *connection) cancelRead() {
	done := node.ReadDone{Conn: c.id, Count: c.socket.read(c.readBuffer)}
	c.readBuffer = nil
	c.nodeProcess.deliver(done)
}

// nodeState returns the state as the type that inputs of a core contain.
func (s streamState) nodeState() node.StreamState {
	switch s {
	case streamEnded:
		return node.StreamEnded
	case streamReset:
		return node.StreamBroken
	default:
		return node.StreamOpen
	}
}

// write sends data and reports the result of the write to the core.
func (c *connection) write(data []byte) {
	c.observeWrite(data)
	failed := c.socket.receiveState == streamReset
	if !failed {
		c.socket.send(data)
	}
	c.nodeProcess.deliver(node.WriteDone{Conn: c.id, Count: len(data), Failed: failed})
}

// observeWrite records the start of an attempt when the core writes the opening line to a host. From then on the host may
// carry out the request.
func (c *connection) observeWrite(data []byte) {
	if c.host == nil || c.counted || !bytes.HasPrefix(data, []byte("OPEN ")) {
		return
	}
	c.counted = true
	opening, err := line.ParseOpening(data)
	if err != nil {
		return
	}
	f := c.sim.flowByID(opening.ID)
	if f == nil {
		return
	}
	c.flow = f
	f.openAttempts++
	c.sim.checker.checkAttempt(f, c.nodeProcess, c.host)
}

// endAttempt records the end of the attempt that uses the connection, if there is one.
func (c *connection) endAttempt() {
	if c.flow != nil {
		c.flow.openAttempts--
		c.flow = nil
	}
}
