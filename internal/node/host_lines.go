package node

import (
	"gorseledge/internal/line"
)

const (
	maxTimedLines = 64 // lines without an answer that are timed, a flow

	// minReportedLoad is the load, as a share of a core, below which a figure of a host counts as a delay where hosts
	// report both under one word: delays come in thousandths, loads in millionths.
	minReportedLoad = 2e-3

	delayUnit = 1e3 // a delay is reported in thousandths of a second, and read as a load in millionths
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

// reportLoad gives the balancer what a host reports of a connection: its load or, where the settings say that hosts
// report delays too, how long a message takes there. Both come under one word. A delay that passed for a load would
// make an overloaded host look empty.
func (n *Node) reportLoad(f *flow, figure float64) {
	if n.isDelay(f, figure) {
		n.balancer.ReportDelay(n.now, f.index, figure*delayUnit)
		return
	}
	f.reportedLoad = figure
	n.balancer.ReportLoad(f.index, figure)
}

// isDelay reports whether a host's figure is a delay and no load.
func (n *Node) isDelay(f *flow, figure float64) bool {
	if !n.listener.ReportsDelay {
		return false
	}
	if !n.listener.ReportsLoad {
		return true
	}
	return figure < minReportedLoad && f.reportedLoad >= figure || figure < minReportedLoad/2
}

// clientLineForwarded notes that a line goes to the host, which is expected to answer it.
func (n *Node) clientLineForwarded(f *flow) {
	if len(f.unansweredSince) == 0 {
		n.setDeadline(f.host, suspectAfter)
	}
	if len(f.unansweredSince) < maxTimedLines {
		f.unansweredSince = append(f.unansweredSince, n.now)
	}
}

// measureDelay takes a line of the host for the answer to the oldest line without one, and measures how long it took.
func (n *Node) measureDelay(f *flow) {
	if len(f.unansweredSince) == 0 {
		return
	}
	if delay, known := n.elapsedSince(f.unansweredSince[0]); known {
		n.balancer.ReportDelay(n.now, f.index, delay)
	}
	f.unansweredSince = append(f.unansweredSince[:0], f.unansweredSince[1:]...)
	if f.finalWord != line.Other || f.host.closeAs != StreamOpen {
		return
	}
	f.host.clearDeadline()
	f.host.suspected = false
	n.awaitAnswer(f)
}

// awaitAnswer sets the deadline for the answer to the oldest line that a host has not answered, if there is one.
func (n *Node) awaitAnswer(f *flow) {
	if len(f.unansweredSince) > 0 {
		n.setDeadline(f.host, max(f.unansweredSince[0]+suspectAfter-n.now, 0))
	}
}
