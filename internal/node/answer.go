package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// answer sends the final answer to a client that is not established and ends its connection.
func (n *Node) answer(c *connection, reply []byte, reason Reason) {
	c.endReason = reason
	c.ownOutput = append(c.ownOutput, reply...)
	c.pendingClose = StreamEnded
	if f := c.flow; f != nil {
		n.countFinalAnswer(f.serviceType, reply)
		n.markEnded(f)
		n.flows.markReleasable(f)
	}
	n.flush(c)
}

// reject answers a flow whose client may safely send a new request, because none has run yet or repeating it is
// harmless. The answer asks the client to wait for retryAfter seconds; 0 leaves the time to the client.
func (n *Node) reject(f *flow, retryAfter float64) {
	n.answer(f.client, line.BusyLine(retryAfter), Rejected)
}

// abort answers a flow that may have run at a host, without the promise that a new request is safe.
func (n *Node) abort(f *flow) { n.answer(f.client, []byte(line.ErrLine), Aborted) }

// migrate asks the client of an established flow to connect again, and ends both of its connections. Whole lines that
// the host has already sent are forwarded first. A flow in transit to the successor is left for the successor to migrate.
func (n *Node) migrate(f *flow, reason Reason, outcome placement.Outcome) {
	if !f.established || f.ended || f.inTransit {
		return
	}
	n.closeConnection(f.host, false)
	f.client.ownOutput = append(f.client.ownOutput, line.MoveLine...)
	n.finish(f, StreamEnded, reason, outcome)
}

// clientLeft ends a flow whose client disconnected before its answer.
func (n *Node) clientLeft(f *flow) {
	n.cancelSetup(f)
	n.countAnswered(&n.statistics.Types[f.serviceType].ClientLeft)
	f.client.endReason = ClientLeft
	n.closeConnection(f.client, false)
}

// cancelSetup cancels a flow that is not established, with its attempt if one is under way.
func (n *Node) cancelSetup(f *flow) {
	n.markEnded(f)
	n.balancer.ClientLeft(f.index)
	if f.attemptActive {
		n.closeConnection(f.host, false)
		n.endAttempt(f, placement.Canceled)
		return
	}
	n.flows.markReleasable(f)
}

// clientDisconnected handles a client that disconnected while some of its input is still unread. If its flow is not yet
// established, the flow gets no further attempt.
func (n *Node) clientDisconnected(c *connection) {
	if c.flow != nil && !c.flow.established && c.pendingClose == StreamOpen {
		n.clientLeft(c.flow)
	}
}

// logConnection emits the log record of a client's connection that has ended.
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
