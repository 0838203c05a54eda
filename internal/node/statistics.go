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
	ClientLeft  int // the client disconnected before its answer
}

// Statistics holds the statistics of a node. Types, Accepted and Dispatched count since the start of the process; the
// other fields are current numbers.
type Statistics struct {
	Types       []FlowCounts // in the order of the service types in the settings
	Accepted    int          // flows with a valid opening line
	Dispatched  int          // opening lines written to hosts, to the last byte
	Waiting     int          // flows that wait for their answer
	Open        int          // flows that wait for their answer or are established
	Listed      int          // hosts on the list
	Unavailable int          // hosts on the list that get no new flows now
}

// newStatistics returns statistics for the service types with all counts at zero.
func newStatistics(serviceTypes []string) Statistics {
	var statistics Statistics
	for _, name := range serviceTypes {
		statistics.Types = append(statistics.Types, FlowCounts{Type: name})
	}
	return statistics
}

// countAccepted counts a flow whose opening line is complete and valid, has a known service type, and whose id does not
// conflict with another client's flow.
func (n *Node) countAccepted() {
	n.statistics.Accepted++
	n.statistics.Waiting++
	n.statistics.Open++
}

// markLineSent notes, once per attempt, that the opening line is written to its last byte. From here on the request may
// have run at its host.
func (n *Node) markLineSent(f *flow) {
	if f.lineSent {
		return
	}
	f.lineSent = true
	n.statistics.Dispatched++
}

// countAnswered counts the answer to a waiting flow in counter, that of the kind of answer. It is called once for each
// accepted flow.
func (n *Node) countAnswered(counter *int) {
	*counter++
	n.statistics.Waiting--
}

// countFinalAnswer counts a flow as rejected or aborted, depending on the reply to its client.
func (n *Node) countFinalAnswer(serviceType int, reply []byte) {
	counts := &n.statistics.Types[serviceType]
	word, _ := line.Split(reply)
	if word == line.Busy {
		n.countAnswered(&counts.Rejected)
		return
	}
	n.countAnswered(&counts.Aborted)
}

// markEnded notes the end of a flow, once.
func (n *Node) markEnded(f *flow) {
	if f.ended {
		return
	}
	n.upgrade.transfers.ended(f)
	f.ended = true
	n.statistics.Open--
	if f.established {
		n.notifySuccessor(HandoverUpdate{EndedFlow: f.opening.ID})
	}
}

// currentStatistics returns a copy of the statistics with the current numbers.
func (n *Node) currentStatistics() Statistics {
	statistics := n.statistics
	statistics.Types = slices.Clone(statistics.Types)
	statistics.Listed, statistics.Unavailable = n.balancer.Unavailable(n.now)
	return statistics
}
