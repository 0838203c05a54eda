package node

import "gorseledge/internal/line"

// FlowCounts counts one service type's flows by how they were answered, since the start of the process.
type FlowCounts struct {
	Type                           string
	Established, Rejected, Aborted int
	ClientLeft                     int // the client did not wait for its answer
}

// Figures are what the node tells of itself.
type Figures struct {
	Types       []FlowCounts // in the order of the settings
	Accepted    int          // flows, from their first line on
	Dispatched  int          // first lines written to hosts, to the last byte
	Waiting     int          // flows that wait for their answer
	Open        int          // flows that wait or are established
	Listed      int          // hosts in the list
	Unavailable int          // hosts in the list that take no new flows now
}

// taken counts a flow: its first line is whole, of a known service type and under an id of its own.
func (n *Node) taken() {
	n.figures.Accepted++
	n.figures.Waiting++
	n.figures.Open++
}

// dispatched takes the news that a flow's line is written to its last byte: from here on the connect may have run.
func (n *Node) dispatched(f *flow) {
	if !f.sent {
		f.sent = true
		n.figures.Dispatched++
	}
}

// settled counts how a flow that waited was answered; each flow that was taken passes here once.
func (n *Node) settled(as *int) {
	*as++
	n.figures.Waiting--
}

// gone counts the end of a flow, once.
func (n *Node) gone(f *flow) {
	if !f.over {
		f.over = true
		n.figures.Open--
		if f.established {
			n.tellSuccessor(HandoverUpdate{EndedFlow: f.opening.ID})
		}
	}
}

// told counts a flow's final answer by its words.
func (n *Node) told(kind int, words []byte) {
	t := &n.figures.Types[kind]
	if word, _ := line.Split(words); word == line.Busy {
		n.settled(&t.Rejected)
	} else {
		n.settled(&t.Aborted)
	}
}

// tell gives the figures as they stand.
func (n *Node) tell() Figures {
	f := n.figures
	f.Types = append([]FlowCounts(nil), f.Types...)
	f.Listed, f.Unavailable = n.module.Unavailable(n.now)
	return f
}
