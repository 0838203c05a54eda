package node

import "fmt"

// inheritedTimeout is how many seconds the connections of a predecessor that is gone have to come again.
const inheritedTimeout = 10.0

// InheritedConnection is an open connection of the predecessor, which counts against its host here as well. The JSON
// names are those of the handover between versions.
type InheritedConnection struct {
	ID        string  `json:"ID"`  // of the flow, from its opening line
	ClientKey uint64  `json:"Key"` // of the flow
	Host      string  `json:"Host"`
	Load      float64 `json:"Load"` // reported by the host or stated by the client, as a share of a core

	hostIndex int // of Host in this process
}

// addInherited takes an open connection of the predecessor, in place of one with the same id.
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

// removeInherited takes out a connection that is no longer the predecessor's, as it is over or has come here.
func (n *Node) removeInherited(id string) {
	inherited := n.flows.ids.inherited[id]
	if inherited == nil {
		return
	}
	delete(n.flows.ids.inherited, id)
	n.balancer.AddPeerLoad(inherited.hostIndex, -1, -inherited.Load)
}

// removeAllInherited takes out all connections of the predecessor, in the order of their ids.
func (n *Node) removeAllInherited() {
	for _, id := range n.flows.ids.inheritedIDs() {
		n.removeInherited(id)
	}
}

// inheritedEnded handles the end of a connection at the predecessor; its id is remembered.
func (n *Node) inheritedEnded(id string) {
	inherited := n.flows.ids.inherited[id]
	if inherited == nil {
		return
	}
	n.flows.ids.rememberEnded(inherited.ID, inherited.ClientKey)
	n.removeInherited(inherited.ID)
}

// predecessorGone handles the end of the predecessor: its clients connect again soon, or never.
func (n *Node) predecessorGone() {
	n.connections.reserved = 0
	n.upgrade.inheritedExpiry = n.now + inheritedTimeout
	n.emit(WriteLog{fmt.Sprintf("the predecessor is gone, %d connections may come again",
		len(n.flows.ids.inherited))})
}

// expireInherited takes out the connections of a predecessor that did not come again in time.
func (n *Node) expireInherited() {
	if n.upgrade.inheritedExpiry == 0 || n.now < n.upgrade.inheritedExpiry {
		return
	}
	n.upgrade.inheritedExpiry = 0
	n.removeAllInherited()
}
