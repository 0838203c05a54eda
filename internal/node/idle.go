package node

import (
	"cmp"
	"container/heap"
	"slices"

	"gorseledge/internal/line"
)

const (
	descriptorReserve     = 20                 // descriptors kept for new connections, so that they can be rejected with an answer
	idleDescriptorDivisor = 5                  // one in this many descriptors may be held by idle connections
	firstLineGrace        = 0.1                // seconds within which an ordinary client sends its first line
	attemptGrace          = firstLineGrace / 4 // seconds for which an idle client is kept if an attempt needs a descriptor
)

// idleQueue holds the clients' connections that have no request under way: those that have sent no opening line yet,
// and those that linger after their final answer. A connection is in it exactly as long as it is idle and open.
type idleQueue struct{ heap idleHeap }

// add adds a client's connection unless it is already idle. Other connections are ignored.
func (q *idleQueue) add(c *connection) {
	if c.role != clientRole || c.idle {
		return
	}
	c.idle = true
	heap.Push(&q.heap, c)
}

// remove removes a connection that is no longer idle.
func (q *idleQueue) remove(c *connection) {
	if !c.idle {
		return
	}
	c.idle = false
	heap.Remove(&q.heap, c.idlePosition)
}

// len returns the number of idle connections.
func (q *idleQueue) len() int { return len(q.heap) }

// oldest returns the idle connection that was accepted first, nil if there is none.
func (q *idleQueue) oldest() *connection {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0]
}

// connections returns the idle connections, in no particular order.
func (q *idleQueue) connections() []*connection { return slices.Clone(q.heap) }

// idleHeap orders idle connections by when they were accepted, the oldest first, for container/heap.
type idleHeap []*connection

// Len, Less and Swap implement sort.Interface, which container/heap requires.
func (h idleHeap) Len() int { return len(h) }
func (h idleHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].startedAt, h[j].startedAt), cmp.Compare(h[i].id, h[j].id)) < 0
}
func (h idleHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].idlePosition = i
	h[j].idlePosition = j
}

// Push implements heap.Interface.
func (h *idleHeap) Push(x any) {
	c := x.(*connection)
	c.idlePosition = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *idleHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
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
	for n.idle.len() > most {
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
	c := n.idle.oldest()
	if c == nil || n.now-c.startedAt < idleFor || len(c.ownOutput) > 0 {
		return false
	}
	n.closeIdle(c)
	return true
}

// closeIdle closes an idle connection to free its descriptor. Its client is rejected as by rejectIdle, but the node does
// not wait for the client's end.
func (n *Node) closeIdle(c *connection) {
	if c.pendingClose == StreamOpen && !c.writeClosed && c.writePending == 0 {
		n.emit(Write{Conn: c.id, Data: line.BusyLine(0)})
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
