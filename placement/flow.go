package placement

import (
	"cmp"
	"math"
)

const (
	// none is the index of no server.
	none = -1
	// never is the time of an attempt that has not been sent.
	never = -1.0
)

// Arrival is a flow as it reaches this node.
type Arrival struct {
	Type          int     // index of the service type
	Tenant        int     // index of the tenant's quota
	ClientKey     uint64  // identifies the client; 0 for none
	GroupKey      uint64  // identifies the group of flows; 0 for none
	Timeout       float64 // seconds until the client gives up the setup
	Load          float64 // expected load; 0 where it is not known
	MidFlow       bool    // an established connection whose packets now come to this node
	MidFlowServer int     // 1 + the server of the mid-flow connection if the predecessor named it, otherwise 0
	Returning     bool    // the client comes again after its connection broke or was migrated
}

// flow is one flow, from its arrival until it is released.
type flow struct {
	live        bool // the index is in use
	unanswered  bool // the flow is owed a final answer
	inFlight    bool // an attempt, or the connection that it became
	established bool // the attempt became a connection
	midFlow     bool
	returning   bool
	migrated    bool // the client has been sent away

	serviceType int
	tenant      int
	clientHash  uint64
	groupHash   uint64 // 0 without a group
	holder      int    // server that has the mid-flow connection, or none

	deadline  float64 // the final answer is sent before
	load      float64
	server    int     // of the last attempt, or none
	attempts  int     // so far
	tried     []int   // servers of the attempts
	sentAt    float64 // when the last attempt was sent
	ranAt     float64 // when the first attempt that may have run was sent, or never
	ranServer int     // its server
}

// AddFlow reports a flow that arrived. It gets one final answer: a connection, a Reject or an Abort.
func (b *Balancer) AddFlow(now float64, id int, arrival Arrival) {
	f := b.newFlow(id, arrival)
	f.unanswered = true
	f.deadline = now + arrival.Timeout - answerMargin*b.Tick
	b.pendingFlows = append(b.pendingFlows, id)
}

// RestoreFlow reports a connection to a server that was established before this balancer was created.
func (b *Balancer) RestoreFlow(now float64, id int, arrival Arrival, server int) {
	f := b.newFlow(id, arrival)
	f.attempts = 1
	f.sentAt = now
	b.reserve(f, server)
	b.markEstablished(f)
}

// newFlow puts an arrival into the flow table. The group stands in for a client key that is missing, and a
// random number for both. The number is drawn for every flow.
func (b *Balancer) newFlow(id int, arrival Arrival) *flow {
	for len(b.flows) <= id {
		b.flows = append(b.flows, flow{})
	}
	key := cmp.Or(arrival.ClientKey, arrival.GroupKey, math.Float64bits(b.random()))
	f := &b.flows[id]
	*f = flow{
		live:        true,
		midFlow:     arrival.MidFlow,
		returning:   arrival.Returning,
		serviceType: min(max(arrival.Type, 0), len(b.ServiceTypes)-1),
		tenant:      min(max(arrival.Tenant, 0), len(b.Quotas)),
		clientHash:  hash64(key),
		holder:      arrival.MidFlowServer - 1,
		load:        max(arrival.Load, 0),
		server:      none,
		tried:       f.tried[:0],
		ranAt:       never,
	}
	if arrival.GroupKey != 0 {
		f.groupHash = hash64(arrival.GroupKey)
	}
	return f
}

// ClientLeft reports that the client of a flow is gone, so that it is owed no answer.
func (b *Balancer) ClientLeft(id int) {
	if b.isLive(id) {
		b.flows[id].unanswered = false
	}
}

// Release frees the index of a flow and reports whether it did: nothing may be in flight and no answer be owed.
func (b *Balancer) Release(id int) bool {
	if !b.isLive(id) || b.flows[id].unanswered || b.flows[id].inFlight {
		return false
	}
	b.flows[id].live = false
	return true
}

func (b *Balancer) isLive(id int) bool {
	return id >= 0 && id < len(b.flows) && b.flows[id].live
}

// reserve counts an attempt of a flow at a server.
func (b *Balancer) reserve(f *flow, index int) {
	s := b.server(index)
	f.server = index
	f.inFlight = true
	f.load = b.expectedLoad(f)
	s.inFlight++
	s.assignedLoad += f.load
	b.attemptsInFlight++
}

// unreserve takes back what reserve and markEstablished counted.
func (b *Balancer) unreserve(f *flow) {
	s := &b.servers[f.server]
	s.inFlight--
	s.assignedLoad -= f.load
	if f.established {
		b.openByTenant[f.tenant]--
	} else {
		b.attemptsInFlight--
	}
	f.inFlight = false
	f.established = false
}

// markEstablished counts an attempt in flight as a connection, which is a flow's final answer.
func (b *Balancer) markEstablished(f *flow) {
	f.established = true
	f.unanswered = false
	b.attemptsInFlight--
	b.openByTenant[f.tenant]++
}
