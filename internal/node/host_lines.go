package node

import (
	"gorseledge/internal/line"
)

const (
	// maxTimedLines is the maximum number of unanswered lines of a flow whose answers are timed. Further lines are forwarded
	// but not timed.
	maxTimedLines = 64

	// maxTimedBytes is the maximum number of bytes of unanswered lines at which a host's delay is measured. With more, or with
	// maxTimedLines lines, the client sends ahead of its host: until all are answered, the delay is that of its own lines.
	maxTimedBytes = bufferSize

	// minReportedLoad distinguishes loads from delays in deployments whose hosts report both under the same verb: loads in
	// millionths of a core, delays in milliseconds. Both are parsed as loads, and a value below this share of a core may be
	// a delay. It corresponds to a delay of 2 s.
	minReportedLoad = 2e-3

	// delayUnit is the factor that converts a delay that was parsed as a load (divided by a million) from milliseconds to
	// seconds.
	delayUnit = 1e3
)

// handleHostLine handles a line of a flow's host and reports whether it is to be forwarded.
func (n *Node) handleHostLine(c *connection, text []byte) bool {
	f := c.flow
	verb, rest := line.Split(text)
	if !f.established {
		if verb != line.Up {
			n.attemptFailed(f, outcomeOf(verb))
			return false
		}
		n.establish(f)
		return true
	}
	switch verb {
	case line.Load:
		if load, ok := line.ParseLoad(rest); ok {
			n.reportLoad(f, load)
		}
	case line.Bye, line.Move:
		f.finalWord = verb
		n.setDeadline(c, lingerTimeout)
	default:
		n.measureDelay(f)
	}
	return true
}

// reportLoad passes a value that a host reported for a connection to the balancer: the connection's load or, if the
// settings say that hosts report delays, the time that the host took for a message. Hosts send both under the same verb. A
// delay read as a load would be close to zero, so that an overloaded host would seem idle.
func (n *Node) reportLoad(f *flow, value float64) {
	if n.isDelay(f, value) {
		n.balancer.ReportDelay(n.now, f.index, value*delayUnit)
		return
	}
	f.reportedLoad = value
	n.balancer.ReportLoad(f.index, value)
}

// isDelay reports whether a value that a host reported is a delay rather than a load. If hosts report both, a value below
// half of minReportedLoad is a delay. A value from there to minReportedLoad is a delay only if it does not exceed the last
// load that was reported for the connection.
func (n *Node) isDelay(f *flow, value float64) bool {
	if !n.listener.ReportsDelay {
		return false
	}
	if !n.listener.ReportsLoad {
		return true
	}
	return value < minReportedLoad && f.reportedLoad >= value || value < minReportedLoad/2
}

// unansweredLine is a line of a client that the host has not answered yet.
type unansweredLine struct {
	sentAt float64 // when it was sent to the host, or when this node began to read from the host again, if that was later
	bytes  int
}

// clientLineForwarded records when a line of the client was forwarded to the host. If the host had answered all earlier
// lines, it also sets the deadline for the answer to this line.
func (n *Node) clientLineForwarded(f *flow, bytes int) {
	if len(f.unanswered) == 0 {
		n.setDeadline(f.host, suspectAfter)
	}
	if len(f.unanswered) < maxTimedLines {
		f.unanswered = append(f.unanswered, unansweredLine{sentAt: n.now, bytes: bytes})
		f.unansweredBytes += bytes
	}
	if len(f.unanswered) == maxTimedLines || f.unansweredBytes > maxTimedBytes {
		f.sendsAhead = true
	}
}

// measureDelay counts a line of the host as the answer to the oldest unanswered line. It reports the delay to the balancer,
// unless this node's own lag or the client's lines on the way make it unknown. Unless the connection is about to end, it then
// stops suspecting the host and sets the deadline for the next answer.
func (n *Node) measureDelay(f *flow) {
	if len(f.unanswered) == 0 {
		return
	}
	answered := f.unanswered[0]
	// A host answers the lines of a connection one after the other: a line counts from when the one before was answered.
	delay, known := n.elapsedSince(max(answered.sentAt, f.lastAnswerAt))
	if known && !f.sendsAhead {
		n.balancer.ReportDelay(n.now, f.index, delay)
	}
	f.lastAnswerAt = n.now
	f.unanswered = append(f.unanswered[:0], f.unanswered[1:]...)
	f.unansweredBytes -= answered.bytes
	f.sendsAhead = f.sendsAhead && len(f.unanswered) > 0
	if f.endAnnounced() {
		return // the deadline is now that for the end of the connection
	}
	f.host.clearDeadline()
	f.host.suspected = false
	n.awaitAnswer(f)
}

// endAnnounced reports whether a flow's host has announced its end, or the node ends the connection to it.
func (f *flow) endAnnounced() bool {
	return f.finalWord != line.Other || f.host.pendingClose != StreamOpen
}

// readingResumed handles that this node reads from a flow's host again, after it had left the host's lines unread because the
// client took none. The host is not to blame for that time, so its answers count from now on.
func (n *Node) readingResumed(f *flow) {
	for i := range f.unanswered {
		f.unanswered[i].sentAt = n.now
	}
	if !f.endAnnounced() {
		n.awaitAnswer(f)
	}
}

// awaitAnswer sets the deadline for the host's answer to the oldest unanswered line, if there is one.
func (n *Node) awaitAnswer(f *flow) {
	if len(f.unanswered) > 0 {
		n.setDeadline(f.host, max(f.unanswered[0].sentAt+suspectAfter-n.now, 0))
	}
}
