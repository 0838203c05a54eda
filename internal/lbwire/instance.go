package lbwire

import (
	"gorseledge/internal/peers"
	"gorseledge/placement"
)

// instance is one simulated instance: a balancer, with the small indices by which it knows the protocol's flows and
// hosts.
type instance struct {
	balancer     *placement.Balancer
	reportFields []string         // names of a load report's figures
	flows        map[uint32]int   // index by id
	flowIDs      []uint32         // id by index
	freeFlows    []int            // indices that no flow has
	touched      []int            // flows that may have ended in this batch
	hosts        map[uint32]int   // index by id
	hostIDs      []uint32         // id by index
	gossip       []peers.HostLoad // for the other instances, in this batch
}

func newInstance(settings placement.Settings, reportFields []string) *instance {
	return &instance{
		balancer:     placement.New(settings),
		reportFields: reportFields,
		flows:        map[uint32]int{},
		hosts:        map[uint32]int{},
	}
}

// hostIndex gives a host's index, a new one for a host that is not known.
func (in *instance) hostIndex(id uint32) int {
	index, known := in.hosts[id]
	if !known {
		index = len(in.hostIDs)
		in.hosts[id] = index
		in.hostIDs = append(in.hostIDs, id)
	}
	return index
}

// addFlow gives a flow an index, and false for an id that a flow has already.
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

// flowIndex gives the index of a flow that an event is about, -1 for one that is not known.
func (in *instance) flowIndex(id uint32) int {
	index, known := in.flows[id]
	if !known {
		return -1
	}
	in.touched = append(in.touched, index)
	return index
}

// releaseEndedFlows frees the indices of the batch's flows that have ended.
func (in *instance) releaseEndedFlows() {
	for _, index := range in.touched {
		if in.balancer.Release(index) {
			delete(in.flows, in.flowIDs[index])
			in.freeFlows = append(in.freeFlows, index)
		}
	}
	in.touched = in.touched[:0]
}
