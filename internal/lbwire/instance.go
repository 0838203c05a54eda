package lbwire

import (
	"gorseledge/internal/peers"
	"gorseledge/placement"
)

// instance is one simulated load-balancer node: a balancer, and the mapping from the protocol's ids of flows and hosts to
// the indices that the balancer uses. A batch is the events of one frame, which all have the same time.
type instance struct {
	balancer     *placement.Balancer
	reportFields []string         // names of the values in a load report, in order
	flows        map[uint32]int   // flow index by flow id
	flowIDs      []uint32         // flow id by flow index
	freeFlows    []int            // released flow indices
	touched      []int            // indices of flows that may have ended in the batch
	hosts        map[uint32]int   // host index by host id
	hostIDs      []uint32         // host id by host index
	gossip       []peers.HostLoad // loads to send to the other instances at the end of the batch
}

func newInstance(settings placement.Settings, reportFields []string) *instance {
	return &instance{
		balancer:     placement.New(settings),
		reportFields: reportFields,
		flows:        map[uint32]int{},
		hosts:        map[uint32]int{},
	}
}

// hostIndex returns the index of a host. It assigns a new index to an unknown host.
func (in *instance) hostIndex(id uint32) int {
	index, known := in.hosts[id]
	if !known {
		index = len(in.hostIDs)
		in.hosts[id] = index
		in.hostIDs = append(in.hostIDs, id)
	}
	return index
}

// addFlow assigns an index to a flow. It returns false if there is already a flow with the id.
func (in *instance) addFlow(id uint32) (index int, added bool) {
	if _, taken := in.flows[id]; taken {
		return 0, false
	}
	if free := len(in.freeFlows); free > 0 {
		index = in.freeFlows[free-1]
		in.freeFlows = in.freeFlows[:free-1]
		in.flowIDs[index] = id
	} else {
		index = len(in.flowIDs)
		in.flowIDs = append(in.flowIDs, id)
	}
	in.flows[id] = index
	in.touched = append(in.touched, index)
	return index, true
}

// flowIndex returns the index of a flow for which an event arrived, or -1, which the balancer ignores, if the flow is unknown.
func (in *instance) flowIndex(id uint32) int {
	index, known := in.flows[id]
	if !known {
		return -1
	}
	in.touched = append(in.touched, index)
	return index
}

// releaseEndedFlows releases the indices of the flows that have ended in the batch.
func (in *instance) releaseEndedFlows() {
	for _, index := range in.touched {
		if in.balancer.Release(index) {
			delete(in.flows, in.flowIDs[index])
			in.freeFlows = append(in.freeFlows, index)
		}
	}
	in.touched = in.touched[:0]
}
