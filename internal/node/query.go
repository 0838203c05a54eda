package node

import "fmt"

// handleQuery answers a question of the second address or of a successor, once it has carried out what was asked.
func (n *Node) handleQuery(query Query) {
	reply := Reply{OK: true}
	switch query.Question {
	case IsReady:
		reply.OK = n.isReady()
	case GetStatistics:
		reply.Statistics = n.currentFigures()
	case DisableHost, EnableHost:
		reply.OK = n.handleDisableQuery(query)
		reply.StillDisabled = query.Question == EnableHost && n.isDisabledBySettings(query.Host)
	case ClaimHandover:
		n.upgrade.notifyFromNow()
		reply.Handover = n.handoverState()
	case TakeOver:
		n.handOverClients()
		reply.Handover = n.handoverState()
	}
	n.emit(reply)
}

// handleDisableQuery disables or enables a host, and reports whether that was ever listed. A call that comes while the
// predecessor still has the clients is kept, as it may cross with the state that the predecessor hands over.
func (n *Node) handleDisableQuery(query Query) bool {
	known := n.setAdministrativelyDisabled(query.Host, query.Question == DisableHost)
	if n.startup.listenerClosed {
		n.upgrade.pendingQueries = append(n.upgrade.pendingQueries, query)
	}
	return known
}

// setAdministrativelyDisabled disables or enables a host on behalf of an operator, and reports whether it was ever
// listed. Nothing is kept for a name that never was.
func (n *Node) setAdministrativelyDisabled(name string, disabled bool) bool {
	index, known := n.endpoints.byName[name]
	if !known || n.endpoints.hosts[index].administrativelyDisabled == disabled {
		return known
	}
	n.endpoints.hosts[index].administrativelyDisabled = disabled
	n.applyDisabled(index)
	if disabled {
		n.emit(WriteLog{fmt.Sprintf("host %s administratively disabled", name)})
		n.emit(UpdatePeerProcess{HandoverUpdate{DisabledHost: name}})
		return true
	}
	n.emit(WriteLog{fmt.Sprintf("host %s administratively enabled", name)})
	n.emit(UpdatePeerProcess{HandoverUpdate{EnabledHost: name}})
	return true
}
