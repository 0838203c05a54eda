package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// answer sends the final answer to a client that is not established and ends its connection.
func (n *Node) answer(c *connection, reply []byte, reason Reason) {
	c.endReason = reason
	c.ownOutput = append(c.ownOutput, reply...)
	c.closeAs = StreamEnded
	if f := c.flow; f != nil {
		n.countFinalAnswer(f.serviceType, reply)
		n.markOver(f)
		n.flows.markReleasable(f)
	}
	n.flush(c)
}

// reject ends a flow for which a new request is harmless, after retryAfter seconds; 0 gives no time.
func (n *Node) reject(f *flow, retryAfter float64) {
	n.answer(f.client, line.BusyLine(retryAfter), Rejected)
}

// abort ends a flow that may have run at a host.
func (n *Node) abort(f *flow) { n.answer(f.client, []byte(line.ErrLine), Aborted) }

// migrate asks an established client to connect again and ends both sides. Whole lines that the host has sent go out
// first. A flow that is on its way to the successor is the successor's to migrate.
func (n *Node) migrate(f *flow, reason Reason, outcome placement.Outcome) {
	if !f.established || f.over || f.inTransit {
		return
	}
	n.closeConnection(f.host, false)
	f.client.ownOutput = append(f.client.ownOutput, line.MoveLine...)
	n.finish(f, StreamEnded, reason, outcome)
}

// clientLeft ends a flow whose client does not wait for its answer.
func (n *Node) clientLeft(f *flow) {
	n.cancelSetup(f)
	n.countAnswered(&n.figures.Types[f.serviceType].ClientLeft)
	f.client.endReason = ClientLeft
	n.closeConnection(f.client, false)
}

// cancelSetup gives up what goes on for a flow that is not established.
func (n *Node) cancelSetup(f *flow) {
	n.markOver(f)
	n.balancer.ClientLeft(f.index)
	if f.attemptActive {
		n.closeConnection(f.host, false)
		n.endAttempt(f, placement.Canceled)
		return
	}
	n.flows.markReleasable(f)
}

// clientGone handles a client that has gone although not all that it sent is read. Its flow gets no further attempt.
func (n *Node) clientGone(c *connection) {
	if c.flow != nil && !c.flow.established && c.closeAs == StreamOpen {
		n.clientLeft(c.flow)
	}
}

// logConnection writes the log line of a client's connection that ended.
func (n *Node) logConnection(c *connection) {
	record := ConnectionRecord{Reason: c.endReason, Duration: n.now - c.startedAt, BytesToClient: c.bytesWritten}
	if f := c.flow; f != nil {
		record.Type = n.listener.ServiceTypes[f.serviceType]
		record.Attempts = f.attempt + 1
		record.Setup = f.setupTime
		if f.host != nil {
			record.Host = n.endpoints.hosts[f.hostIndex].name
			record.BytesFromClient = f.host.bytesWritten
		}
	}
	n.emit(LogConnection{record})
}
