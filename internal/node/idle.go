package node

import "gorseledge/internal/line"

const (
	descriptorReserve     = 20                 // descriptors kept for new connections, so that they can be rejected with an answer
	idleDescriptorDivisor = 5                  // idle connections may hold one in this many descriptors
	firstLineGrace        = 0.1                // seconds by when an ordinary client's first line is there
	attemptGrace          = firstLineGrace / 4 // seconds that idle clients are spared when an attempt needs a descriptor
)

// idleQueue holds the clients' connections that ask for nothing: before their opening line, or after their end.
type idleQueue struct {
	queue []ConnID // oldest first, with some that are no longer idle
	count int      // of those that are
}

// add counts a client's connection among the idle ones, once.
func (q *idleQueue) add(c *connection) {
	if c.role != clientRole || c.idle {
		return
	}
	c.idle = true
	q.count++
	q.queue = append(q.queue, c.id)
}

// remove takes a connection out, if it is idle. Its entry in the queue goes later.
func (q *idleQueue) remove(c *connection) {
	if !c.idle {
		return
	}
	c.idle = false
	q.count--
}

// admit makes room for a connection that was accepted, or rejects it. Idle connections go first: clients that connect
// by the hundred and send nothing must not take the descriptors of those whose first line comes at once.
func (n *Node) admit(c *connection) {
	n.idle.add(c)
	n.limitIdle()
	if !n.makeRoom(firstLineGrace) {
		n.answer(c, line.BusyLine(0), NoDescriptors)
	}
	if n.connections.used() > n.connections.limit && !c.closed { // not even time for the answer
		n.closeConnection(c, false)
	}
}

// limitIdle closes the oldest idle connections while idle ones hold more than their part of the descriptors.
func (n *Node) limitIdle() {
	most := max(n.connections.limit/idleDescriptorDivisor, 1)
	for n.idle.count > most {
		if !n.closeOldestIdle(firstLineGrace) {
			return
		}
	}
}

// makeRoom closes idle connections that are older than idleFor seconds until descriptors are not short, and reports
// whether that could be done.
func (n *Node) makeRoom(idleFor float64) bool {
	for n.connections.short() {
		if !n.closeOldestIdle(idleFor) {
			return false
		}
	}
	return true
}

// canAffordDescriptor reports whether one more descriptor can be had, at the cost of idle connections.
func (n *Node) canAffordDescriptor() bool { return n.makeRoom(attemptGrace) }

// closeOldestIdle closes the oldest idle connection if that is older than idleFor seconds and has no answer to wait
// for, and reports whether it did.
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

// closeIdle closes an idle connection to make room. Its client is rejected, as by dismiss, but the node does not wait for its end.
func (n *Node) closeIdle(c *connection) {
	if c.closeAs == StreamOpen && !c.writeClosed && c.writePending == 0 {
		n.emit(Write{c.id, line.BusyLine(0)})
	}
	c.endBeforeOpening(NoDescriptors)
	n.closeConnection(c, false)
}

// dismiss rejects a client that has asked for nothing. An opening line that arrives in that moment is answered so, and
// its client may connect again.
func (n *Node) dismiss(c *connection, reason Reason) {
	c.endBeforeOpening(reason)
	n.setDeadline(c, lingerTimeout) // also where nothing goes out to it any more
	n.answer(c, line.BusyLine(0), c.endReason)
}
