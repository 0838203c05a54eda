package node

import "fmt"

// inheritedTimeout is for how many seconds after the predecessor's end its clients are expected to connect again.
const inheritedTimeout = 10.0

// InheritedConnection is an open connection of the predecessor, which counts towards its host's load in this process as
// well. The JSON names are part of the handover protocol between versions.
type InheritedConnection struct {
	ID        string  `json:"ID"`  // id of the flow, from its opening line
	ClientKey uint64  `json:"Key"` // client key of the flow
	Host      string  `json:"Host"`
	Load      float64 `json:"Load"` // load reported by the host or stated by the client, as a share of a core

	hostIndex int // index of Host in this process
}

// addInherited adds an open connection of the predecessor, in place of one with the same id.
func (n *Node) addInherited(inherited *InheritedConnection) {
	index, known := n.endpoints.byName[inherited.Host]
	if !known || len(n.flows.ids.inherited) >= maxEndedIDs {
		return
	}
	n.removeInherited(inherited.ID)
	inherited.hostIndex = index
	n.flows.ids.inherited[inherited.ID] = inherited
	n.balancer.AddPeerLoad(index, 1, inherited.Load)
}

// removeInherited removes a connection that has ended at the predecessor, or that this process now has itself.
func (n *Node) removeInherited(id string) {
	inherited := n.flows.ids.inherited[id]
	if inherited == nil {
		return
	}
	delete(n.flows.ids.inherited, id)
	n.balancer.AddPeerLoad(inherited.hostIndex, -1, -inherited.Load)
}

// removeAllInherited removes all connections of the predecessor, in the order of their ids.
func (n *Node) removeAllInherited() {
	for _, id := range n.flows.ids.inheritedIDs() {
		n.removeInherited(id)
	}
}

// inheritedEnded handles the end of a connection at the predecessor, and remembers its id.
func (n *Node) inheritedEnded(id string) {
	inherited := n.flows.ids.inherited[id]
	if inherited == nil {
		return
	}
	n.flows.ids.rememberEnded(inherited.ID, inherited.ClientKey)
	n.removeInherited(inherited.ID)
}

// predecessorGone handles the end of the predecessor. Clients that do not connect again within inheritedTimeout are not
// expected any more.
func (n *Node) predecessorGone() {
	n.connections.reserved = 0
	n.upgrade.hasPredecessor = false
	n.upgrade.inheritedExpiry = n.now + inheritedTimeout
	n.emit(WriteLog{fmt.Sprintf("the predecessor is gone, %d of its clients may connect again",
		len(n.flows.ids.inherited))})
}

// expireInherited removes the inherited connections whose clients have not connected again in time.
func (n *Node) expireInherited() {
	if n.upgrade.inheritedExpiry == 0 || n.now < n.upgrade.inheritedExpiry {
		return
	}
	n.upgrade.inheritedExpiry = 0
	n.removeAllInherited()
}
