package node

import (
	"slices"

	"gorseledge/internal/line"
)

// FlowCounts counts one service type's flows by how they were answered, since the start of the process.
type FlowCounts struct {
	Type        string
	Established int
	Rejected    int
	Aborted     int
	ClientLeft  int // the client did not wait for its answer
}

// Statistics are what the node reports of itself: counts since the start of the process, and current numbers.
type Statistics struct {
	Types       []FlowCounts // in the order of the settings
	Accepted    int          // flows, from their opening line on
	Dispatched  int          // opening lines written to hosts, to the last byte
	Waiting     int          // flows that wait for their answer
	Open        int          // flows that wait or are established
	Listed      int          // hosts on the list
	Unavailable int          // hosts on the list that take no new flows now
}

// newFigures returns statistics of zero for the service types.
func newFigures(serviceTypes []string) Statistics {
	var figures Statistics
	for _, name := range serviceTypes {
		figures.Types = append(figures.Types, FlowCounts{Type: name})
	}
	return figures
}

// countAccepted counts a flow: its opening line is whole, of a known service type and under an id of its own.
func (n *Node) countAccepted() {
	n.figures.Accepted++
	n.figures.Waiting++
	n.figures.Open++
}

// markLineSent notes, once an attempt, that the opening line is written to its last byte: from here on the attempt may
// have run at its host.
func (n *Node) markLineSent(f *flow) {
	if f.lineSent {
		return
	}
	f.lineSent = true
	n.figures.Dispatched++
}

// countAnswered counts a flow that waited under counter, which says how it was answered. Each accepted flow is counted
// here once.
func (n *Node) countAnswered(counter *int) {
	*counter++
	n.figures.Waiting--
}

// countFinalAnswer counts a flow that is rejected or aborted, by the reply that its client gets.
func (n *Node) countFinalAnswer(serviceType int, reply []byte) {
	counts := &n.figures.Types[serviceType]
	word, _ := line.Split(reply)
	if word == line.Busy {
		n.countAnswered(&counts.Rejected)
		return
	}
	n.countAnswered(&counts.Aborted)
}

// markOver notes the end of a flow, once.
func (n *Node) markOver(f *flow) {
	if f.over {
		return
	}
	f.over = true
	n.figures.Open--
	if f.established {
		n.notifySuccessor(HandoverUpdate{EndedFlow: f.opening.ID})
	}
}

// currentFigures returns a copy of the figures as they stand.
func (n *Node) currentFigures() Statistics {
	figures := n.figures
	figures.Types = slices.Clone(figures.Types)
	figures.Listed, figures.Unavailable = n.balancer.Unavailable(n.now)
	return figures
}
