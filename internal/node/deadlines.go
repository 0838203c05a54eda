package node

import (
	"container/heap"
	"math"

	"gorseledge/internal/line"
)

// maxTrustedLag is the lag in seconds of the node's own timer from which on it measures nothing of hosts.
const maxTrustedLag = 0.05

// deadline is a time at which a connection is to be looked at. It is stale once the connection's deadlineVersion has
// moved on.
type deadline struct {
	time       float64
	connection ConnID
	version    uint64
}

// deadlineHeap orders deadlines by time, the earliest first, for container/heap.
type deadlineHeap []deadline

// Len, Less and Swap implement sort.Interface, as container/heap needs it.
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

// timers keeps all times at which the node is to be woken, and measures how late it is woken. A flow's deadline is that
// of one of its connections: each connection has at most one, and setting it again replaces it.
type timers struct {
	deadlines    deadlineHeap // with stale entries
	balancerWake float64      // when the balancer wants to be woken, infinite for never
	armedAt      float64      // the time of the timer asked for last, infinite for none
	granularity  float64      // seconds by which timers are late in the ordinary way
	lag          float64      // seconds by which this node is behind, see measureLag
}

// newTimers returns timers of which none is set. granularity is in seconds.
func newTimers(granularity float64) timers {
	return timers{balancerWake: math.Inf(1), armedAt: math.Inf(1), granularity: granularity}
}

// disarm notes that the timer has fired.
func (t *timers) disarm() { t.armedAt = math.Inf(1) }

// setDeadline has a connection looked at in after seconds, in place of its earlier deadline.
func (n *Node) setDeadline(c *connection, after float64) {
	c.deadlineVersion++
	heap.Push(&n.timers.deadlines, deadline{n.now + after, c.id, c.deadlineVersion})
}

// clearDeadline takes back a connection's deadline.
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

// deadlineExpired handles a connection that waited long enough.
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

// clientDeadlineExpired handles a client that sent no line in time, or does not end.
func (n *Node) clientDeadlineExpired(c *connection) {
	f := c.flow
	switch {
	case f != nil && f.established && !f.over:
		n.connectionBroke(c) // what was written to it failed
	case f == nil && c.closeAs == StreamOpen && !c.writeClosed:
		n.dismiss(c, NoLine)
	default:
		c.endBeforeOpening(NoLine)
		n.closeConnection(c, false)
	}
}

// hostDeadlineExpired handles a host that has not answered, or not ended, in time.
func (n *Node) hostDeadlineExpired(c *connection) {
	f := c.flow
	switch {
	case !f.established:
		n.attemptFailed(f, interruptedOutcome(f.lineSent, true))
	case f.finalWord != line.Other || c.closeAs != StreamOpen:
		n.hostEnded(f) // the host announced its end, or its client ended: the end itself is late
	case c.writeClosed:
		n.connectionBroke(c)
	case len(f.unansweredSince) > 0 && c.buffer.Free() > 0:
		n.answerOverdue(c)
	}
}

// nextDeadline drops stale deadlines and returns the time at which the node is to be woken next, infinite for never.
func (n *Node) nextDeadline() float64 {
	next := min(n.timers.balancerWake, n.watch.deadline(), n.live.nextOverrideExpiry)
	if n.startup.awaitsOpening() && n.awaitsSettings() {
		next = min(next, n.live.awaitDeadline)
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

// armTimer asks for a timer at the next deadline, unless it is armed for that time already.
func (n *Node) armTimer() {
	next := n.nextDeadline()
	if next == n.timers.armedAt || math.IsInf(next, 1) {
		return
	}
	n.timers.armedAt = next
	n.emit(SetTimer{next})
}

// measureLag measures by how much this node is behind. Its input has waited in the kernel for an unknown time, at most
// for as long as the node's own timer waited to be handled. The figure holds until a timer fires in time. This prevents
// a node that was held up from blaming its hosts for the delay.
func (n *Node) measureLag(input Input) {
	lag := max(n.now-n.timers.armedAt-n.timers.granularity, 0)
	_, fired := input.(TimerFired)
	if fired || lag > n.timers.lag {
		n.timers.lag = lag
	}
}

// elapsedSince returns how many seconds a host took for what was sent at a time, without those by which this node is
// behind. known is false where the node is so far behind that nothing is known.
func (n *Node) elapsedSince(sent float64) (seconds float64, known bool) {
	return max(n.now-sent-n.timers.lag, 0), n.timers.lag <= maxTrustedLag
}
