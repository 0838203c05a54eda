package node

import (
	"gorseledge/internal/line"
)

const (
	maxTimedLines = 64 // unanswered lines whose answers are timed, per flow

	// minReportedLoad is the load, as a share of a core, below which a reported value may be a delay if hosts report both
	// under one word. Delays are reported in thousandths, loads in millionths.
	minReportedLoad = 2e-3

	delayUnit = 1e3 // factor from a value parsed as a load in millionths to a delay, reported in thousandths of a second
)

// handleHostLine handles a line of a flow's host and reports whether it is to be forwarded.
func (n *Node) handleHostLine(c *connection, text []byte) bool {
	f := c.flow
	word, rest := line.Split(text)
	if !f.established {
		if word != line.Up {
			n.attemptFailed(f, outcomeOf(word))
			return false
		}
		n.establish(f)
		return true
	}
	switch word {
	case line.Load:
		if load, ok := line.ParseLoad(rest); ok {
			n.reportLoad(f, load)
		}
	case line.Bye, line.Move:
		f.finalWord = word
		n.setDeadline(c, lingerTimeout)
	default:
		n.measureDelay(f)
	}
	return true
}

// reportLoad passes to the balancer the value that a host reports for a connection. It is the connection's load or, if
// the settings say that hosts also report delays, the delay of its messages at the host. Hosts send both under one word,
// and a delay that was mistaken for a load would make an overloaded host appear to be empty.
func (n *Node) reportLoad(f *flow, value float64) {
	if n.isDelay(f, value) {
		n.balancer.ReportDelay(n.now, f.index, value*delayUnit)
		return
	}
	f.reportedLoad = value
	n.balancer.ReportLoad(f.index, value)
}

// isDelay reports whether a value that a host reports is a delay rather than a load.
func (n *Node) isDelay(f *flow, value float64) bool {
	if !n.listener.ReportsDelay {
		return false
	}
	if !n.listener.ReportsLoad {
		return true
	}
	return value < minReportedLoad && f.reportedLoad >= value || value < minReportedLoad/2
}

// clientLineForwarded starts the wait for the host's answer to a line of the client.
func (n *Node) clientLineForwarded(f *flow) {
	if len(f.unansweredSince) == 0 {
		n.setDeadline(f.host, suspectAfter)
	}
	if len(f.unansweredSince) < maxTimedLines {
		f.unansweredSince = append(f.unansweredSince, n.now)
	}
}

// measureDelay counts a line of the host as the answer to the oldest unanswered line, and reports how long it took.
func (n *Node) measureDelay(f *flow) {
	if len(f.unansweredSince) == 0 {
		return
	}
	if delay, known := n.elapsedSince(f.unansweredSince[0]); known {
		n.balancer.ReportDelay(n.now, f.index, delay)
	}
	f.unansweredSince = append(f.unansweredSince[:0], f.unansweredSince[1:]...)
	if f.finalWord != line.Other || f.host.pendingClose != StreamOpen {
		return
	}
	f.host.clearDeadline()
	f.host.suspected = false
	n.awaitAnswer(f)
}

// awaitAnswer sets the deadline for the host's answer to the oldest unanswered line, if there is one.
func (n *Node) awaitAnswer(f *flow) {
	if len(f.unansweredSince) > 0 {
		n.setDeadline(f.host, max(f.unansweredSince[0]+suspectAfter-n.now, 0))
	}
}
