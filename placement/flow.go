package placement

import (
	"cmp"
	"math"
)

const (
	// none stands for the absence of a server where an index is expected.
	none = -1
	// never stands for the time of an attempt that has not been sent.
	never = -1.0
)

// Arrival describes a flow that reaches this node.
type Arrival struct {
	Type          int     // index of the service type
	Tenant        int     // index of the tenant's quota
	ClientKey     uint64  // identifies the client; 0 for none
	GroupKey      uint64  // identifies the group of flows; 0 for none
	Timeout       float64 // seconds until the client gives up waiting for the setup
	Load          float64 // expected load; 0 if it is not known
	MidFlow       bool    // the flow is an established connection whose packets now arrive at this node
	MidFlowServer int     // 1 + index of the mid-flow connection's server if the predecessor reported it, otherwise 0
	Returning     bool    // the client connects again after its connection was lost or migrated
}

// flow is the state of one flow, from its arrival until it is released.
type flow struct {
	live        bool // the index is assigned to a flow
	unanswered  bool // the flow has not received its final answer and still needs it
	inFlight    bool // there is an attempt, or a connection that it became
	established bool // the attempt in flight became a connection
	midFlow     bool
	returning   bool
	migrated    bool // the client has been asked to disconnect and connect again

	serviceType int
	tenant      int
	clientHash  uint64
	groupHash   uint64 // 0 if the flow has no group
	holder      int    // server that has the mid-flow connection; none if it is not known

	deadline  float64 // time by which the final answer is sent
	load      float64 // expected or last reported load
	server    int     // server of the last attempt, or none
	attempts  int     // number of attempts so far
	tried     []int   // servers of the attempts
	sentAt    float64 // when the last attempt was sent
	ranAt     float64 // when the first attempt that may have had an effect was sent, or never
	ranServer int     // server of that attempt
}

// AddFlow reports a flow that arrived. The flow receives one final answer: a connection, a Reject or an Abort.
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

// newFlow adds a flow to the flow table. If the client key is missing, the group key is hashed in its place, and if
// both are missing, a random number. The random number is generated for every flow, used or not.
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

// ClientLeft reports that the client of a flow has disconnected, so that the flow needs no final answer.
func (b *Balancer) ClientLeft(id int) {
	if b.isLive(id) {
		b.flows[id].unanswered = false
	}
}

// Release frees the index of a flow and returns true, unless the flow has an attempt or connection in flight or still
// needs its final answer.
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

// unreserve reverses the counts of reserve and markEstablished.
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

// markEstablished counts the attempt of a flow as a connection, which is the flow's final answer.
func (b *Balancer) markEstablished(f *flow) {
	f.established = true
	f.unanswered = false
	b.attemptsInFlight--
	b.openByTenant[f.tenant]++
}
