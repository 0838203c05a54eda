package node

import (
	"fmt"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

// inFlightReserve is the number of descriptors that a predecessor may need in addition to those in use, for the attempts
// of flows that still wait for their answer.
const inFlightReserve = 8

// HandoverState is the state that a process hands over to its successor, including what it inherited from its own
// predecessor. The JSON names are part of the handover protocol between versions.
type HandoverState struct {
	Index        int64                   `json:"Index"`  // discovery's index of the last list
	ListReceived bool                    `json:"Heard"`  // discovery has sent a list since the start
	Hosts        []endpoint.Host         `json:"Hosts"`  // all hosts that were ever listed, by their last entry in a list
	Balancer     placement.HandoverState `json:"Module"` // state of the balancer, with its servers in the order of Hosts
	Connections  []InheritedConnection   `json:"Sits"`   // open connections
	EndedFlows   map[uint64]uint64       `json:"Spent"`  // client keys by the hash of an ended flow's id
	Descriptors  int                     `json:"Held"`   // descriptors in use, including those of this process's own predecessor

	// Revision is the revision of the live settings that is in force, nil if there is none. AdministrativelyDisabled lists
	// the hosts that an operator has disabled. Without a revision it is empty, and Balancer has the disabled hosts.
	Revision                 *live.Revision `json:"Revision,omitempty"`
	AdministrativelyDisabled []string       `json:"DisabledByHand,omitempty"`

	// HostRevisions has the revision of the operators' last call on each host on which there was one.
	HostRevisions map[string]int64 `json:"HostRevisions,omitempty"`

	RanFlows map[uint64]uint64 `json:"Ran,omitempty"` // client keys by the hash of the id of a RanFlow
}

// HandoverUpdate is a change of which one process notifies the other while an upgrade has two of them running. Exactly
// one field is set, besides HostRevision. The JSON names are part of the handover protocol between versions.
type HandoverUpdate struct {
	DisabledHost string               `json:"Out,omitempty"`          // a host that an operator disabled
	EnabledHost  string               `json:"Back,omitempty"`         // a host that an operator enabled
	HostRevision int64                `json:"HostRevision,omitempty"` // of the operator's call; 0 from a version without
	Established  *InheritedConnection `json:"Sits,omitempty"`         // a flow was established
	EndedFlow    string               `json:"Over,omitempty"`         // the id of an established flow that has ended
	Descriptors  int                  `json:"Held,omitempty"`         // descriptors in use

	Revision *live.Revision `json:"Revision,omitempty"` // of the live settings, in force
	RanFlow  *RanFlow       `json:"Ran,omitempty"`
}

// upgrade is the state of an upgrade to another process. A process may have a predecessor and a successor at once.
type upgrade struct {
	hasPredecessor      bool // a predecessor is to be notified of changes that concern it
	successorNotified   bool // a successor has claimed the state and is notified of changes
	descriptorsNotified int  // the number of descriptors that the successor was last notified of
	clientsHandedOver   bool // the successor accepts the clients

	transfers transferQueue // flows whose connections are being transferred to the successor

	reservedMargin  int     // descriptors that a predecessor may use in addition to those that it reports
	inheritedExpiry float64 // when inherited connections expire after the predecessor's end; 0 if none are awaited
}

// notifyFromNow notes that the successor must be notified of all changes from now on.
func (u *upgrade) notifyFromNow() {
	u.successorNotified = true
	u.descriptorsNotified = 0
}

// handoverState returns the state for a successor.
func (n *Node) handoverState() *HandoverState {
	state := &HandoverState{
		Index:        n.endpoints.listIndex,
		ListReceived: n.endpoints.listReceived,
		EndedFlows:   n.flows.ids.ended.All(),
		RanFlows:     n.flows.ids.ran.All(),
		Descriptors:  n.connections.used() + n.connections.reserved,
	}
	n.addHostsTo(state)
	for _, f := range n.flows.byIndex {
		if f != nil && f.established && !f.ended {
			state.Connections = append(state.Connections, *n.describeConnection(f))
		}
	}
	for _, inherited := range n.flows.ids.inherited {
		state.Connections = append(state.Connections, *inherited)
	}
	n.addSettingsTo(state)
	return state
}

// addHostsTo adds the hosts that are not forgotten, and the balancer's state with its servers in their order.
func (n *Node) addHostsTo(state *HandoverState) {
	state.Balancer = n.balancer.HandoverState()
	servers := state.Balancer.Servers
	state.Balancer.Servers = nil
	for i := range n.endpoints.hosts {
		host := &n.endpoints.hosts[i]
		if host.forgotten {
			continue
		}
		state.Hosts = append(state.Hosts, host.listing)
		if i < len(servers) {
			state.Balancer.Servers = append(state.Balancer.Servers, servers[i])
		}
	}
}

// restore applies the state that the predecessor handed over. A later state replaces an earlier one.
func (n *Node) restore(state *HandoverState) {
	indices := make([]int, len(state.Hosts))
	for i, listing := range state.Hosts {
		indices[i] = n.endpoints.indexOf(listing.Name)
	}
	n.restoreList(state)
	n.restoreBalancer(state.Balancer, indices)
	n.restoreSettings(state, indices)
	n.flows.ids.ended.Restore(state.EndedFlows)
	n.flows.ids.ran.Restore(state.RanFlows)
	n.removeAllInherited()
	for i := range state.Connections {
		n.addInherited(&state.Connections[i])
	}
	n.connections.reserved = state.Descriptors + n.upgrade.reservedMargin
}

// restoreList applies the predecessor's endpoint list unless this process has received a newer one.
func (n *Node) restoreList(state *HandoverState) {
	if !state.ListReceived {
		return
	}
	if n.endpoints.listReceived && state.Index < n.endpoints.listIndex {
		return
	}
	n.endpoints.listReceived = true
	n.endpoints.failedCalls = 0
	n.applyList(placement.ListFull, endpoint.List{Index: state.Index, Complete: true, Hosts: state.Hosts})
}

// restoreBalancer passes the predecessor's state to the balancer, with each server under its index in this process. The
// predecessor's own order of servers, that of HandoverState.Hosts, stays as it is.
func (n *Node) restoreBalancer(state placement.HandoverState, indices []int) {
	servers := n.balancer.HandoverState().Servers
	for i, server := range state.Servers {
		if i >= len(indices) {
			break
		}
		missing := max(indices[i]+1-len(servers), 0)
		servers = append(servers, make([]placement.ServerState, missing)...)
		servers[indices[i]] = server
	}
	state.Servers = servers
	n.balancer.Restore(state)
}

// handOverClients leaves new flows to a successor from now on, and begins to transfer the established ones. This process
// keeps only the descriptors in use and a few more for flows that still wait for their answer.
func (n *Node) handOverClients() {
	n.upgrade.clientsHandedOver = true
	table := &n.connections
	table.limit = min(table.limit, table.used()+table.reserved+descriptorReserve+1+inFlightReserve)
	n.balancer.SetHandedOver(true)
	n.emit(WriteLog{fmt.Sprintf("a successor takes the clients: %d descriptors in use", table.used())})
	for _, f := range n.flows.byIndex {
		if f != nil {
			n.beginTransfer(f)
		}
	}
}

// successorGone makes this process serve the clients again if the successor served them. Transfers in transit are not
// canceled here, as ConnectionSent reports the result of each.
func (n *Node) successorGone() {
	n.upgrade.successorNotified = false
	if !n.upgrade.clientsHandedOver {
		return
	}
	n.upgrade.clientsHandedOver = false
	n.connections.limit = n.connections.configuredLimit
	for _, f := range n.upgrade.transfers.waiting {
		if f.awaitsTransfer() {
			n.cancelTransfer(f)
		}
	}
	n.balancer.SetHandedOver(false)
	n.emit(WriteLog{"the successor is gone"})
}

// notifySuccessor notifies a successor, if there is one, of a change in this process.
func (n *Node) notifySuccessor(update HandoverUpdate) {
	if n.upgrade.successorNotified {
		n.emit(UpdatePeerProcess{update, AnyPeer})
	}
}

// notifyDescriptors notifies a successor of how many descriptors this process uses, whenever the number has changed.
func (n *Node) notifyDescriptors() {
	inUse := n.connections.used() + n.connections.reserved
	if !n.upgrade.successorNotified || inUse == n.upgrade.descriptorsNotified || inUse <= 0 {
		return
	}
	n.upgrade.descriptorsNotified = inUse
	n.emit(UpdatePeerProcess{HandoverUpdate{Descriptors: inUse}, AnyPeer})
}

// applyPeerUpdate applies an update from another process of an upgrade. A predecessor ignores updates about its
// successor's connections and descriptors.
func (n *Node) applyPeerUpdate(update HandoverUpdate, from Peer) {
	switch {
	case update.DisabledHost != "":
		n.applyPeerDecision(update.DisabledHost, administrativeState{true, update.HostRevision}, from)
	case update.EnabledHost != "":
		n.applyPeerDecision(update.EnabledHost, administrativeState{false, update.HostRevision}, from)
	case update.Revision != nil:
		n.applyPeerRevision(*update.Revision)
	case update.RanFlow != nil:
		n.peerRanFlow(*update.RanFlow, from)
	case n.upgrade.clientsHandedOver:
	case update.Established != nil:
		n.addInherited(update.Established)
	case update.EndedFlow != "":
		n.inheritedEnded(update.EndedFlow)
	case update.Descriptors > 0:
		n.connections.reserved = update.Descriptors + n.upgrade.reservedMargin
	}
}

// applyPeerRevision applies a revision of the live settings that the other process has in force.
func (n *Node) applyPeerRevision(revision live.Revision) {
	if _, err := n.enforceRevision(revision); err != nil {
		n.emit(WriteLog{fmt.Sprintf("revision %d.%d of the peer process rejected: %v", revision.Epoch,
			revision.Number, err)})
	}
}
