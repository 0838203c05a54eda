package node

import (
	"container/heap"
	"math"

	"gorseledge/internal/line"
)

// maxTrustedLag is the greatest lag of the node's own timer, in seconds, at which the node still measures its hosts.
const maxTrustedLag = 0.05

// deadline is the time at which a connection times out. It is stale once the connection's deadlineVersion has changed.
type deadline struct {
	time       float64
	connection ConnID
	version    uint64
}

// deadlineHeap orders deadlines by time, the earliest first, for container/heap.
type deadlineHeap []deadline

// Len, Less and Swap implement sort.Interface, which container/heap requires.
func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].time < h[j].time }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) { *h = append(*h, x.(deadline)) }

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// timers holds the times at which the node must be woken, and by how much it is woken late. A flow has no deadline of
// its own but that of one of its connections. A connection has at most one deadline, and setting it again replaces it.
type timers struct {
	deadlines    deadlineHeap // includes stale entries
	balancerWake float64      // when the balancer asked to be woken, infinite for never
	armedAt      float64      // the time of the last SetTimer, infinite for none
	granularity  float64      // seconds by which timers are ordinarily late
	lag          float64      // seconds by which this node is behind, see measureLag
	saturatedFor float64      // seconds for which this node has been busy without a pause, 0 if it has pauses
}

// newTimers returns timers without any deadline. granularity is in seconds.
func newTimers(granularity float64) timers {
	return timers{balancerWake: math.Inf(1), armedAt: math.Inf(1), granularity: granularity}
}

// disarm notes that the timer has fired.
func (t *timers) disarm() { t.armedAt = math.Inf(1) }

// setDeadline makes a connection time out in after seconds, in place of its earlier deadline.
func (n *Node) setDeadline(c *connection, after float64) {
	c.deadlineVersion++
	heap.Push(&n.timers.deadlines, deadline{n.now + after, c.id, c.deadlineVersion})
}

// clearDeadline cancels a connection's deadline.
func (c *connection) clearDeadline() { c.deadlineVersion++ }

// deadlineOwner returns the connection whose deadline d is, nil if d is stale.
func (n *Node) deadlineOwner(d deadline) *connection {
	c := n.connections.byID[d.connection]
	if c == nil || c.deadlineVersion != d.version {
		return nil
	}
	return c
}

// expireDeadlines handles each deadline that has passed.
func (n *Node) expireDeadlines() {
	for len(n.timers.deadlines) > 0 && n.timers.deadlines[0].time <= n.now {
		d := heap.Pop(&n.timers.deadlines).(deadline)
		if c := n.deadlineOwner(d); c != nil {
			n.deadlineExpired(c)
		}
	}
}

// deadlineExpired handles a connection whose deadline has passed.
func (n *Node) deadlineExpired(c *connection) {
	switch c.role {
	case healthCheckRole:
		n.healthCheckInterrupted(c, true)
	case clientRole:
		n.clientDeadlineExpired(c)
	case hostRole:
		n.hostDeadlineExpired(c)
	}
}

// clientDeadlineExpired handles a client that sent no opening line in time, whose connection lingers for too long, or
// to which a write failed.
func (n *Node) clientDeadlineExpired(c *connection) {
	f := c.flow
	switch {
	case f != nil && f.established && !f.ended:
		n.connectionBroke(c) // a write to the client failed
	case f == nil && c.pendingClose == StreamOpen && !c.writeClosed:
		n.rejectIdle(c, NoLine)
	default:
		c.endBeforeOpening(NoLine)
		n.closeConnection(c, false)
	}
}

// hostDeadlineExpired handles a host that has not answered or ended its connection in time.
func (n *Node) hostDeadlineExpired(c *connection) {
	f := c.flow
	switch {
	case !f.established:
		n.attemptFailed(f, interruptedOutcome(f.lineMayBeSent(), true))
	case f.finalWord != line.Other || c.pendingClose != StreamOpen:
		n.hostEnded(f) // the host announced its end, or its client has ended, but the host's own end is overdue
	case c.writeClosed:
		n.connectionBroke(c)
	case len(f.unanswered) > 0 && c.buffer.Free() > 0:
		n.answerOverdue(c)
	}
}

// nextDeadline drops stale deadlines and returns the next time at which the node must be woken, infinite for never.
func (n *Node) nextDeadline() float64 {
	next := min(n.timers.balancerWake, n.watch.deadline(), n.live.nextOverrideExpiry, n.startupDeadline())
	if n.watch.state == watchIdle {
		next = min(next, n.balancer.NextPollAt())
	}
	for len(n.timers.deadlines) > 0 {
		d := n.timers.deadlines[0]
		if n.deadlineOwner(d) != nil {
			return min(d.time, next)
		}
		heap.Pop(&n.timers.deadlines)
	}
	return next
}

// armTimer asks for a timer at the next deadline, unless it is already armed for that time.
func (n *Node) armTimer() {
	next := n.nextDeadline()
	if next == n.timers.armedAt || math.IsInf(next, 1) {
		return
	}
	n.timers.armedAt = next
	n.emit(SetTimer{next})
}

// measureLag measures by how many seconds this node is behind. An input has waited in the kernel for an unknown time,
// but no longer than the node's own timer has been overdue, so the timer's lateness is the upper bound. The lag applies
// until a timer fires in time. It keeps a node that was delayed itself from blaming its hosts for the delay.
func (n *Node) measureLag(input Input) {
	lag := max(n.now-n.timers.armedAt-n.timers.granularity, 0)
	_, fired := input.(TimerFired)
	if fired || lag > n.timers.lag {
		n.timers.lag = lag
	}
}

// SetSaturated says for how many seconds the node's owner has been busy without a pause; 0 says that it has pauses. A node that
// is saturated comes to its hosts' answers late, by an unknown time that is no longer than this.
func (n *Node) SetSaturated(seconds float64) { n.timers.saturatedFor = seconds }

// elapsedSince returns how many seconds a host took to answer what was sent at the time sent, less the lag of this node.
// known is false if the lag is too long for the result to mean anything.
func (n *Node) elapsedSince(sent float64) (seconds float64, known bool) {
	lag := max(n.timers.lag, n.timers.saturatedFor)
	return max(n.now-sent-lag, 0), lag <= maxTrustedLag
}
