package node

import "gorseledge/internal/line"

const (
	descriptorReserve     = 20                 // descriptors kept for new connections, so that they can be rejected with an answer
	idleDescriptorDivisor = 5                  // one in this many descriptors may be held by idle connections
	firstLineGrace        = 0.1                // seconds within which an ordinary client sends its first line
	attemptGrace          = firstLineGrace / 4 // seconds for which an idle client is kept if an attempt needs a descriptor
)

// idleQueue holds the clients' connections that have no request under way: those that have sent no opening line yet,
// and those that linger after their final answer.
type idleQueue struct {
	queue []ConnID // oldest first; may contain connections that are no longer idle
	count int      // number of connections in queue that are idle
}

// add adds a client's connection unless it is already idle. Other connections are ignored.
func (q *idleQueue) add(c *connection) {
	if c.role != clientRole || c.idle {
		return
	}
	c.idle = true
	q.count++
	q.queue = append(q.queue, c.id)
}

// remove marks a connection as no longer idle. Its entry in the queue is removed later.
func (q *idleQueue) remove(c *connection) {
	if !c.idle {
		return
	}
	c.idle = false
	q.count--
}

// admit frees descriptors for a connection that was accepted, or rejects it. Idle connections are closed first: clients
// that open hundreds of connections and send nothing must not use up the descriptors that are needed for clients that
// send their first line at once.
func (n *Node) admit(c *connection) {
	n.idle.add(c)
	n.limitIdle()
	if !n.freeDescriptors(firstLineGrace) {
		n.answer(c, line.BusyLine(0), NoDescriptors)
	}
	if n.connections.used() > n.connections.limit && !c.closed { // no descriptor is left until the answer is written
		n.closeConnection(c, false)
	}
}

// limitIdle closes the oldest idle connections while idle ones hold more than their share of the descriptors.
func (n *Node) limitIdle() {
	most := max(n.connections.limit/idleDescriptorDivisor, 1)
	for n.idle.count > most {
		if !n.closeOldestIdle(firstLineGrace) {
			return
		}
	}
}

// freeDescriptors closes idle connections that are older than idleFor seconds until more than the reserve is left, and
// reports whether it succeeded.
func (n *Node) freeDescriptors(idleFor float64) bool {
	for n.connections.lowOnDescriptors() {
		if !n.closeOldestIdle(idleFor) {
			return false
		}
	}
	return true
}

// canAffordDescriptor reports whether a descriptor is available, after closing idle connections if necessary.
func (n *Node) canAffordDescriptor() bool { return n.freeDescriptors(attemptGrace) }

// closeOldestIdle closes the oldest idle connection if it is older than idleFor seconds and no output waits to be
// written to it, and reports whether it did.
func (n *Node) closeOldestIdle(idleFor float64) bool {
	for len(n.idle.queue) > 0 {
		c := n.connections.byID[n.idle.queue[0]]
		isIdle := c != nil && c.idle
		if isIdle && (n.now-c.startedAt < idleFor || len(c.ownOutput) > 0) {
			return false
		}
		n.idle.queue = n.idle.queue[1:]
		if isIdle {
			n.closeIdle(c)
			return true
		}
	}
	return false
}

// closeIdle closes an idle connection to free its descriptor. Its client is rejected as by rejectIdle, but the node does
// not wait for the client's end.
func (n *Node) closeIdle(c *connection) {
	if c.pendingClose == StreamOpen && !c.writeClosed && c.writePending == 0 {
		n.emit(Write{c.id, line.BusyLine(0)})
	}
	c.endBeforeOpening(NoDescriptors)
	n.closeConnection(c, false)
}

// rejectIdle rejects a client that has sent no opening line. If its opening line arrives at the same moment, the rejection
// answers it, and the client may connect again.
func (n *Node) rejectIdle(c *connection, reason Reason) {
	c.endBeforeOpening(reason)
	n.setDeadline(c, lingerTimeout) // also bounds a connection to which nothing can be written any more
	n.answer(c, line.BusyLine(0), c.endReason)
}
