package node

import (
	"cmp"

	"gorseledge/internal/line"
	"gorseledge/placement"
)

// descriptorsPerFlow is the number of descriptors of an established flow: one for the client and one for the host.
const descriptorsPerFlow = 2

// flow is one client's request for a connection to a host, from its opening line on.
type flow struct {
	index       int // the balancer's index of the flow
	serviceType int // index of the service type in the settings
	client      *connection
	host        *connection // connection of the current or last attempt
	openingLine []byte
	opening     line.Opening // the parsed openingLine
	restored    bool         // the opening line names the host at which the flow is already open

	attempt       int  // number of the current or last attempt, from 0; -1 before the first
	hostIndex     int  // the host of that attempt
	attemptActive bool // the end of the attempt has not been reported to the balancer
	lineSent      bool // the opening line is written to the host to its last byte
	mayHaveRun    bool // an attempt has ended that may have run
	rememberedRan bool // the flow's id is remembered as that of a RanFlow since its opening line was written

	established     bool
	ended           bool
	finalWord       line.Verb        // BYE or MOVE, with which the host announced its end; line.Other before that
	setupTime       float64          // seconds from accepting the client until the flow was established
	reportedLoad    float64          // the load that the host reported last
	unanswered      []unansweredLine // oldest first
	unansweredBytes int              // of these lines
	sendsAhead      bool             // the client sends so much without waiting that answers say little about the host
	lastAnswerAt    float64          // when the host last answered a line

	transferring      bool    // the flow is being handed over to a successor, so nothing more is read from it
	transferStartedAt float64 // when transferring was set
	transferReady     bool    // in the ready flows of the transferQueue
	inTransit         bool    // SendConnection was emitted for the flow and its result is still awaited
}

// describe returns the description of the flow's connection that is sent to the other process of an upgrade.
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
	byIndex     []*flow // nil if the index is free
	freeIndices []int
	releasable  []int // indices that the balancer may be ready to release
	ids         flowIDs
}

// add adds a flow and assigns its index.
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

// markReleasable notes that the balancer may be ready to release a flow.
func (t *flowTable) markReleasable(f *flow) { t.releasable = append(t.releasable, f.index) }

// remove frees a flow's index and remembers its id.
func (t *flowTable) remove(f *flow) {
	t.ids.remove(f)
	t.byIndex[f.index] = nil
	t.freeIndices = append(t.freeIndices, f.index)
}

// count returns the number of flows.
func (t *flowTable) count() int {
	count := 0
	for _, f := range t.byIndex {
		if f != nil {
			count++
		}
	}
	return count
}

// releaseFlows removes the flows that the balancer is ready to release.
func (n *Node) releaseFlows() {
	for _, index := range n.flows.releasable {
		if f := n.flows.byIndex[index]; f != nil && n.balancer.Release(index) {
			n.forgetIfNeverRan(f)
			n.flows.remove(f)
		}
	}
	n.flows.releasable = n.flows.releasable[:0]
}

// describeConnection returns the description of a flow's connection that is sent to the other process of an upgrade.
func (n *Node) describeConnection(f *flow) *InheritedConnection {
	return f.describe(n.endpoints.hosts[f.hostIndex].name)
}

// arrivalOf returns the balancer's description of a new flow. If the flow's connection was inherited from the
// predecessor, it no longer counts as inherited.
func (n *Node) arrivalOf(f *flow) placement.Arrival {
	tenant, known := n.tenants[f.opening.Tenant]
	if !known {
		tenant = len(n.listener.Tenants) // the index of a tenant without a quota
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

// finish reports the end of an established flow to the balancer, and ends the client's connection: in order with
// StreamEnded, by a reset with StreamBroken.
func (n *Node) finish(f *flow, end StreamState, reason Reason, outcome placement.Outcome) {
	n.markEnded(f)
	n.endAttempt(f, outcome)
	c := f.client
	if c.endReason == "" {
		c.endReason = reason
	}
	c.pendingClose = end
	if c.closed {
		return
	}
	n.setDeadline(c, lingerTimeout)
	n.flush(c)
}

// endAttempt reports to the balancer the outcome of a flow's last attempt, after which the flow is not retried.
func (n *Node) endAttempt(f *flow, outcome placement.Outcome) {
	f.attemptActive = false
	f.mayHaveRun = f.mayHaveRun || f.lineMayBeSent()
	n.balancer.AttemptEnded(n.now, f.index, f.attempt, outcome, true)
	n.flows.markReleasable(f)
}
