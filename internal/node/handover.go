package node

import (
	"fmt"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

// inFlightReserve is how many descriptors a predecessor may need beside those in use, for attempts of flows in flight.
const inFlightReserve = 8

// HandoverState is what a process hands over to its successor, with what its own predecessor left. The JSON names are
// those of the handover between versions.
type HandoverState struct {
	Index        int64                   `json:"Index"`  // discovery's index of the last list
	ListReceived bool                    `json:"Heard"`  // discovery has sent a list since the start
	Hosts        []endpoint.Host         `json:"Hosts"`  // all that were ever listed, as they were listed last
	Balancer     placement.HandoverState `json:"Module"` // its servers are in the order of Hosts
	Connections  []InheritedConnection   `json:"Sits"`   // open connections
	EndedFlows   map[uint64]uint64       `json:"Spent"`  // client keys by the hash of an ended flow's id
	Descriptors  int                     `json:"Held"`   // descriptors in use, those of the own predecessor included

	// Revision is that of the live settings, nil for none. AdministrativelyDisabled lists the hosts that an operator
	// disabled; it is empty without a revision, when Balancer says which hosts are disabled.
	Revision                 *live.Revision `json:"Revision,omitempty"`
	AdministrativelyDisabled []string       `json:"DisabledByHand,omitempty"`
}

// HandoverUpdate is what one process notifies the other of while there are two. One field is set. The JSON names are
// those of the handover between versions.
type HandoverUpdate struct {
	DisabledHost string               `json:"Out,omitempty"`  // a host that an operator disabled
	EnabledHost  string               `json:"Back,omitempty"` // a host that an operator enabled
	Established  *InheritedConnection `json:"Sits,omitempty"` // a flow was established
	EndedFlow    string               `json:"Over,omitempty"` // the id of a flow that was established and is over
	Descriptors  int                  `json:"Held,omitempty"` // descriptors in use

	Revision *live.Revision `json:"Revision,omitempty"` // of the live settings, in force
}

// upgrade is what is owed to the other process of an upgrade. A process may have a predecessor and a successor at once.
type upgrade struct {
	successorNotified   bool // a successor has claimed the state and is notified of changes
	descriptorsNotified int  // the number of descriptors that it was notified of last
	clientsHandedOver   bool // it takes the clients

	transfers         []*flow // that are to go over to it
	transfersInFlight int     // how many of these are on their way

	reservedMargin  int     // descriptors that a predecessor may take beside those that it says it uses
	pendingQueries  []Query // of operators about hosts, from before the predecessor handed over the clients
	inheritedExpiry float64 // when connections of a predecessor that is gone no longer come again; 0 for none expected
}

// notifyFromNow notes that a successor is notified of all changes from now on.
func (u *upgrade) notifyFromNow() {
	u.successorNotified = true
	u.descriptorsNotified = 0
}

// handoverState returns all that a successor is given.
func (n *Node) handoverState() *HandoverState {
	state := &HandoverState{
		Index:        n.endpoints.listIndex,
		ListReceived: n.endpoints.listReceived,
		Balancer:     n.balancer.HandoverState(),
		EndedFlows:   n.flows.ids.endedKeys(),
		Descriptors:  n.connections.used() + n.connections.reserved,
	}
	for i := range n.endpoints.hosts {
		state.Hosts = append(state.Hosts, n.endpoints.hosts[i].listing)
	}
	for _, f := range n.flows.byIndex {
		if f != nil && f.established && !f.over {
			state.Connections = append(state.Connections, *n.describeConnection(f))
		}
	}
	for _, inherited := range n.flows.ids.inherited {
		state.Connections = append(state.Connections, *inherited)
	}
	n.addSettingsTo(state)
	return state
}

// restore takes the state that the predecessor handed over; a second time, in place of the first.
func (n *Node) restore(state *HandoverState) {
	indices := make([]int, len(state.Hosts))
	for i, listing := range state.Hosts {
		indices[i] = n.endpoints.indexOf(listing.Name)
	}
	n.restoreList(state)
	n.restoreBalancer(state, indices)
	n.restoreSettings(state, indices)
	n.flows.ids.restoreEnded(state.EndedFlows)
	n.removeAllInherited()
	for i := range state.Connections {
		n.addInherited(&state.Connections[i])
	}
	n.connections.reserved = state.Descriptors + n.upgrade.reservedMargin
	// A query may have crossed with what the predecessor says of the same host.
	for _, query := range n.upgrade.pendingQueries {
		n.setAdministrativelyDisabled(query.Host, query.Question == DisableHost)
	}
}

// restoreList takes the predecessor's endpoint list unless this process has received a newer one.
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

// restoreBalancer gives the balancer the predecessor's state, each server under this process's index for it.
func (n *Node) restoreBalancer(state *HandoverState, indices []int) {
	servers := n.balancer.HandoverState().Servers
	for i, server := range state.Balancer.Servers {
		if i >= len(indices) {
			break
		}
		missing := max(indices[i]+1-len(servers), 0)
		servers = append(servers, make([]placement.ServerState, missing)...)
		servers[indices[i]] = server
	}
	state.Balancer.Servers = servers
	n.balancer.Restore(state.Balancer)
}

// handOverClients leaves the flows that come from now on to a successor. The descriptors in use are kept, and a few
// more for flows in flight; the open connections are transferred.
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

// successorGone takes the clients back, if the successor had them. A transfer on its way comes back by itself.
func (n *Node) successorGone() {
	n.upgrade.successorNotified = false
	if !n.upgrade.clientsHandedOver {
		return
	}
	n.upgrade.clientsHandedOver = false
	n.connections.limit = n.connections.configuredLimit
	for _, f := range n.upgrade.transfers {
		if !f.inTransit {
			n.cancelTransfer(f)
		}
	}
	n.balancer.SetHandedOver(false)
	n.emit(WriteLog{"the successor is gone"})
}

// notifySuccessor notifies a successor, if there is one, of what has changed here.
func (n *Node) notifySuccessor(update HandoverUpdate) {
	if n.upgrade.successorNotified {
		n.emit(UpdatePeerProcess{update})
	}
}

// notifyDescriptors notifies a successor of how many descriptors it cannot have, when the number has changed.
func (n *Node) notifyDescriptors() {
	inUse := n.connections.used() + n.connections.reserved
	if !n.upgrade.successorNotified || inUse == n.upgrade.descriptorsNotified || inUse <= 0 {
		return
	}
	n.upgrade.descriptorsNotified = inUse
	n.emit(UpdatePeerProcess{HandoverUpdate{Descriptors: inUse}})
}

// applyPeerUpdate applies what the other process of an upgrade notifies this one of. A successor's own connections do
// not concern its predecessor.
func (n *Node) applyPeerUpdate(update HandoverUpdate) {
	switch {
	case update.DisabledHost != "":
		n.setAdministrativelyDisabled(update.DisabledHost, true)
	case update.EnabledHost != "":
		n.setAdministrativelyDisabled(update.EnabledHost, false)
	case update.Revision != nil:
		n.applyPeerRevision(*update.Revision)
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
		n.emit(WriteLog{fmt.Sprintf("the peer process's revision %d.%d not in force: %v", revision.Epoch,
			revision.Number, err)})
	}
}
