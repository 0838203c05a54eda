package node

import (
	"cmp"

	"gorseledge/internal/line"
	"gorseledge/placement"
)

// descriptorsPerFlow is how many descriptors an established flow takes: its client's and its host's.
const descriptorsPerFlow = 2

// flow is one client's request for a connection to a host, from its opening line on.
type flow struct {
	index       int // the balancer's
	serviceType int // index in the settings
	client      *connection
	host        *connection // of the attempt under way, or of the last one
	openingLine []byte
	opening     line.Opening // openingLine, parsed
	restored    bool         // it was open at its host before this node began

	attempt       int  // number of the attempt under way, from 0; -1 before the first
	hostIndex     int  // the host of that attempt
	attemptActive bool // the balancer does not know yet how the attempt ended
	lineSent      bool // the opening line is written to the host to its last byte

	established     bool
	over            bool
	finalWord       line.Verb // what the host sent to announce its end
	setupTime       float64   // seconds from the accept until the flow was established
	reportedLoad    float64   // the load that the host reported last
	unansweredSince []float64 // when lines went to the host that had none back yet, oldest first

	transferring      bool    // it goes over to a successor, so nothing more is read
	transferStartedAt float64 // when that began
	inTransit         bool    // its connections are on their way to the successor
}

// describe returns the flow's connection as another process is notified of it.
func (f *flow) describe(hostName string) *InheritedConnection {
	return &InheritedConnection{
		ID:        f.opening.ID,
		ClientKey: f.opening.ClientKey,
		Host:      hostName,
		Load:      cmp.Or(f.reportedLoad, f.opening.Load),
	}
}

// flowTable holds the flows by the balancer's index. An index is free again once the balancer has released it.
type flowTable struct {
	byIndex     []*flow // nil where the index is free
	freeIndices []int
	releasable  []int // indices that the balancer may be done with
	ids         flowIDs
}

// add gives a flow its index.
func (t *flowTable) add(f *flow) {
	if free := len(t.freeIndices); free > 0 {
		f.index = t.freeIndices[free-1]
		t.freeIndices = t.freeIndices[:free-1]
		t.byIndex[f.index] = f
	} else {
		f.index = len(t.byIndex)
		t.byIndex = append(t.byIndex, f)
	}
	t.ids.add(f)
}

// markReleasable notes that the balancer may be done with a flow.
func (t *flowTable) markReleasable(f *flow) { t.releasable = append(t.releasable, f.index) }

// remove frees a flow's index and remembers its id.
func (t *flowTable) remove(f *flow) {
	t.ids.remove(f)
	t.byIndex[f.index] = nil
	t.freeIndices = append(t.freeIndices, f.index)
}

// count returns how many flows there are.
func (t *flowTable) count() int {
	count := 0
	for _, f := range t.byIndex {
		if f != nil {
			count++
		}
	}
	return count
}

// releaseFlows frees the indices of flows for which the balancer expects nothing more.
func (n *Node) releaseFlows() {
	for _, index := range n.flows.releasable {
		if f := n.flows.byIndex[index]; f != nil && n.balancer.Release(index) {
			n.flows.remove(f)
		}
	}
	n.flows.releasable = n.flows.releasable[:0]
}

// describeConnection returns a flow's connection as another process is notified of it.
func (n *Node) describeConnection(f *flow) *InheritedConnection {
	return f.describe(n.endpoints.hosts[f.hostIndex].name)
}

// arrivalOf returns what the balancer is given of a new flow. A flow whose connection was the predecessor's
// no longer counts as such.
func (n *Node) arrivalOf(f *flow) placement.Arrival {
	tenant, known := n.tenants[f.opening.Tenant]
	if !known {
		tenant = len(n.listener.Tenants) // one without a quota
	}
	arrival := placement.Arrival{
		Type:      f.serviceType,
		Tenant:    tenant,
		ClientKey: f.opening.ClientKey,
		GroupKey:  f.opening.GroupKey,
		Timeout:   f.opening.Timeout,
		Load:      f.opening.Load,
		MidFlow:   f.opening.MidFlow,
		Returning: f.opening.Returning,
	}
	if inherited := n.flows.ids.inherited[f.opening.ID]; inherited != nil {
		arrival.MidFlowServer = 1 + inherited.hostIndex
		n.removeInherited(inherited.ID)
	}
	return arrival
}

// finish reports to the balancer that an established connection is over, and ends the client's side as end says.
func (n *Node) finish(f *flow, end StreamState, reason Reason, outcome placement.Outcome) {
	n.markOver(f)
	n.endAttempt(f, outcome)
	c := f.client
	if c.endReason == "" {
		c.endReason = reason
	}
	c.closeAs = end
	if c.closed {
		return
	}
	n.setDeadline(c, lingerTimeout)
	n.flush(c)
}

// endAttempt reports to the balancer how a flow's last attempt ended; nothing more comes of the flow.
func (n *Node) endAttempt(f *flow, outcome placement.Outcome) {
	f.attemptActive = false
	n.balancer.AttemptEnded(n.now, f.index, f.attempt, outcome, true)
	n.flows.markReleasable(f)
}
